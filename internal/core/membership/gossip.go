package membership

import (
	"cmp"
	"slices"
	"time"
)

const (
	// receiveFactor bounds the rows read from one heartbeat: to this multiple
	// of MaxRows for members and of MaxGroups for groups.
	receiveFactor = 4
)

// Tick advances this entry's counter and returns the heartbeats to send in this
// period. It must be called once per Period; a gap longer than the lease counts
// as a stall.
func (t *Table) Tick(now time.Time) []Target {
	t.markStarted(now)
	t.detectStall(now)
	t.lastTick = now
	t.self.Counter++
	t.sentAt[t.self.Counter%historyTicks] = now
	t.updateCellContact(now)
	t.expireGroups(now)
	peers := t.nextTargets(now)
	targets := make([]Target, 0, len(peers))
	for _, peer := range peers {
		targets = append(targets, Target{Peer: peer, Heartbeat: t.compose(now, peer.Name, nil)})
	}
	return targets
}

// Receive merges a heartbeat and returns the reply to it: rows that the sender
// lacks. The sender passes the reply to Receive as well, and ignores the
// result.
func (t *Table) Receive(now time.Time, hb Heartbeat) Heartbeat {
	t.markStarted(now)
	t.detectStall(now)
	t.clearAwaited(hb.From)
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
	t.updateCellContact(now)
	return t.compose(now, hb.From, &hb)
}

// mergeMember merges a row about a member. Of a row that is not newer than the
// known one, only a Leaving mark of the same incarnation is applied.
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
		mergeIndirect(s, row)
	case !known:
		if t.shouldAdd(row) {
			t.members[row.Name] = t.newState(now, from, row)
		}
	case row.Incarnation > s.row.Incarnation:
		*s = *t.newState(now, from, row)
	case row.Incarnation == s.row.Incarnation:
		t.mergeCounter(now, from, s, row)
	}
}

// mergeIndirect merges a row about a member of the own cell that was received
// from outside the cell. It records that the member has restarted or is leaving,
// but does not count it as live. Liveness is decided within the cell: a
// member whose heartbeats reach only entries outside the cell is fenced, and
// the other members must not count it as live.
func mergeIndirect(s *memberState, row MemberRow) {
	switch {
	case s == nil:
	case row.Incarnation > s.row.Incarnation:
		row.Counter = 0
		s.row = row
		s.updatedAt, s.liveSince = time.Time{}, time.Time{} // both belong to the former incarnation
	case row.Incarnation == s.row.Incarnation && row.Leaving && !s.row.Leaving:
		s.row.Leaving = true
		s.relayCount = 0
	}
}

// mergeCounter merges a row of the known incarnation. A higher counter shows
// that the entry is live. Leaving never reverts. A new Leaving mark without a
// higher counter restarts the relay count.
func (t *Table) mergeCounter(now time.Time, from string, s *memberState, row MemberRow) {
	leaving := s.row.Leaving || row.Leaving
	if row.Counter > s.row.Counter {
		if !t.isLive(now, s) {
			s.liveSince = now
		}
		row.Version = max(row.Version, s.row.Version)
		s.row = row
		s.updatedAt = now
		s.source = from
		s.renew(now, t.cfg)
	}
	if leaving && !s.row.Leaving {
		s.relayCount = 0
	}
	s.row.Leaving = leaving
}

// mergeSelf merges a row about this entry as another one knows it. A higher
// incarnation, or a higher counter of this one, comes from another process with
// the same name. Any other row of this incarnation acknowledges the heartbeat
// with its counter.
func (t *Table) mergeSelf(now time.Time, from string, row MemberRow) {
	switch {
	case row.Incarnation > t.self.Incarnation:
		t.supersededBy = max(t.supersededBy, row.Incarnation)
	case row.Incarnation < t.self.Incarnation:
	case row.Counter > t.self.Counter:
		t.supersededBy = max(t.supersededBy, row.Incarnation)
	default:
		t.recordAck(now, from, row.Counter)
	}
}

