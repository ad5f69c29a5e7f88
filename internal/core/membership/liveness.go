package membership

import (
	"math/bits"
	"slices"
	"strings"
	"time"
)

// smallSystemEntries is the number of listed entries up to which every entry
// follows all others. In a larger system heartbeats relay half as many member
// rows, and outside the cell an entry relies on the rotation over the peer
// sets.
const smallSystemEntries = 24

// detectStall handles a stall: this entry's own loop did not run for longer
// than the lease. Heartbeats missing in that time do not show that
// others have failed, so the times of the members that were live and of the
// groups move on by the gap, and this entry counts as just started.
func (t *Table) detectStall(now time.Time) {
	base := t.lastRun()
	if base.IsZero() || now.Sub(base) <= t.cfg.Lease {
		return
	}
	gap := now.Sub(base)
	for _, s := range t.members {
		if t.isLiveAt(base, s) {
			s.updatedAt = s.updatedAt.Add(gap)
		}
	}
	for _, g := range t.groups {
		g.updatedAt = g.updatedAt.Add(gap)
	}
	t.resumedAt = now
	t.startedAt = now
	t.lastAcked = time.Time{}
	t.cellLiveSince = now
}

// lastRun is the time of the last Tick, or of a stall detected after it.
func (t *Table) lastRun() time.Time {
	if t.resumedAt.After(t.lastTick) {
		return t.resumedAt
	}
	return t.lastTick
}

// livenessTime is the time at which the liveness of others is judged: now, or
// after an unhandled stall the last time at which the loop ran.
func (t *Table) livenessTime(now time.Time) time.Time {
	base := t.lastRun()
	if !base.IsZero() && now.Sub(base) > t.cfg.Lease {
		return base
	}
	return now
}

// recordAck records that a member of the cell has this entry's heartbeat with
// this counter, received directly or relayed. Acknowledgements from outside the
// cell, and of heartbeats sent before a stall or too long ago, do not count.
func (t *Table) recordAck(now time.Time, from string, counter uint64) {
	if !t.dir.sameCell(t.self.Name, from) || t.self.Counter-counter >= historyTicks {
		return
	}
	sent := t.sentAt[counter%historyTicks]
	if !sent.After(t.lastAcked) || sent.Before(t.resumedAt) {
		return
	}
	if t.unacknowledged(now) {
		t.startedAt = now
	}
	t.lastAcked = sent
}

// updateCellContact maintains cellLiveSince, the time since which the cell has
// had a live member. A leaving member takes over no groups, so its
// acknowledgements are not required.
func (t *Table) updateCellContact(now time.Time) {
	for _, i := range t.cell {
		if s, ok := t.members[t.dir.peers[i].Name]; ok && !s.row.Leaving && t.isLive(now, s) {
			if t.cellLiveSince.IsZero() {
				t.cellLiveSince = now
			}
			return
		}
	}
	t.cellLiveSince = time.Time{}
}

// unacknowledged reports whether the cell has live members of which none has
// acknowledged a heartbeat of this entry for longer than a lease.
func (t *Table) unacknowledged(now time.Time) bool {
	if t.cellLiveSince.IsZero() {
		return false
	}
	last := t.cellLiveSince
	if t.lastAcked.After(last) {
		last = t.lastAcked
	}
	return now.Sub(last) > t.cfg.Lease
}

// Fenced reports whether this entry must not act as an owner: its loop has stalled
// or not run yet, the live members of its cell do not acknowledge its
// heartbeats, or another process supersedes it.
func (t *Table) Fenced(now time.Time) bool {
	if t.lastTick.IsZero() || now.Sub(t.lastTick) > t.cfg.Lease {
		return true
	}
	return t.Superseded() || t.unacknowledged(now)
}

// Superseded reports whether another process with this entry's name has been seen
// with a higher incarnation, or with this one and a higher counter. Other
// entries then ignore this entry's rows as outdated; it must restart with a
// higher incarnation.
func (t *Table) Superseded() bool { return t.supersededBy > 0 }

