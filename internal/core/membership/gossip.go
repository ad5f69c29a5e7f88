package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// receiveFactor bounds the rows read of one heartbeat, in MaxRows.
	receiveFactor = 4
)

// Tick advances the own counter and returns the heartbeats of this period. It
// is called every Period; a gap longer than the lease counts as a stall.
func (t *Table) Tick(now time.Time) []Target {
	t.begin(now)
	t.wake(now)
	t.lastTick = now
	t.self.Counter++
	t.sentAt[t.self.Counter%historyTicks] = now
	t.noteHearing(now)
	t.dropGroups(now)
	peers := t.nextTargets(now)
	targets := make([]Target, 0, len(peers))
	for _, peer := range peers {
		targets = append(targets, Target{Peer: peer, Heartbeat: t.compose(now, peer.Name, nil)})
	}
	return targets
}

// Receive merges a heartbeat and returns the reply to it: rows that the sender
// lacks. A reply is merged in the same way, and its own reply is ignored.
func (t *Table) Receive(now time.Time, hb Heartbeat) Heartbeat {
	t.begin(now)
	t.wake(now)
	t.answered(hb.From)
	place := ""
	if len(hb.Members) > 0 {
		place = hb.Members[0].Place
	}
	limit := min(len(hb.Members), receiveFactor*t.cfg.MaxRows)
	for _, row := range hb.Members[:limit] {
		if row.Place == "" {
			row.Place = place
		}
		t.mergeMember(now, hb.From, row)
	}
	groups := min(len(hb.Groups), receiveFactor*t.cfg.MaxGroups)
	for _, row := range hb.Groups[:groups] {
		row = unpackGroup(row, hb)
		t.mergeGroup(now, hb.From, row)
	}
	t.noteHearing(now)
	return t.compose(now, hb.From, &hb)
}

// mergeMember takes a row over if it is newer than what is known.
func (t *Table) mergeMember(now time.Time, from string, row MemberRow) {
	if row.Name == t.self.Name {
		t.mergeSelf(now, from, row)
		return
	}
	if peer, ok := t.dir.Peer(row.Name); ok {
		row.Place = peer.Place
	}
	s, known := t.members[row.Name]
	switch {
	case row.Name == "" || row.Place == "":
	case t.dir.sameCell(t.self.Name, row.Name) && !t.dir.sameCell(t.self.Name, from):
		mergeHearsay(s, row)
	case !known:
		if t.mayAdd(row) {
			t.members[row.Name] = t.newState(now, from, row)
		}
	case row.Incarnation > s.row.Incarnation:
		*s = *t.newState(now, from, row)
	case row.Incarnation == s.row.Incarnation:
		t.mergeCounter(now, from, s, row)
	}
}

// mergeHearsay takes from a row of a cell member that came from outside the cell
// that the member has restarted or is leaving, but not that it is live: the
// cell itself decides that, so that its members agree with the fence of one
// that only others hear.
func mergeHearsay(s *state, row MemberRow) {
	switch {
	case s == nil:
	case row.Incarnation > s.row.Incarnation:
		row.Counter = 0
		s.row = row
		s.heard, s.since = time.Time{}, time.Time{} // the former life's
	case row.Incarnation == s.row.Incarnation && row.Leaving && !s.row.Leaving:
		s.row.Leaving = true
		s.times = 0
	}
}

// mergeCounter merges a row of the incarnation that is known.
func (t *Table) mergeCounter(now time.Time, from string, s *state, row MemberRow) {
	leaving := s.row.Leaving || row.Leaving
	if row.Counter > s.row.Counter {
		if !t.alive(now, s) {
			s.since = now
		}
		row.Version = max(row.Version, s.row.Version)
		s.row = row
		s.heard = now
		s.source = from
		s.renew(now, t.cfg)
	}
	if leaving && !s.row.Leaving {
		s.times = 0
	}
	s.row.Leaving = leaving
}

