// Command controlcost measures the cost of the control plane in one process. A
// daemon here is the process of an entry.
//
// For membership, it runs the membership tables of whole systems in simulated
// time. It reports the messages and bytes per second, processor time and memory
// of one daemon, for several numbers of daemons in a place and of places. For a
// change, it follows the propagation to all daemons of such systems and reports
// how many of them get the document from a control VM and how many from a peer.
// For a fetch, it calls one control member over gRPC. Bytes are those of the
// protobuf encoding, without the frames of gRPC, TCP and IP.
package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
)

func main() {
	seconds := flag.Int("seconds", 20, "simulated seconds to measure")
	full := flag.Bool("full", false, "measure only a system of 75 places with 63 daemons each")
	services := flag.Int("services", 8, "number of services with endpoints in each place")
	interest := flag.Int("interest", 8, "length of each daemon's list of places to follow beyond its own region; 0 follows all")
	only := flag.String("only", "", "the part to run: membership, change or fetch; empty runs all")
	page := flag.String("append", "", "a file to append the tables to, in addition to the standard output")
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

// run runs the selected parts and prints their tables to the standard output
// and, unless page is empty, appends them to that file.
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
		{"membership", "Cost of membership per daemon", func() error { return printMembership(out, sizes, o) }},
		{"change", "Propagation of a change to all daemons", func() error { return printChanges(out, sizes, o) }},
		{"fetch", "Cost of a fetch at a control VM", func() error { return printFetches(out) }},
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

// printLine prints a text and a newline.
func printLine(w io.Writer, text string) error {
	_, err := fmt.Fprintln(w, text)
	return err
}

func printMembership(w io.Writer, sizes []size, o options) error {
	const head = "| places | daemons per place | daemons | messages/s | bytes/s out | bytes/s in | CPU % of a core | heap KB | directory KB | owner known % | version known everywhere after s |\n" +
		"|---|---|---|---|---|---|---|---|---|---|---|"
	if err := printLine(w, head); err != nil {
		return err
	}
	var costs []cost
	for _, s := range sizes {
		c := measure(s, o)
		if err := printLine(w, c.row()); err != nil {
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
	const head = "| places | daemons per place | daemons | fetches from control VMs | of these with the document | of these by representatives | most documents sent by one daemon | half have it after s | all have it after s |\n" +
		"|---|---|---|---|---|---|---|---|---|"
	if err := printLine(w, head); err != nil {
		return err
	}
	for _, s := range sizes {
		if err := printLine(w, measureChange(s, o).row()); err != nil {
			return err
		}
	}
	return nil
}
