package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printf writes formatted text. It ignores write errors, which mean that the reader
// has closed the output.
func printf(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format, args...)
}

func (r *runner) json() bool { return r.flags.output == "json" }

// printJSON prints a value as indented JSON.
func (r *runner) printJSON(value any) error {
	encoder := json.NewEncoder(r.stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func (r *runner) table() *tabwriter.Writer {
	return tabwriter.NewWriter(r.stdout, 0, 0, 2, ' ', 0)
}
