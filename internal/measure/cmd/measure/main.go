// Command measure compares the steering policy with two baselines, measures the
// cost of look-ups and decisions and the usable fraction of a shared cap, and
// writes the results as a Markdown page.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"time"

	"sassafrasreach/internal/measure"
)

func main() {
	commit := flag.String("commit", "unknown", "the commit to name on the page")
	out := flag.String("out", "", "a file to write in addition to the standard output")
	seed := flag.Uint64("seed", 1, "the seed of the simulations")
	parallel := flag.Int("parallel", 4, "the maximum number of concurrent simulations")
	flag.Parse()
	page := write(*commit, *seed, *parallel)
	if _, err := os.Stdout.Write(page); err != nil {
		slog.Error("can't write the page to the standard output", "error", err)
		os.Exit(1)
	}
	if *out == "" {
		return
	}
	if err := os.WriteFile(*out, page, 0o644); err != nil { //nolint:gosec // a page for everybody
		slog.Error("can't write the page to its file", "error", err)
		os.Exit(1)
	}
}

func write(commit string, seed uint64, parallel int) []byte {
	begun := time.Now()
	var page bytes.Buffer
	fmt.Fprintf(&page, "# Measurements\n\nCommit %s, seed %d.\n\n", commit, seed)
	measure.WriteMethod(&page)
	measure.WriteCosts(&page, measure.Lookups(measure.FullBlocks), measure.Decisions())
	measure.WriteShares(&page)
	for _, op := range []measure.Operation{measure.Hanbit(), measure.Calibra()} {
		measure.WriteComparison(&page, op, measure.Compare(op, seed, parallel))
	}
	fmt.Fprintf(&page, "The run took %.0f s.\n", time.Since(begun).Seconds())
	return page.Bytes()
}
