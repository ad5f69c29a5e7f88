package membership

import (
	"cmp"
	"slices"
	"time"
)

// groupExpiryFactor is the age at which a group's row is deleted, in multiples
// of the time after which its owner is no longer live.
const groupExpiryFactor = 5

// groupsPerPeerSet is the part of maxGroupRows for each peer set and for the own
// cell.
const groupsPerPeerSet = 64

// groupKey identifies a group.
type groupKey struct{ service, place string }

// groupState holds the newest row of a group.
type groupState struct {
	row GroupRow
	// updatedAt is when the row was received, or set by this entry as the
	// owner.
	updatedAt time.Time
	// source names the sender of the row; empty for an own row.
	source string
	// released marks an own row that the last SetGroups did not contain. It is
	// kept, but not relayed, until the row of another owner replaces it,
	// because the group still has endpoints.
	released bool
	relay
}

// SetGroups replaces the rows of the groups that this entry owns. The table
// fills in the owner, its incarnation and the counter.
func (t *Table) SetGroups(now time.Time, own []GroupRow) {
	t.markStarted(now)
	if now.Sub(t.groupsAt) >= t.cfg.RelayPeriod {
		t.groupCounter++
		t.groupsAt = now
	}
	for _, g := range t.groups {
		if g.row.Owner == t.self.Name {
			g.released = true
		}
	}
	for _, row := range own {
		t.setGroup(now, row)
	}
}

// setGroup replaces the row held of a group by one of this entry's own.
func (t *Table) setGroup(now time.Time, row GroupRow) {
	row.Owner = t.self.Name
	row.OwnerIncarnation = t.self.Incarnation
	row.Counter = t.groupCounter
	key := groupKey{row.Service, row.Place}
	g, ok := t.groups[key]
	if !ok || g.row.Owner != t.self.Name {
		g = &groupState{}
		t.groups[key] = g
	}
	if row.Counter > g.row.Counter {
		g.renew(now, t.cfg)
	}
	g.row = row
	g.updatedAt = now
	g.released = false
}

// Group returns the newest row of a group and the time since it was received or
// set; false means that no row is held.
func (t *Table) Group(now time.Time, service, place string) (GroupRow, time.Duration, bool) {
	g, ok := t.groups[groupKey{service, place}]
	if !ok {
		return GroupRow{}, 0, false
	}
	return g.row, max(0, now.Sub(g.updatedAt)), true
}

// mergeGroup merges a group's row from another entry. It stores the row of
// a group without one while fewer than maxGroupRows are held, a newer row of the
// same owner, and the row of another owner if replacesOwner permits it.
func (t *Table) mergeGroup(now time.Time, from string, row GroupRow) {
	if row.Owner == t.self.Name || !t.follows(row.Place) || !t.isListed(row.Owner) {
		return
	}
	if known, ok := t.KnownIncarnation(row.Owner); ok && row.OwnerIncarnation < known {
		return
	}
	key := groupKey{row.Service, row.Place}
	g, ok := t.groups[key]
	switch {
	case !ok:
		if len(t.groups) >= t.maxGroupRows() {
			return
		}
	case g.row.Owner == row.Owner:
		if !isNewerGroup(row, g.row) {
			return
		}
	case !t.replacesOwner(now, g, row):
		return
	}
	if !ok || g.row.Owner == t.self.Name {
		g = &groupState{}
		t.groups[key] = g
	}
	g.row = row
	g.updatedAt = now
	g.source = from
	g.renew(now, t.cfg)
}

// maxGroupRows is the number of group rows held from which rows of further
// groups are ignored. Rows that this entry owns are added regardless.
func (t *Table) maxGroupRows() int { return groupsPerPeerSet * (len(t.peerSets) + 1) }

// isNewerGroup reports whether row a of an owner is newer than row b of the same
// owner.
func isNewerGroup(a, b GroupRow) bool {
	if a.OwnerIncarnation != b.OwnerIncarnation {
		return a.OwnerIncarnation > b.OwnerIncarnation
	}
	return a.Counter > b.Counter
}

