// Command controlcost measures what control costs, in one process.
//
// Membership is run as the tables of whole systems in simulated time: messages
// and bytes per second, processor time and memory of one daemon, over the number
// of daemons in a place and the number of places. A change is followed on its
// way to all daemons of such systems: how many ask a control VM for the document
// and how many a peer. A fetch is run against one control member over gRPC.
// Bytes are those of the protobuf encoding, without the frames of gRPC, TCP and
// IP.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() {
	seconds := flag.Int("seconds", 20, "simulated seconds that are measured")
	full := flag.Bool("full", false, "run 75 places with 63 daemons each, and no other size")
	services := flag.Int("services", 8, "services with endpoints in each place")
	interest := flag.Int("interest", 8, "places followed beyond the own region; 0 follows all")
	only := flag.String("only", "", "membership, change or fetch; all when empty")
	flag.Parse()

	o := options{seconds: *seconds, services: *services, interest: *interest}
	sizes := []size{{6, 3}, {6, 16}, {6, 32}, {6, 63}, {12, 16}, {25, 16}, {50, 16}}
	if *full {
		sizes = []size{{75, 63}}
	}
	parts := []struct {
		name string
		run  func() error
	}{
		{"membership", func() error { return printMembership(sizes, o) }},
		{"change", func() error { return printChanges(sizes, o) }},
		{"fetch", func() error { return printFetches(os.Stdout) }},
	}
	for _, part := range parts {
		if *only != "" && *only != part.name {
			continue
		}
		if err := part.run(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func printMembership(sizes []size, o options) error {
	fmt.Println("| places | daemons a place | daemons | messages/s | bytes/s out | bytes/s in | CPU % of a core | heap KB | directory KB | owner known % | version everywhere s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	var costs []cost
	for _, s := range sizes {
		c := measure(s, o)
		fmt.Println(c.row())
		costs = append(costs, c)
	}
	if len(sizes) == 1 {
		return nil
	}
	return printSlopes(os.Stdout, costs)
}

func printChanges(sizes []size, o options) error {
	fmt.Println("| places | daemons a place | daemons | fetches at control VMs | with the document | of these by speakers | most documents from one daemon | half have it s | all have it s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|")
	for _, s := range sizes {
		fmt.Println(measureChange(s, o).row())
	}
	return nil
}
