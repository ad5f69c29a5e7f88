// Command controlcost measures what membership costs one daemon: messages and
// bytes per second, processor time and memory, over the number of daemons in a
// place and the number of places. It runs the tables of whole systems in one
// process in simulated time; bytes are those of the protobuf encoding, without
// the frames of gRPC, TCP and IP.
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
	flag.Parse()

	sizes := []size{{6, 3}, {6, 16}, {6, 32}, {6, 63}, {12, 16}, {25, 16}, {50, 16}}
	if *full {
		sizes = []size{{75, 63}}
	}
	fmt.Println("| places | daemons a place | daemons | messages/s | bytes/s out | bytes/s in | CPU % of a core | heap KB | directory KB | owner known % | version everywhere s |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|")
	var costs []cost
	for _, s := range sizes {
		c := measure(s, options{seconds: *seconds, services: *services, interest: *interest})
		fmt.Println(c.row())
		costs = append(costs, c)
	}
	if *full {
		return
	}
	if err := printSlopes(os.Stdout, costs); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
