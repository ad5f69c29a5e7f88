package steering

import (
	"encoding/binary"
	"net/netip"

	"github.com/gaissmai/bart"
)

// blockTable maps client blocks to indexes of places by longest prefix.
//
// Almost all blocks are kept in two sorted arrays, which take a third of the
// memory of a trie. IPv6 blocks longer than /64 do not fit the array's keys and
// are kept in a trie; they are rare.
type blockTable struct {
	ipv4     segments[uint32]
	ipv6     segments[uint64] // the upper half of the address
	longIPv6 *bart.Table[uint16]
}

// maxArrayBits is the length of the longest IPv6 block kept in a sorted array.
const maxArrayBits = 64

// blockBuilder collects the blocks of a blockTable.
type blockBuilder struct {
	ipv4     []block[uint32]
	ipv6     []block[uint64]
	longIPv6 *bart.Table[uint16]
}

func (b *blockBuilder) add(prefix netip.Prefix, index uint16) {
	prefix = prefix.Masked()
	addr := prefix.Addr()
	bits := uint8(prefix.Bits()) //nolint:gosec // at most 128
	switch {
	case addr.Is4():
		b.ipv4 = append(b.ipv4, block[uint32]{key4(addr), bits, index})
	case bits <= maxArrayBits:
		b.ipv6 = append(b.ipv6, block[uint64]{key6(addr), bits, index})
	default:
		if b.longIPv6 == nil {
			b.longIPv6 = &bart.Table[uint16]{}
		}
		b.longIPv6.Insert(prefix, index)
	}
}

func (b *blockBuilder) build() *blockTable {
	return &blockTable{
		ipv4:     newSegments(b.ipv4, 32),
		ipv6:     newSegments(b.ipv6, maxArrayBits),
		longIPv6: b.longIPv6,
	}
}

// lookup returns the index of the longest block that contains the address. The
// address must not be an IPv4 address in IPv6 form.
func (b *blockTable) lookup(client netip.Addr) (uint16, bool) {
	if client.Is4() {
		return b.ipv4.lookup(key4(client))
	}
	if !client.IsValid() {
		return 0, false
	}
	if b.longIPv6 != nil {
		if index, ok := b.longIPv6.Lookup(client); ok {
			return index, true
		}
	}
	return b.ipv6.lookup(key6(client))
}

func key4(addr netip.Addr) uint32 {
	octets := addr.As4()
	return binary.BigEndian.Uint32(octets[:])
}

func key6(addr netip.Addr) uint64 {
	octets := addr.As16()
	return binary.BigEndian.Uint64(octets[:8])
}
