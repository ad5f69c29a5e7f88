package steering_test

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"

	"github.com/gaissmai/bart"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/steering"
)

// addresses generates addresses from a few byte values, so that blocks often
// nest and adjoin, also at both ends of the address space.
func addresses() *rapid.Generator[netip.Addr] {
	octet := rapid.SampledFrom([]byte{0, 1, 127, 128, 255})
	return rapid.Custom(func(t *rapid.T) netip.Addr {
		if rapid.Bool().Draw(t, "v4") {
			var a [4]byte
			for i := range a {
				a[i] = octet.Draw(t, "octet")
			}
			return netip.AddrFrom4(a)
		}
		var a [16]byte
		a[0] = 0x20
		for _, i := range []int{1, 6, 7, 8, 15} {
			a[i] = octet.Draw(t, "octet")
		}
		return netip.AddrFrom16(a)
	})
}

// TestPlaceOfAgreesWithTrie guards against wrong results from nested or
// adjoining blocks: it compares the sorted arrays with a trie of the same
// blocks.
func TestPlaceOfAgreesWithTrie(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := &document.Document{Regions: []document.Region{{Name: "r"}}}
		trie := &bart.Table[string]{}
		for i := range rapid.IntRange(0, 30).Draw(t, "blocks") {
			addr := addresses().Draw(t, "addr")
			bits := rapid.IntRange(0, addr.BitLen()).Draw(t, "bits")
			block := netip.PrefixFrom(addr, bits).Masked()
			name := fmt.Sprintf("p%d", i)
			trie.Insert(block, name)
			doc.Places = append(doc.Places, document.Place{
				Name: name, Region: "r", Clients: []string{block.String()},
			})
		}
		table, err := steering.NewTable(doc)
		if err != nil {
			t.Fatal(err)
		}
		for range 20 {
			client := addresses().Draw(t, "client")
			want, wantOK := trie.Lookup(client)
			got, ok := table.PlaceOf(client)
			if got != want || ok != wantOK {
				t.Fatalf("%v is in %q %v, want %q %v", client, got, ok, want, wantOK)
			}
		}
	})
}

func TestNewTableErrors(t *testing.T) {
	place := document.Place{Name: "a", Region: "r"}
	cases := []struct {
		name string
		doc  document.Document
		want error
	}{
		{"region", document.Document{Places: []document.Place{place}}, steering.ErrUnknownRegion},
		{"place", document.Document{
			Services: []document.Service{{Name: "s", Places: []string{"b"}}},
		}, steering.ErrUnknownPlace},
		{"block", document.Document{
			Regions: []document.Region{{Name: "r"}},
			Places:  []document.Place{{Name: "a", Region: "r", Clients: []string{"10.0.0.0/33"}}},
		}, steering.ErrBlock},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := steering.NewTable(&c.doc)
			is.New(t).True(errors.Is(err, c.want))
		})
	}
}
