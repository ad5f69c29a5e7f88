package membership

import "time"

// Settled reports whether this entry is not fenced and has been up, with its
// heartbeats acknowledged, for long enough to own groups.
func (t *Table) Settled(now time.Time) bool {
	return !t.Fenced(now) && t.settledSelf(now)
}

// MayLeave reports whether this entry may leave without a time in which its place
// has no owner: it cannot own groups itself, or another entry of the place can,
// or the place has no other entry that could come to do so. An entry that is
// leaving counts as one that could until it is unresponsive, since it may
// restart. So does an entry whose restart is known only from outside
// the cell.
func (t *Table) MayLeave(now time.Time) bool {
	if !t.Settled(now) {
		return true
	}
	onlyEntry := true
	for _, s := range t.members {
		if s.row.Place == t.self.Place && s.updatedAt.IsZero() {
			onlyEntry = false
		}
	}
	for _, m := range t.LiveOrLeaving(now, t.self.Place) {
		if m.Name == t.self.Name {
			continue
		}
		onlyEntry = false
		if !m.Leaving && now.Sub(t.members[m.Name].liveSince) >= t.settleTime() {
			return true
		}
	}
	return onlyEntry
}
