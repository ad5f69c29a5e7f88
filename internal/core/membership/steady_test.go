package membership_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/membership"
)

// TestNoFalseSuspicion guards against healthy entries being considered dead
// when one message in twenty is lost, and against groups that have no owner or
// several because of it.
func TestNoFalseSuspicion(t *testing.T) {
	cases := []struct {
		name     string
		places   map[string][]string
		perPlace int
		// least is the required number of live members of any place in the view
		// of any entry.
		least int
	}{
		{"small places", hanbit, 3, 3},
		{"large place", map[string][]string{"r": {"guro-a", "pangyo-b"}}, 63, 8},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			n := newNetwork(membership.Config{}, c.places, c.perPlace)
			random := rand.New(rand.NewPCG(1, 2))
			n.cut = func(string, string) bool { return random.IntN(20) == 0 }
			n.run(20 * time.Second)
			least, none, several := c.perPlace, 0, 0
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
					switch owners := n.owners(service, homePlace); len(owners) {
					case 0:
						none++
					case 1:
					default:
						several++
					}
				}
			}
			t.Logf("least seen live %d; samples without an owner %d, with several %d", least, none, several)
			is := is.New(t)
			is.True(least >= c.least)
			is.Equal(none, 0)
			is.Equal(several, 0)
		})
	}
}