// replacesOwner reports whether the row of another owner replaces the one held:
// when the owner in the row held is unresponsive or leaving, when that row is
// stale, or when rendezvous hashing chooses the new owner.
func (t *Table) replacesOwner(now time.Time, g *groupState, row GroupRow) bool {
	if s, known := t.members[g.row.Owner]; known && (!t.isLive(now, s) || s.row.Leaving) {
		return true
	}
	if now.Sub(g.updatedAt) >= t.cfg.SuspectAfter {
		return true
	}
	owner, ok := t.rendezvousOwner(now, row.Service, row.Place)
	return ok && owner.Name == row.Owner
}

// expireGroups deletes the group rows that have not been renewed for a long
// time.
func (t *Table) expireGroups(now time.Time) {
	for key, g := range t.groups {
		if now.Sub(g.updatedAt) >= groupExpiryFactor*t.suspectAfter(g.row.Owner) {
			delete(t.groups, key)
		}
	}
}

// groupRows returns the group rows for a heartbeat: those that this entry owns,
// then for an entry of another place those of the own place, then the others.
// Within each class the least recently relayed come first.
func (t *Table) groupRows(now time.Time, to string, request *Heartbeat) []GroupRow {
	list := t.groupRelayCandidates(now, to, request)
	peer, _ := t.dir.Peer(to)
	outside := peer.Place != t.self.Place
	slices.SortFunc(list, func(a, b *groupState) int {
		return cmp.Or(
			cmp.Compare(t.relayPriority(b, outside), t.relayPriority(a, outside)),
			cmp.Compare(a.lastRelayed, b.lastRelayed),
			cmp.Compare(a.row.Place, b.row.Place),
			cmp.Compare(a.row.Service, b.row.Service),
		)
	})
	if len(list) > t.cfg.MaxGroups {
		list = list[:t.cfg.MaxGroups]
	}
	rows := make([]GroupRow, 0, len(list))
	for _, g := range list {
		g.recordRelay(t.self.Counter)
		rows = append(rows, t.packGroup(g.row))
	}
	return rows
}

// relayPriority returns a higher number for rows to relay first: those that
// this entry owns, then with outside those of the own place.
func (t *Table) relayPriority(g *groupState, outside bool) int {
	return 2*boolRank(g.row.Owner == t.self.Name) + boolRank(outside && g.row.Place == t.self.Place)
}

// packGroup leaves out the place and the owner where they are the sender's own.
func (t *Table) packGroup(row GroupRow) GroupRow {
	if row.Place == t.self.Place {
		row.Place = ""
	}
	if row.Owner == t.self.Name {
		row.Owner = ""
		row.OwnerIncarnation = 0
	}
	return row
}

// unpackGroup reverses packGroup, using the first member row of the heartbeat.
func unpackGroup(row GroupRow, hb Heartbeat) GroupRow {
	if len(hb.Members) == 0 {
		return row
	}
	sender := hb.Members[0]
	if row.Place == "" {
		row.Place = sender.Place
	}
	if row.Owner == "" {
		row.Owner = hb.From
		row.OwnerIncarnation = sender.Incarnation
	}
	return row
}

// groupRelayCandidates returns the group rows that may be relayed to the entry
// to. It leaves out rows that are released, stale or relayed often enough, rows
// that to owns or has sent, and those of which its request has a row of the same
// owner that is at least as new.
func (t *Table) groupRelayCandidates(now time.Time, to string, request *Heartbeat) []*groupState {
	has := make(map[groupKey]GroupRow)
	if request != nil {
		for _, row := range request.Groups {
			row = unpackGroup(row, *request)
			has[groupKey{row.Service, row.Place}] = row
		}
	}
	var list []*groupState
	for key, g := range t.groups {
		if g.released || g.row.Owner == to || g.source == to || !g.mayRelay(t.cfg) {
			continue
		}
		if now.Sub(g.updatedAt) >= t.cfg.SuspectAfter {
			continue
		}
		if known, ok := has[key]; ok && known.Owner == g.row.Owner && !isNewerGroup(g.row, known) {
			continue
		}
		list = append(list, g)
	}
	return list
}