func (t *Table) newState(now time.Time, from string, row MemberRow) *memberState {
	inCell := t.dir.sameCell(t.self.Name, row.Name)
	return &memberState{row: row, updatedAt: now, liveSince: now, source: from, inCell: inCell}
}

// shouldAdd reports whether the row of an unknown member is to be kept: a listed
// one if its place is followed, another one while the table is below its bound.
func (t *Table) shouldAdd(row MemberRow) bool {
	if _, listed := t.dir.byName[row.Name]; listed {
		return t.follows(row.Place)
	}
	return len(t.members) < len(t.dir.byName)+t.cfg.MaxUnlisted
}

// compose builds a heartbeat for the entry to. For a reply, request is the
// heartbeat that to has just sent; otherwise it is nil. The second row is that
// of to, if known: its counter acknowledges the heartbeats of to, received from
// it or relayed by others.
func (t *Table) compose(now time.Time, to string, request *Heartbeat) Heartbeat {
	hb := Heartbeat{From: t.self.Name, Members: []MemberRow{t.self}}
	if s, ok := t.members[to]; ok {
		hb.Members = append(hb.Members, t.packRow(s.row))
	}
	for _, s := range t.relayCandidates(now, to, request) {
		s.recordRelay(t.self.Counter)
		hb.Members = append(hb.Members, t.packRow(s.row))
	}
	hb.Groups = t.groupRows(now, to, request)
	return hb
}

// packRow leaves out the place of a row if it is this entry's place.
func (t *Table) packRow(row MemberRow) MemberRow {
	if row.Place == t.self.Place {
		row.Place = ""
	}
	return row
}

// relayCandidates returns the member rows to relay to the entry to, without
// those that it is known to have. For an entry of the own cell the rows of the
// cell come first, then those that were relayed least recently. compose adds
// two more rows to the heartbeat.
func (t *Table) relayCandidates(now time.Time, to string, request *Heartbeat) []*memberState {
	limit := t.cfg.MaxRows - 2
	if len(t.dir.byName) > smallSystemEntries {
		limit /= 2
	}
	has := rowOrders(request)
	var list []*memberState
	for name, s := range t.members {
		if name == to || s.source == to || !s.mayRelay(t.cfg) || !t.recentEnough(now, s) {
			continue
		}
		if known, ok := has[name]; ok && known.covers(s.row) {
			continue
		}
		list = append(list, s)
	}
	inCell := t.dir.sameCell(t.self.Name, to)
	slices.SortFunc(list, func(a, b *memberState) int { return compareRows(inCell, a, b) })
	if len(list) > limit {
		list = list[:limit]
	}
	return list
}

// compareRows orders rows for relaying. With inCell, rows of the own cell come
// first.
func compareRows(inCell bool, a, b *memberState) int {
	if inCell && a.inCell != b.inCell {
		return cmp.Compare(boolRank(b.inCell), boolRank(a.inCell))
	}
	if c := cmp.Compare(a.lastRelayed, b.lastRelayed); c != 0 {
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

// recentEnough reports whether a row may still be relayed: its counter rose
// recently, or its entry is leaving and still live.
func (t *Table) recentEnough(now time.Time, s *memberState) bool {
	return now.Sub(s.updatedAt) < t.cfg.SuspectAfter/2 || s.row.Leaving && t.isLive(now, s)
}

// rowOrder holds the fields of a row that decide whether another is newer.
type rowOrder struct {
	incarnation, counter uint64
	leaving              bool
}

// covers reports whether row adds nothing to the row that o describes.
func (o rowOrder) covers(row MemberRow) bool {
	if o.incarnation != row.Incarnation {
		return o.incarnation > row.Incarnation
	}
	return o.counter >= row.Counter && o.leaving == row.Leaving
}

// rowOrders returns the order of each member row in a heartbeat, by name.
func rowOrders(hb *Heartbeat) map[string]rowOrder {
	if hb == nil {
		return nil
	}
	has := make(map[string]rowOrder, len(hb.Members))
	for _, row := range hb.Members {
		has[row.Name] = rowOrder{row.Incarnation, row.Counter, row.Leaving}
	}
	return has
}
