package steering

import (
	"net/netip"

	"github.com/gaissmai/bart"
)

// blockTable maps client blocks to indexes of places by longest prefix.
type blockTable struct {
	table bart.Table[uint16]
}

func newBlockTable() *blockTable { return &blockTable{} }

func (b *blockTable) insert(block netip.Prefix, index uint16) {
	b.table.Insert(block.Masked(), index)
}

func (b *blockTable) lookup(client netip.Addr) (uint16, bool) {
	return b.table.Lookup(client)
}
