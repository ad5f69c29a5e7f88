package document_test

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 20261})
}

// TestClientOverlapsProperty guards against overlaps that the validation with its
// stack of enclosing blocks misses: it compares the result for random client blocks
// with a comparison of every pair.
func TestClientOverlapsProperty(t *testing.T) {
	block := rapid.Custom(func(t *rapid.T) netip.Prefix {
		bits := rapid.IntRange(24, 32).Draw(t, "bits")
		last := rapid.Byte().Draw(t, "last")
		prefix, _ := netip.AddrFrom4([4]byte{127, 0, 0, last}).Prefix(bits)
		return prefix
	})
	rapid.Check(t, func(t *rapid.T) {
		doc := &document.Document{}
		var blocks []netip.Prefix
		var owners []int
		for i := range 3 {
			place := document.Place{Name: fmt.Sprintf("p%d", i)}
			for _, b := range rapid.SliceOfN(block, 0, 4).Draw(t, place.Name) {
				place.Clients = append(place.Clients, b.String())
				blocks = append(blocks, b)
				owners = append(owners, i)
			}
			doc.Places = append(doc.Places, place)
		}
		want := false
		for i := range blocks {
			for j := range i {
				clash := owners[i] != owners[j] && blocks[i].Overlaps(blocks[j])
				want = want || clash || blocks[i] == blocks[j]
			}
		}
		got := false
		for _, f := range doc.Validate() {
			got = got || strings.Contains(f.Path, ".clients[")
		}
		if got != want {
			t.Fatalf("fault reported: %t, want %t; blocks %v of places %v", got, want, blocks, owners)
		}
	})
}
