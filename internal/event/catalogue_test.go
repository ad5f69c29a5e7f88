package event_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/event"
)

// TestCatalogueMatchesPage guards against a docs/EVENTS.md that differs from the
// catalogue.
func TestCatalogueMatchesPage(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/EVENTS.md")
	is.NoErr(err)
	var want []string
	for _, e := range event.Catalogue {
		want = append(want, fmt.Sprintf("| %d | `%s` | %s | %s |", e.Number, e.Name, strings.ToLower(e.Level.String()), e.Meaning))
	}
	var got []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| 1") {
			got = append(got, strings.TrimSpace(line))
		}
	}
	is.Equal(strings.Join(got, "\n"), strings.Join(want, "\n"))
}

// TestNumbersIncrease guards against an event number that is used twice or out of
// order.
func TestNumbersIncrease(t *testing.T) {
	last := 0
	for _, e := range event.Catalogue {
		if e.Number <= last {
			t.Errorf("event %d is listed after event %d", e.Number, last)
		}
		last = e.Number
	}
}
