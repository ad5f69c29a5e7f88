package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/membership"
)

// TestNoFalseSuspicion runs healthy systems that lose one message in twenty.
func TestNoFalseSuspicion(t *testing.T) {
	cases := []struct {
		name     string
		places   map[string][]string
		perPlace int
		// least is the number of members of any place that each entry sees live.
		least int
	}{
		{"today", hanbit, 3, 3},
		{"large place", map[string][]string{"r": {"guro-a", "pangyo-b"}}, 63, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(membership.Config{}, c.places, c.perPlace)
			random := rand.New(rand.NewPCG(1, 2))
			n.cut = func(string, string) bool { return random.IntN(20) == 0 }
			n.run(20 * time.Second)
			least, none, two := c.perPlace, 0, 0
			for range 30 {
				n.run(period)
				for _, name := range n.order {
					for _, places := range c.places {
						for _, place := range places {
							least = min(least, len(n.tables[name].Live(n.now, place)))
						}
					}
				}
				for _, service := range []string{"roster-desk", "filing-desk", "belt-control", "lot-ledger"} {
					switch owners := n.owners(service, home); len(owners) {
					case 0:
						none++
					case 1:
					default:
						two++
					}
				}
			}
			t.Logf("least seen live %d; looks without an owner %d, with two %d", least, none, two)
			is := is.New(t)
			is.True(least >= c.least)
			is.Equal(none, 0)
			is.Equal(two, 0)
		})
	}
}
