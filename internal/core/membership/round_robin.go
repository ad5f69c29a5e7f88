package membership

import (
	"slices"
	"time"
)

// probeEvery is the interval, in periods, at which the next peer in turn is
// contacted even if it is unresponsive.
const probeEvery = 4

// roundRobin selects the peers to contact in turn. Its start depends on the
// entry's name, so that the entries do not all contact the same peer at once.
type roundRobin struct {
	// cell is the position in the own cell, peerSet the index of the current
	// peer set, and round counts the periods.
	cell, peerSet, round int
	// awaited names the last peer picked in a period in which a peer set was in
	// turn; it is empty once a message from that peer was received. retried says
	// that the current peer set was tried a second time.
	awaited string
	retried bool
}

// newRoundRobin returns the initial state for an own cell with the given number
// of other members and the given number of peer sets.
func newRoundRobin(name string, cell, peerSets int) roundRobin {
	start := int(hashOf(name, "", "") >> 33)
	r := roundRobin{round: start}
	if cell > 0 {
		r.cell = start % cell
	}
	if peerSets > 0 {
		r.peerSet = start % peerSets
	}
	return r
}

// nextTargets returns the peers to contact in this period: CellFanOut from the
// own cell and the rest, up to FanOut, from the peer sets in turn. If there are
// too few peer sets, more come from the own cell.
func (t *Table) nextTargets(now time.Time) []Peer {
	inCell := min(t.cfg.CellFanOut, len(t.cell))
	outside := min(t.cfg.FanOut-inCell, len(t.peerSets))
	if outside < t.cfg.FanOut-inCell {
		inCell = min(t.cfg.FanOut-outside, len(t.cell))
	}
	var picked []Peer
	for range inCell {
		t.roundRobin.cell = (t.roundRobin.cell + 1) % len(t.cell)
		picked = t.pick(now, picked, t.cell, t.roundRobin.cell)
	}
	for k := range outside {
		t.nextPeerSet(k == 0)
		peerSet := t.peerSets[t.roundRobin.peerSet]
		picked = t.pick(now, picked, peerSet, (t.roundRobin.round+t.roundRobin.peerSet)%len(peerSet))
		if len(picked) > 0 {
			t.roundRobin.awaited = picked[len(picked)-1].Name
		}
	}
	t.roundRobin.round++
	return picked
}

// nextPeerSet advances to the next peer set. On the first call in a period it
// stays at the current one, once, if the awaited peer has sent nothing, so that
// another member of the set is tried.
func (t *Table) nextPeerSet(first bool) {
	if first && t.roundRobin.awaited != "" && !t.roundRobin.retried {
		t.roundRobin.retried = true
		return
	}
	t.roundRobin.retried = false
	t.roundRobin.peerSet = (t.roundRobin.peerSet + 1) % len(t.peerSets)
}

// clearAwaited records a message from a peer, which may be the awaited one.
func (t *Table) clearAwaited(from string) {
	if t.roundRobin.awaited == from {
		t.roundRobin.awaited = ""
	}
}

// pick appends the first peer of list, in cyclic order from start, that may be
// live. If there is none, and in every probeEvery-th period, it appends the peer
// at start. It appends nothing if that peer is this entry or already picked.
func (t *Table) pick(now time.Time, picked []Peer, list []int, start int) []Peer {
	choice := start
	if t.roundRobin.round%probeEvery != 0 {
		for k := range list {
			i := (start + k) % len(list)
			if t.mayBeLive(now, t.dir.peers[list[i]]) {
				choice = i
				break
			}
		}
	}
	peer := t.dir.peers[list[choice]]
	if peer.Name == t.self.Name || slices.Contains(picked, peer) {
		return picked
	}
	return append(picked, peer)
}

// mayBeLive reports whether a peer is live or no row of it is known.
func (t *Table) mayBeLive(now time.Time, peer Peer) bool {
	s, ok := t.members[peer.Name]
	return !ok || t.isLive(now, s)
}

func without(dir *Directory, members []int, name string) []int {
	var rest []int
	for _, i := range members {
		if dir.peers[i].Name != name {
			rest = append(rest, i)
		}
	}
	return rest
}

func join(cells [][]int) []int {
	var all []int
	for _, cell := range cells {
		all = append(all, cell...)
	}
	return all
}

func sortedPlaces(dir *Directory) []string {
	names := make([]string, 0, len(dir.places))
	for place := range dir.places {
		names = append(names, place)
	}
	slices.Sort(names)
	return names
}
