package membership

import "time"

// Settled says whether this entry has been up, and heard, for long enough that
// it may own groups.
func (t *Table) Settled(now time.Time) bool {
	return !t.Fenced(now) && t.settledSelf(now)
}

// Relieved says whether this entry may leave without a spell in which its place
// has no owner: it can own nothing itself, or another entry of the place can, or
// none is in reach that could come to do so. An entry that is leaving counts as
// in reach until it falls silent, since it may be about to start again; so does one
// that has started again as others say.
func (t *Table) Relieved(now time.Time) bool {
	if !t.Settled(now) {
		return true
	}
	alone := true
	for _, s := range t.members {
		if s.row.Place == t.self.Place && s.heard.IsZero() {
			alone = false
		}
	}
	for _, m := range t.LiveOrLeaving(now, t.self.Place) {
		if m.Name == t.self.Name {
			continue
		}
		alone = false
		if !m.Leaving && now.Sub(t.members[m.Name].since) >= t.settleTime() {
			return true
		}
	}
	return alone
}
