package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/rendezvous"
)

// TestSpread has twenty places share keys that differ in their last bytes: each
// gets between half and twice its part.
func TestSpread(t *testing.T) {
	is := is.New(t)
	const places, keys = 20, 2000
	got := make(map[int]int)
	for k := range keys {
		best, highest := 0, uint64(0)
		for p := range places {
			if w := rendezvous.Weight(fmt.Sprintf("i-%04x", p), fmt.Sprintf("r-abc/%x", k)); w > highest {
				best, highest = p, w
			}
		}
		got[best]++
	}
	for p := range places {
		is.True(got[p] > keys/places/2 && got[p] < 2*keys/places)
	}
}
