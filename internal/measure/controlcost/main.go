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
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	seconds := flag.Int("seconds", 20, "simulated seconds that are measured")
	full := flag.Bool("full", false, "run 75 places with 63 daemons each, and no other size")
	services := flag.Int("services", 8, "services with endpoints in each place")
	interest := flag.Int("interest", 8, "places followed beyond the own region; 0 follows all")
	only := flag.String("only", "", "membership, change or fetch; all when empty")
	page := flag.String("append", "", "the file that the tables are added to besides the standard output")
	flag.Parse()

	o := options{seconds: *seconds, services: *services, interest: *interest}
	sizes := []size{{6, 3}, {6, 16}, {6, 32}, {6, 63}, {12, 16}, {25, 16}, {50, 16}}
	if *full {
		sizes = []size{{75, 63}}
	}
	if err := run(*page, *only, sizes, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run prints the parts that are wanted, and adds them to a page if one is named.
func run(page, only string, sizes []size, o options) (err error) {
	out := io.Writer(os.Stdout)
	if page != "" {
		file, err := os.OpenFile(page, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644) //nolint:gosec // a page for everybody
		if err != nil {
			return err
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		out = io.MultiWriter(os.Stdout, file)
	}
	parts := []struct {
		name, title string
		run         func() error
	}{
		{"membership", "What membership costs one daemon", func() error { return printMembership(out, sizes, o) }},
		{"change", "The way of a change to all daemons", func() error { return printChanges(out, sizes, o) }},
		{"fetch", "What a fetch costs a control VM", func() error { return printFetches(out) }},
	}
	for _, part := range parts {
		if only != "" && only != part.name {
			continue
		}
		if _, err := fmt.Fprintf(out, "\n## %s\n\n", part.title); err != nil {
			return err
		}
		if err := part.run(); err != nil {
			return err
		}
	}
	return nil
}

// line prints one line.
func line(w io.Writer, text string) error {
	_, err := fmt.Fprintln(w, text)
	return err
}

func printMembership(w io.Writer, sizes []size, o options) error {
	const head = "| places | daemons a place | daemons | messages/s | bytes/s out | bytes/s in | CPU % of a core | heap KB | directory KB | owner known % | version everywhere s |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|"
	if err := line(w, head); err != nil {
		return err
	}
	var costs []cost
	for _, s := range sizes {
		c := measure(s, o)
		if err := line(w, c.row()); err != nil {
			return err
		}
		costs = append(costs, c)
	}
	if len(sizes) == 1 {
		return nil
	}
	return printSlopes(w, costs)
}

func printChanges(w io.Writer, sizes []size, o options) error {
	const head = "| places | daemons a place | daemons | fetches at control VMs | with the document | of these by speakers | most documents from one daemon | half have it s | all have it s |\n" +
		"|---|---|---|---|---|---|---|---|---|"
	if err := line(w, head); err != nil {
		return err
	}
	for _, s := range sizes {
		if err := line(w, measureChange(s, o).row()); err != nil {
			return err
		}
	}
	return nil
}
