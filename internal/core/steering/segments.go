package steering

import (
	"cmp"
	"slices"
	"sort"
)

// key is the leading part of an address as an integer.
type key interface{ uint32 | uint64 }

// block is a client block with the index of its place.
type block[K key] struct {
	first K
	bits  uint8
	index uint16
}

// segments maps ranges of addresses to indexes. Segment i begins at first[i].
// It ends before the next segment, or at the end of the block of bits[i]
// leading bits that contains first[i], whichever comes first. A block takes at
// most one segment, and one more for each block nested in it that ends before
// it does.
type segments[K key] struct {
	width uint8 // bits of K that addresses use
	first []K
	bits  []uint8
	index []uint16
}

// newSegments sorts the blocks and builds their segments. Of equal blocks the
// one that was added last counts.
func newSegments[K key](blocks []block[K], width uint8) segments[K] {
	slices.SortStableFunc(blocks, func(a, b block[K]) int {
		return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.bits, b.bits))
	})
	s := segments[K]{
		width: width,
		first: make([]K, 0, len(blocks)),
		bits:  make([]uint8, 0, len(blocks)),
		index: make([]uint16, 0, len(blocks)),
	}
	var open []block[K] // nested blocks, outermost first
	for _, b := range blocks {
		open = s.close(open, b.first)
		s.add(b.first, b)
		open = append(open, b)
	}
	s.close(open, ^K(0))
	s.trim()
	return s
}

// close removes from open the blocks that end before next, innermost first.
// After each one it adds a segment that continues the enclosing block, unless
// both end at the same address.
func (s *segments[K]) close(open []block[K], next K) []block[K] {
	for len(open) > 0 {
		inner := open[len(open)-1]
		last := s.last(inner.first, inner.bits)
		if last >= next {
			return open
		}
		open = open[:len(open)-1]
		if len(open) == 0 {
			return open
		}
		outer := open[len(open)-1]
		if s.last(outer.first, outer.bits) > last {
			s.add(last+1, outer)
		}
	}
	return open
}

// add appends the segment of block b that begins at first. A segment that
// begins at the same address is replaced, because the later block is nested in
// the earlier one.
func (s *segments[K]) add(first K, b block[K]) {
	n := len(s.first)
	if n > 0 && s.first[n-1] == first {
		s.bits[n-1], s.index[n-1] = b.bits, b.index
		return
	}
	s.first = append(s.first, first)
	s.bits = append(s.bits, b.bits)
	s.index = append(s.index, b.index)
}

// trim copies the slices to release unused capacity.
func (s *segments[K]) trim() {
	s.first = slices.Clone(s.first)
	s.bits = slices.Clone(s.bits)
	s.index = slices.Clone(s.index)
}

// last returns the last address of the block of bits leading bits that contains
// addr.
func (s *segments[K]) last(addr K, bits uint8) K {
	if bits >= s.width {
		return addr
	}
	return addr | ^K(0)>>bits
}

// lookup returns the index of the segment that contains an address.
func (s *segments[K]) lookup(addr K) (uint16, bool) {
	after := sort.Search(len(s.first), func(i int) bool { return s.first[i] > addr })
	if after == 0 {
		return 0, false
	}
	at := after - 1
	if addr > s.last(s.first[at], s.bits[at]) {
		return 0, false
	}
	return s.index[at], true
}
