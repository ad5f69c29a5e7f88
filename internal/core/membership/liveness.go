package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// smallSystem is the number of entries up to which every entry follows all.
const smallSystem = 24

// wake notices that this entry's own loop stood still for longer than the
// lease. The silence of others in that time was this entry's own, so their
// times move on by the gap, and this entry counts as just started.
func (t *Table) wake(now time.Time) {
	base := t.awakeAt()
	if base.IsZero() || now.Sub(base) <= t.cfg.Lease {
		return
	}
	gap := now.Sub(base)
	for _, s := range t.members {
		if t.aliveAt(base, s) {
			s.heard = s.heard.Add(gap)
		}
	}
	for _, g := range t.groups {
		g.heard = g.heard.Add(gap)
	}
	t.resumed = now
	t.started = now
	t.acked = time.Time{}
	t.hears = now
}

// awakeAt is the last time at which the own loop is known to have run.
func (t *Table) awakeAt() time.Time {
	if t.resumed.After(t.lastTick) {
		return t.resumed
	}
	return t.lastTick
}

// viewTime is the time up to which silence of others means anything.
func (t *Table) viewTime(now time.Time) time.Time {
	base := t.awakeAt()
	if !base.IsZero() && now.Sub(base) > t.cfg.Lease {
		return base
	}
	return now
}

// acknowledge records that the cell has the own heartbeat with this counter.
func (t *Table) acknowledge(now time.Time, from string, counter uint64) {
	if !t.dir.sameCell(t.self.Name, from) || t.self.Counter-counter >= historyTicks {
		return
	}
	sent := t.sentAt[counter%historyTicks]
	if !sent.After(t.acked) || sent.Before(t.resumed) {
		return
	}
	if t.unacknowledged(now) {
		t.started = now
	}
	t.acked = sent
}

// noteHearing keeps the time since which the cell has been heard. A member that
// leaves takes nothing over, so that its silence means nothing.
func (t *Table) noteHearing(now time.Time) {
	for _, i := range t.cell {
		if s, ok := t.members[t.dir.peers[i].Name]; ok && !s.row.Leaving && t.alive(now, s) {
			if t.hears.IsZero() {
				t.hears = now
			}
			return
		}
	}
	t.hears = time.Time{}
}

// unacknowledged says that this entry hears its cell, but that the cell hasn't
// heard it for a lease.
func (t *Table) unacknowledged(now time.Time) bool {
	if t.hears.IsZero() {
		return false
	}
	last := t.hears
	if t.acked.After(last) {
		last = t.acked
	}
	return now.Sub(last) > t.cfg.Lease
}

// Fenced says whether this entry must not act as an owner: its loop has
// stalled, its cell doesn't hear it, or another process has its name with a
// higher incarnation.
func (t *Table) Fenced(now time.Time) bool {
	if t.lastTick.IsZero() || now.Sub(t.lastTick) > t.cfg.Lease {
		return true
	}
	return t.Superseded() || t.unacknowledged(now)
}

// Superseded says whether another process with this entry's name has been seen
// with a higher incarnation, or with this one and a higher counter. Nothing
// that this entry says is believed then; it must restart with a higher one.
func (t *Table) Superseded() bool { return t.successor > 0 }

// alive says whether a member is still heard.
func (t *Table) alive(now time.Time, s *state) bool {
	return t.aliveAt(t.viewTime(now), s)
}

func (t *Table) aliveAt(at time.Time, s *state) bool {
	return at.Sub(s.heard) < t.suspectAfter(s.row.Name)
}

// suspectAfter is the silence after which a member isn't live. Outside the own
// cell it is longer: in a small system by the rounds in which a row reaches
// everyone, and by two turns of the rotation otherwise.
func (t *Table) suspectAfter(name string) time.Duration {
	if t.dir.sameCell(t.self.Name, name) {
		return t.cfg.SuspectAfter
	}
	return t.cfg.SuspectAfter + time.Duration(t.farRounds)*t.cfg.Period
}