// mergeSelf reads what another entry knows of this one.
func (t *Table) mergeSelf(now time.Time, from string, row MemberRow) {
	switch {
	case row.Incarnation > t.self.Incarnation:
		t.successor = max(t.successor, row.Incarnation)
	case row.Incarnation < t.self.Incarnation:
	case row.Counter > t.self.Counter:
		t.successor = max(t.successor, row.Incarnation)
	default:
		t.acknowledge(now, from, row.Counter)
	}
}

func (t *Table) newState(now time.Time, from string, row MemberRow) *state {
	mate := t.dir.sameCell(t.self.Name, row.Name)
	return &state{row: row, heard: now, since: now, source: from, mate: mate}
}

// mayAdd says whether a new member is of use here and there is room for it.
func (t *Table) mayAdd(row MemberRow) bool {
	if _, listed := t.dir.byName[row.Name]; listed {
		return t.follows(row.Place)
	}
	return len(t.members) < len(t.dir.byName)+t.cfg.MaxUnlisted
}

// compose makes a heartbeat for the entry to. For a reply, request holds what
// that entry has just sent.
func (t *Table) compose(now time.Time, to string, request *Heartbeat) Heartbeat {
	hb := Heartbeat{From: t.self.Name, Members: []MemberRow{t.self}}
	if s, ok := t.members[to]; ok {
		hb.Members = append(hb.Members, t.pack(s.row))
	}
	for _, s := range t.candidates(now, to, request) {
		s.relayed(t.self.Counter)
		hb.Members = append(hb.Members, t.pack(s.row))
	}
	hb.Groups = t.groupRows(now, to, request)
	return hb
}

// pack leaves the place out of a row of the own place.
func (t *Table) pack(row MemberRow) MemberRow {
	if row.Place == t.self.Place {
		row.Place = ""
	}
	return row
}

// candidates picks the rows that are of most use to the entry to: those of the
// own cell, then those that were passed on longest ago.
func (t *Table) candidates(now time.Time, to string, request *Heartbeat) []*state {
	room := t.cfg.MaxRows - 2
	if len(t.dir.byName) > smallSystem {
		room /= 2
	}
	has := countersOf(request)
	var list []*state
	for name, s := range t.members {
		if name == to || s.source == to || !s.due(t.cfg) || !t.worthPassing(now, s) {
			continue
		}
		if known, ok := has[name]; ok && known.covers(s.row) {
			continue
		}
		list = append(list, s)
	}
	mate := t.dir.sameCell(t.self.Name, to)
	slices.SortFunc(list, func(a, b *state) int { return compareRows(mate, a, b) })
	if len(list) > room {
		list = list[:room]
	}
	return list
}

// compareRows orders rows for passing on.
func compareRows(mate bool, a, b *state) int {
	if mate && a.mate != b.mate {
		return cmp.Compare(boolRank(b.mate), boolRank(a.mate))
	}
	if c := cmp.Compare(a.sent, b.sent); c != 0 {
		return c
	}
	return cmp.Compare(a.row.Name, b.row.Name)
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// worthPassing says whether a row is recent enough to be passed on.
func (t *Table) worthPassing(now time.Time, s *state) bool {
	return now.Sub(s.heard) < t.cfg.SuspectAfter/2 || s.row.Leaving && t.alive(now, s)
}

// rowOrder is the incarnation and counter of a row.
type rowOrder struct {
	incarnation, counter uint64
	leaving              bool
}

func (o rowOrder) covers(row MemberRow) bool {
	if o.incarnation != row.Incarnation {
		return o.incarnation > row.Incarnation
	}
	return o.counter >= row.Counter && o.leaving == row.Leaving
}

func countersOf(hb *Heartbeat) map[string]rowOrder {
	if hb == nil {
		return nil
	}
	has := make(map[string]rowOrder, len(hb.Members))
	for _, row := range hb.Members {
		has[row.Name] = rowOrder{row.Incarnation, row.Counter, row.Leaving}
	}
	return has
}
