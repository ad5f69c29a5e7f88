package ctl_test

import (
	"log/slog"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/event"
)

// TestReferenceMatchesHelp fails when a command, argument, flag, default or exit
// code in the client's help differs from the page ctl.md.
func TestReferenceMatchesHelp(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("-help"), 0)
	help := b.errs.String()
	text, err := os.ReadFile("../../../docs/reference/ctl.md")
	is.NoErr(err)
	page := string(text)

	is.Equal(len(sortedMatches(help, `(?m)^  ([a-z]+(?: [A-Z]+)?) +\S`)), 9)
	is.Equal(sortedMatches(help, `([0-9]) [a-z]`), []string{"0", "1", "2", "3", "4"})
	is.Equal(sortedMatches(page, "(?m)^\\| `([a-z][^`]*)` \\|"), sortedMatches(help, `(?m)^  ([a-z]+(?: [A-Z]+)?) +\S`))
	is.Equal(sortedMatches(page, "(?m)^\\| `-([^`]*)` \\|"), sortedMatches(help, `(?m)^  -(\S+)`))
	is.Equal(sortedMatches(page, "(?m)^\\| ([0-9]) \\|"), sortedMatches(help, `([0-9]) [a-z]`))
	for _, m := range regexp.MustCompile("(?m)^\\| `(-[^`]*)` \\| ([^|]*) \\|").FindAllStringSubmatch(page, -1) {
		_, rest, _ := strings.Cut(help, "  "+m[1])
		own, _, _ := strings.Cut(rest, "\n  -")
		hasDefault := strings.Contains(own, "(default ")
		fixed := m[2] != "none" && m[2] != "all" && m[2] != "a new one" && m[2] != "see below"
		is.Equal(hasDefault, fixed)                                                            // m[1]
		is.True(!fixed || strings.Contains(strings.ReplaceAll(own, `"`, ""), "default "+m[2])) // m[1]
	}
}

// sortedMatches returns the first group of each match of a pattern, sorted.
func sortedMatches(text, pattern string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, strings.TrimSpace(m[1]))
	}
	slices.Sort(out)
	return out
}

// TestAlertsPageMatchesEvents fails when the operators' page alerts.md has a wrong
// number or name of an event, or omits an event of level warning or above.
func TestAlertsPageMatchesEvents(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/operators/alerts.md")
	is.NoErr(err)
	names := make(map[string]string)
	for _, m := range regexp.MustCompile("(?m)^\\| ([0-9]+) `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		names[m[1]] = m[2]
	}
	for _, e := range event.Catalogue {
		name, listed := names[strconv.Itoa(e.Number)]
		is.Equal(listed, e.Level >= slog.LevelWarn) // e.Name
		is.True(!listed || name == e.Name)          // e.Name
		delete(names, strconv.Itoa(e.Number))
	}
	is.Equal(len(names), 0) // numbers that no event has
}