// roundsOutside returns the periods that a row from outside the own cell may
// be late.
func (t *Table) roundsOutside() int {
	if len(t.dir.byName) <= smallSystem {
		return 3 * bits.Len(uint(len(t.dir.byName))) / 2
	}
	perPeriod := max(1, t.cfg.FanOut-min(t.cfg.CellFanOut, len(t.cell)))
	return 2 * ((len(t.spots) + perPeriod - 1) / perPeriod)
}

// listed says whether a name may be live: all may while there are no peers.
func (t *Table) listed(name string) bool {
	if len(t.dir.byName) == 0 || name == t.self.Name {
		return true
	}
	_, ok := t.dir.byName[name]
	return ok
}

// Live returns the live members of a place, sorted by name. It includes this
// entry while it isn't fenced, and leaves out members that are leaving.
func (t *Table) Live(now time.Time, place string) []Member {
	return t.list(now, place, false)
}

// LiveOrLeaving is Live with the members that are leaving.
func (t *Table) LiveOrLeaving(now time.Time, place string) []Member {
	return t.list(now, place, true)
}

func (t *Table) list(now time.Time, place string, leaving bool) []Member {
	var live []Member
	add := func(m Member, ok bool) {
		if ok && m.Place == place && (leaving || !m.Leaving) {
			live = append(live, m)
		}
	}
	add(t.Member(now, t.self.Name))
	if len(t.dir.byName) == 0 {
		for name := range t.members {
			add(t.Member(now, name))
		}
	}
	for _, cell := range t.dir.places[place] {
		for _, i := range cell {
			if name := t.dir.peers[i].Name; name != t.self.Name {
				add(t.Member(now, name))
			}
		}
	}
	slices.SortFunc(live, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return live
}

// Member returns a member that is live, or leaving and still in reach.
func (t *Table) Member(now time.Time, name string) (Member, bool) {
	if name == t.self.Name {
		return memberOf(t.self), !t.Fenced(now)
	}
	s, ok := t.members[name]
	if !ok || !t.listed(name) || !t.alive(now, s) {
		return Member{}, false
	}
	return memberOf(s.row), true
}

// KnownIncarnation returns the highest incarnation ever seen of an entry, also
// when it is no longer live.
func (t *Table) KnownIncarnation(name string) (uint64, bool) {
	if name == t.self.Name {
		return max(t.self.Incarnation, t.successor), true
	}
	s, ok := t.members[name]
	if !ok {
		return 0, false
	}
	return s.row.Incarnation, true
}

// NewestVersion returns the highest version above the own one among the
// members in reach, and the nearest member that has it: of the own place
// first, then of the own region.
func (t *Table) NewestVersion(now time.Time) (version uint64, from Member, ok bool) {
	for name, s := range t.members {
		if s.row.Version <= t.self.Version || s.row.Version < version || !t.alive(now, s) {
			continue
		}
		if _, listed := t.dir.byName[name]; !listed && len(t.dir.byName) > 0 {
			continue
		}
		if s.row.Version > version || t.nearer(s.row, from) {
			version = s.row.Version
			from = memberOf(s.row)
			ok = true
		}
	}
	return version, from, ok
}

// nearer orders two members by their distance from this entry.
func (t *Table) nearer(row MemberRow, than Member) bool {
	a := t.distance(row.Place)
	b := t.distance(than.Place)
	if a != b {
		return a < b
	}
	return row.Name < than.Name
}

func (t *Table) distance(place string) int {
	region := t.dir.region[t.self.Place]
	switch {
	case place == t.self.Place:
		return 0
	case region != "" && t.dir.region[place] == region:
		return 1
	default:
		return 2
	}
}

func memberOf(row MemberRow) Member {
	return Member{
		Name:        row.Name,
		Place:       row.Place,
		Incarnation: row.Incarnation,
		Version:     row.Version,
		Leaving:     row.Leaving,
	}
}
