package membership

import (
	"slices"
	"time"
)

// probeEvery is how often a silent peer is tried instead of a live one.
const probeEvery = 4

// rotor goes round the peers so that each gets its turn. Its start depends on
// the entry's name, so that entries don't turn to the same peer together.
type rotor struct {
	cell, spot, visit int
	// awaited names the last peer outside the cell until it answers; retry
	// says that the spot was tried twice.
	awaited string
	retry   bool
}

func newRotor(name string, cell, spots int) rotor {
	start := int(hashOf(name, "", "") >> 33)
	r := rotor{visit: start}
	if cell > 0 {
		r.cell = start % cell
	}
	if spots > 0 {
		r.spot = start % spots
	}
	return r
}

// nextTargets picks the peers of this period: some of the own cell, the rest
// of other cells and places in turn.
func (t *Table) nextTargets(now time.Time) []Peer {
	inCell := min(t.cfg.CellFanOut, len(t.cell))
	outside := min(t.cfg.FanOut-inCell, len(t.spots))
	if outside < t.cfg.FanOut-inCell {
		inCell = min(t.cfg.FanOut-outside, len(t.cell))
	}
	var picked []Peer
	for range inCell {
		t.rotor.cell = (t.rotor.cell + 1) % len(t.cell)
		picked = t.pick(now, picked, t.cell, t.rotor.cell)
	}
	for k := range outside {
		t.nextSpot(k == 0)
		spot := t.spots[t.rotor.spot]
		picked = t.pick(now, picked, spot, (t.rotor.visit+t.rotor.spot)%len(spot))
		if len(picked) > 0 {
			t.rotor.awaited = picked[len(picked)-1].Name
		}
	}
	t.rotor.visit++
	return picked
}

// nextSpot turns to the next spot; the first time in a period it tries another
// member of the last one when there was no answer, once.
func (t *Table) nextSpot(first bool) {
	if first && t.rotor.awaited != "" && !t.rotor.retry {
		t.rotor.retry = true
		return
	}
	t.rotor.retry = false
	t.rotor.spot = (t.rotor.spot + 1) % len(t.spots)
}

// answered notes a message of the peer that is awaited.
func (t *Table) answered(from string) {
	if t.rotor.awaited == from {
		t.rotor.awaited = ""
	}
}

// pick appends the first live peer from start on, or the one at start when
// none is live or when it is time to probe.
func (t *Table) pick(now time.Time, picked []Peer, list []int, start int) []Peer {
	choice := start
	if t.rotor.visit%probeEvery != 0 {
		for k := range list {
			i := (start + k) % len(list)
			if t.mayAnswer(now, t.dir.peers[list[i]]) {
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

// mayAnswer says whether a peer is live or was never heard of.
func (t *Table) mayAnswer(now time.Time, peer Peer) bool {
	s, ok := t.members[peer.Name]
	return !ok || t.alive(now, s)
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