// isLive reports whether the last update of a member is recent enough.
func (t *Table) isLive(now time.Time, s *memberState) bool {
	return t.isLiveAt(t.livenessTime(now), s)
}

func (t *Table) isLiveAt(at time.Time, s *memberState) bool {
	return at.Sub(s.updatedAt) < t.suspectAfter(s.row.Name)
}

// suspectAfter is the time without an update after which a member is no longer
// live. Outside the own cell it is longer: in a small system by the periods in
// which a row reaches every entry, otherwise by two rotations over the peer
// sets.
func (t *Table) suspectAfter(name string) time.Duration {
	if t.dir.sameCell(t.self.Name, name) {
		return t.cfg.SuspectAfter
	}
	return t.cfg.SuspectAfter + time.Duration(t.outsideDelay)*t.cfg.Period
}

// outsideDelayPeriods returns Table.outsideDelay for the present peers.
func (t *Table) outsideDelayPeriods() int {
	if len(t.dir.byName) <= smallSystemEntries {
		return 3 * bits.Len(uint(len(t.dir.byName))) / 2
	}
	perPeriod := max(1, t.cfg.FanOut-min(t.cfg.CellFanOut, len(t.cell)))
	return 2 * ((len(t.peerSets) + perPeriod - 1) / perPeriod)
}

// isListed reports whether an entry may be live: any may while no entries are
// listed, otherwise this entry and the listed ones.
func (t *Table) isListed(name string) bool {
	if len(t.dir.byName) == 0 || name == t.self.Name {
		return true
	}
	_, ok := t.dir.byName[name]
	return ok
}

// Live returns the live members of a place, sorted by name. It includes this
// entry unless it is fenced, and leaves out members that are leaving.
func (t *Table) Live(now time.Time, place string) []Member {
	return t.list(now, place, false)
}

// LiveOrLeaving is Live including the members that are leaving.
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

// Member returns a live member, which may be leaving. This entry itself is live
// unless it is fenced.
func (t *Table) Member(now time.Time, name string) (Member, bool) {
	if name == t.self.Name {
		return memberOf(t.self), !t.Fenced(now)
	}
	s, ok := t.members[name]
	if !ok || !t.isListed(name) || !t.isLive(now, s) {
		return Member{}, false
	}
	return memberOf(s.row), true
}

// KnownIncarnation returns the highest incarnation ever seen of an entry,
// including one that is no longer live; false means that the entry is unknown.
func (t *Table) KnownIncarnation(name string) (uint64, bool) {
	if name == t.self.Name {
		return max(t.self.Incarnation, t.supersededBy), true
	}
	s, ok := t.members[name]
	if !ok {
		return 0, false
	}
	return s.row.Incarnation, true
}

// NewestVersion returns the highest document version above the own one among
// the live members, and the nearest member that has it: of the own place first,
// then of the own region. False means that none has a higher one.
func (t *Table) NewestVersion(now time.Time) (version uint64, from Member, ok bool) {
	for name, s := range t.members {
		if s.row.Version <= t.self.Version || s.row.Version < version || !t.isLive(now, s) {
			continue
		}
		if _, listed := t.dir.byName[name]; !listed && len(t.dir.byName) > 0 {
			continue
		}
		if s.row.Version > version || t.isNearer(s.row, from) {
			version = s.row.Version
			from = memberOf(s.row)
			ok = true
		}
	}
	return version, from, ok
}

// isNearer reports whether the entry of a row is nearer to this entry than
// another; at the same distance the lower name counts as nearer.
func (t *Table) isNearer(row MemberRow, than Member) bool {
	a := t.distance(row.Place)
	b := t.distance(than.Place)
	if a != b {
		return a < b
	}
	return row.Name < than.Name
}

// distance is 0 for the own place, 1 for the own region and 2 for all others.
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
