package rendezvous_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/rendezvous"
)

// TestKeysSpreadOverNodes guards against an uneven distribution of keys that
// differ only in their last bytes: each of twenty nodes must get more than half
// and less than twice its equal share.
func TestKeysSpreadOverNodes(t *testing.T) {
	is := is.New(t)
	const nodes, keys = 20, 2000
	got := make(map[int]int)
	for k := range keys {
		best, highest := 0, uint64(0)
		for p := range nodes {
			if w := rendezvous.Weight(fmt.Sprintf("i-%04x", p), fmt.Sprintf("r-abc/%x", k)); w > highest {
				best, highest = p, w
			}
		}
		got[best]++
	}
	for p := range nodes {
		is.True(got[p] > keys/nodes/2 && got[p] < 2*keys/nodes)
	}
}
