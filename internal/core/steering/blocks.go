package steering

import (
	"encoding/binary"
	"net/netip"

	"github.com/gaissmai/bart"
)

// blockTable maps client blocks to indexes of places by longest prefix.
//
// Almost all blocks lie in two sorted arrays, which take a third of the memory
// of a trie. Blocks longer than /64 don't fit their keys and go into a trie;
// they are rare.
type blockTable struct {
	four segments[uint32]
	six  segments[uint64] // the upper half of the address
	long *bart.Table[uint16]
}

// longBits is the longest IPv6 block that lies in a sorted array.
const longBits = 64

// blockBuilder collects the blocks of a blockTable.
type blockBuilder struct {
	four []block[uint32]
	six  []block[uint64]
	long *bart.Table[uint16]
}

func (b *blockBuilder) add(prefix netip.Prefix, index uint16) {
	prefix = prefix.Masked()
	addr := prefix.Addr()
	bits := uint8(prefix.Bits()) //nolint:gosec // at most 128
	switch {
	case addr.Is4():
		b.four = append(b.four, block[uint32]{key4(addr), bits, index})
	case bits <= longBits:
		b.six = append(b.six, block[uint64]{key6(addr), bits, index})
	default:
		if b.long == nil {
			b.long = &bart.Table[uint16]{}
		}
		b.long.Insert(prefix, index)
	}
}

func (b *blockBuilder) build() *blockTable {
	return &blockTable{
		four: newSegments(b.four, 32),
		six:  newSegments(b.six, longBits),
		long: b.long,
	}
}

// lookup returns the index of the longest block that holds the address. The
// address must not be an IPv4 address in IPv6 form.
func (b *blockTable) lookup(client netip.Addr) (uint16, bool) {
	if client.Is4() {
		return b.four.lookup(key4(client))
	}
	if !client.IsValid() {
		return 0, false
	}
	if b.long != nil {
		if index, ok := b.long.Lookup(client); ok {
			return index, true
		}
	}
	return b.six.lookup(key6(client))
}

func key4(addr netip.Addr) uint32 {
	octets := addr.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func key6(addr netip.Addr) uint64 {
	octets := addr.As16()
	return binary.BigEndian.Uint64(octets[:8])
}
