package membership

import (
	"cmp"
	"slices"
	"time"
)

// groupKeepFor is how many suspicion times a group's row is kept.
const groupKeepFor = 5

// groupsPerSpot bounds the rows of groups held, for each place or cell that
// heartbeats go to.
const groupsPerSpot = 64

// groupKey identifies a group.
type groupKey struct{ service, place string }

// groupState is the newest row of a group.
type groupState struct {
	row    GroupRow
	heard  time.Time
	source string
	// released marks an own row that SetGroups hasn't named again. It is kept,
	// and not passed on, until another owner's row comes in: the group has
	// endpoints still.
	released bool
	relay
}

// SetGroups replaces the rows of the groups that this entry owns. The table
// fills in the owner, its incarnation and the counter.
func (t *Table) SetGroups(now time.Time, own []GroupRow) {
	t.begin(now)
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

// setGroup puts a row of this entry's own in place of what is held.
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
	g.heard = now
	g.released = false
}

// Group returns the newest row of a group and the time since it came in; it is
// false when there is none.
func (t *Table) Group(now time.Time, service, place string) (GroupRow, time.Duration, bool) {
	g, ok := t.groups[groupKey{service, place}]
	if !ok {
		return GroupRow{}, 0, false
	}
	return g.row, max(0, now.Sub(g.heard)), true
}

// mergeGroup takes a group's row over if it is newer or of a better owner.
func (t *Table) mergeGroup(now time.Time, from string, row GroupRow) {
	if row.Owner == t.self.Name || !t.follows(row.Place) || !t.listed(row.Owner) {
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
		if !newerGroup(row, g.row) {
			return
		}
	case !t.ownerChanged(now, g, row):
		return
	}
	if !ok || g.row.Owner == t.self.Name {
		g = &groupState{}
		t.groups[key] = g
	}
	g.row = row
	g.heard = now
	g.source = from
	g.renew(now, t.cfg)
}

// maxGroupRows bounds the group rows that a table holds.
func (t *Table) maxGroupRows() int { return groupsPerSpot * (len(t.spots) + 1) }

func newerGroup(a, b GroupRow) bool {
	if a.OwnerIncarnation != b.OwnerIncarnation {
		return a.OwnerIncarnation > b.OwnerIncarnation
	}
	return a.Counter > b.Counter
}

// ownerChanged says whether a row of another owner replaces the one held.
func (t *Table) ownerChanged(now time.Time, g *groupState, row GroupRow) bool {
	if s, known := t.members[g.row.Owner]; known && (!t.alive(now, s) || s.row.Leaving) {
		return true
	}
	if now.Sub(g.heard) >= t.cfg.SuspectAfter {
		return true
	}
	owner, ok := t.ranked(now, row.Service, row.Place)
	return ok && owner.Name == row.Owner
}

// dropGroups forgets rows of groups that nobody speaks for any more.
func (t *Table) dropGroups(now time.Time) {
	for key, g := range t.groups {
		if now.Sub(g.heard) >= groupKeepFor*t.suspectAfter(g.row.Owner) {
			delete(t.groups, key)
		}
	}
}

// groupRows picks the rows of groups for a heartbeat: the own ones, then for
// another place those of the own place, each in the order in which they were
// last passed on.
func (t *Table) groupRows(now time.Time, to string, request *Heartbeat) []GroupRow {
	list := t.groupCandidates(now, to, request)
	peer, _ := t.dir.Peer(to)
	outside := peer.Place != t.self.Place
	slices.SortFunc(list, func(a, b *groupState) int {
		return cmp.Or(
			cmp.Compare(t.nearness(b, outside), t.nearness(a, outside)),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.row.Place, b.row.Place),
			cmp.Compare(a.row.Service, b.row.Service),
		)
	})
	if len(list) > t.cfg.MaxGroups {
		list = list[:t.cfg.MaxGroups]
	}
	rows := make([]GroupRow, 0, len(list))
	for _, g := range list {
		g.relayed(t.self.Counter)
		rows = append(rows, t.packGroup(g.row))
	}
	return rows
}

// nearness orders rows: own ones, those of the own place for another place, and
// all others.
func (t *Table) nearness(g *groupState, outside bool) int {
	return 2*boolRank(g.row.Owner == t.self.Name) + boolRank(outside && g.row.Place == t.self.Place)
}

// packGroup leaves out what the sender's own row says.
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

// unpackGroup undoes packGroup.
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

// groupCandidates are the rows of others that are recent and that the entry to
// doesn't have.
func (t *Table) groupCandidates(now time.Time, to string, request *Heartbeat) []*groupState {
	has := make(map[groupKey]GroupRow)
	if request != nil {
		for _, row := range request.Groups {
			row = unpackGroup(row, *request)
			has[groupKey{row.Service, row.Place}] = row
		}
	}
	var list []*groupState
	for key, g := range t.groups {
		if g.released || g.row.Owner == to || g.source == to || !g.due(t.cfg) {
			continue
		}
		if now.Sub(g.heard) >= t.cfg.SuspectAfter {
			continue
		}
		if known, ok := has[key]; ok && known.Owner == g.row.Owner && !newerGroup(g.row, known) {
			continue
		}
		list = append(list, g)
	}
	return list
}
