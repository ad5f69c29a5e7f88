package membership

import (
	"cmp"
	"slices"
	"time"
)

// groupKeepFor is how many suspicion times a group's row is kept.
const groupKeepFor = 5

// groupKey identifies a group.
type groupKey struct{ service, place string }

// groupState is the newest row of a group.
type groupState struct {
	row    GroupRow
	heard  time.Time
	source string
	sent   uint64
}

// SetGroups replaces the rows of the groups that this entry owns. The table
// fills in the owner, its incarnation and the counter.
func (t *Table) SetGroups(now time.Time, own []GroupRow) {
	t.begin(now)
	t.groupCounter++
	t.own = slices.Clone(own)
	for i := range t.own {
		row := &t.own[i]
		row.Owner = t.self.Name
		row.OwnerIncarnation = t.self.Incarnation
		row.Counter = t.groupCounter
		key := groupKey{row.Service, row.Place}
		t.groups[key] = &groupState{row: *row, heard: now}
	}
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
	t.groups[key] = &groupState{row: row, heard: now, source: from}
}

// maxGroupRows bounds the group rows that a table holds.
func (t *Table) maxGroupRows() int {
	return t.cfg.MaxGroups * (len(t.spots) + len(t.cell) + 2)
}

func newerGroup(a, b GroupRow) bool {
	if a.OwnerIncarnation != b.OwnerIncarnation {
		return a.OwnerIncarnation > b.OwnerIncarnation
	}
	return a.Counter > b.Counter
}

// ownerChanged says whether a row of another owner replaces the one held.
func (t *Table) ownerChanged(now time.Time, g *groupState, row GroupRow) bool {
	if _, live := t.Member(now, g.row.Owner); !live {
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

// groupRows picks the rows of groups for a heartbeat: the own ones, then those
// of the own place, then those that were passed on longest ago.
func (t *Table) groupRows(now time.Time, to string, request *Heartbeat) []GroupRow {
	rows := slices.Clone(t.own)
	if len(rows) >= t.cfg.MaxGroups {
		return t.rotateOwn(rows)
	}
	list := t.groupCandidates(now, to, request)
	slices.SortFunc(list, func(a, b *groupState) int {
		homeA := boolRank(a.row.Place == t.self.Place)
		homeB := boolRank(b.row.Place == t.self.Place)
		return cmp.Or(
			cmp.Compare(homeB, homeA),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.row.Place, b.row.Place),
			cmp.Compare(a.row.Service, b.row.Service),
		)
	})
	if room := t.cfg.MaxGroups - len(rows); len(list) > room {
		list = list[:room]
	}
	for _, g := range list {
		g.sent = t.self.Counter
		rows = append(rows, g.row)
	}
	return rows
}

// rotateOwn sends a part of many own rows, another part each period.
func (t *Table) rotateOwn(rows []GroupRow) []GroupRow {
	start := int(t.self.Counter) * t.cfg.MaxGroups % len(rows)
	rotated := append(slices.Clone(rows[start:]), rows[:start]...)
	return rotated[:t.cfg.MaxGroups]
}

// groupCandidates are the rows of others that are recent and that the entry to
// doesn't have.
func (t *Table) groupCandidates(now time.Time, to string, request *Heartbeat) []*groupState {
	has := make(map[groupKey]GroupRow)
	if request != nil {
		for _, row := range request.Groups {
			has[groupKey{row.Service, row.Place}] = row
		}
	}
	var list []*groupState
	for key, g := range t.groups {
		if g.row.Owner == t.self.Name || g.row.Owner == to || g.source == to {
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
