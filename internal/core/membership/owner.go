package membership

import (
	"strconv"
	"time"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// representativeKey is used in place of the service to choose the
	// representative of a place; no service has this name.
	representativeKey = "\x00representative"
	// settlePeriods is how many periods beyond a lease an entry waits after its
	// start before it owns groups, so that the former owner has received its
	// row.
	settlePeriods = 2
)

// hashOf is FNV-1a over the three texts, mixed by the finalizer of SplitMix64
// (Steele, Lea and Flood, 2014).
func hashOf(a, b, c string) uint64 {
	h := uint64(fnvOffset)
	for _, text := range [...]string{a, b, c} {
		for i := range len(text) {
			h = (h ^ uint64(text[i])) * fnvPrime
		}
		h = (h ^ 0xff) * fnvPrime
	}
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

// rank orders the entries that may own a group: the lower tier first, then the
// higher weight of the cell, then the higher weight of the entry, then the
// lower name.
type rank struct {
	tier         int
	cell, member uint64
	name         string
}

func (r rank) before(other rank) bool {
	if r.tier != other.tier {
		return r.tier < other.tier
	}
	if r.cell != other.cell {
		return r.cell > other.cell
	}
	if r.member != other.member {
		return r.member > other.member
	}
	return r.name < other.name
}

// eachCandidate calls f with every entry that may own the group: in tier 0 the
// entries of its place, in tier 1 those of the other places of its region.
func (t *Table) eachCandidate(service, place string, f func(rank)) {
	t.eachOfPlace(service, place, place, 0, f)
	for _, other := range t.dir.regionPlaces(place) {
		t.eachOfPlace(service, place, other, 1, f)
	}
}

// eachOfPlace calls f with every entry of entryPlace, ranked for the group of a
// service in place.
func (t *Table) eachOfPlace(service, place, entryPlace string, tier int, f func(rank)) {
	selfListed := false
	for k, cell := range t.dir.places[entryPlace] {
		weight := uint64(0)
		if len(t.dir.places[entryPlace]) > 1 {
			weight = hashOf(service, place, "\x00cell"+strconv.Itoa(k))
		}
		for _, i := range cell {
			name := t.dir.peers[i].Name
			selfListed = selfListed || name == t.self.Name
			f(rank{tier, weight, hashOf(service, place, name), name})
		}
	}
	if entryPlace == t.self.Place && !selfListed {
		f(rank{tier, 0, hashOf(service, place, t.self.Name), t.self.Name})
	}
	if len(t.dir.byName) > 0 {
		return
	}
	for name, s := range t.members {
		if s.row.Place == entryPlace {
			f(rank{tier, 0, hashOf(service, place, name), name})
		}
	}
}

// choose returns the first candidate that is live, not leaving and not named
// except. Within a tier, settled members come before those that have just
// become live.
func (t *Table) choose(now time.Time, service, place, except string) (Member, bool) {
	var best rank
	var bestSettled bool
	var chosen Member
	found := false
	t.eachCandidate(service, place, func(r rank) {
		if r.name == except {
			return
		}
		m, ok := t.Member(now, r.name)
		if !ok || m.Leaving {
			return
		}
		settled := t.settled(now, r.name)
		if found && !precedes(r, settled, best, bestSettled) {
			return
		}
		best, bestSettled, chosen, found = r, settled, m, true
	})
	return chosen, found
}

// precedes orders two live candidates: by tier, then settled ones first, then
// by rank.
func precedes(a rank, aSettled bool, b rank, bSettled bool) bool {
	if a.tier == b.tier && aSettled != bSettled {
		return aSettled
	}
	return a.before(b)
}

// settled reports whether a live member has been live for a lease, so that the
// entry that owned its groups in the meantime has given them up. An entry that
// has just started cannot know this. It treats all others as settled, and owns
// nothing itself.
func (t *Table) settled(now time.Time, name string) bool {
	if name == t.self.Name {
		return t.settledSelf(now)
	}
	s, ok := t.members[name]
	return ok && (now.Sub(s.liveSince) >= t.cfg.Lease || !t.settledSelf(now))
}

func (t *Table) settledSelf(now time.Time) bool {
	return !t.startedAt.IsZero() && now.Sub(t.startedAt) >= t.settleTime()
}

// settleTime is how long after its start an entry owns nothing.
func (t *Table) settleTime() time.Duration {
	return t.cfg.Lease + settlePeriods*t.cfg.Period
}

// rendezvousOwner returns the owner by rendezvous hashing alone.
func (t *Table) rendezvousOwner(now time.Time, service, place string) (Member, bool) {
	return t.choose(now, service, place, "")
}

// Owner returns the entry that owns a group: the first by rendezvous hashing
// over the place's live entries, or over those of its region when the place has
// none. An owner named by a recent row of the group takes precedence, except for
// a group of the own place if that place has a single cell, since this entry
// then follows every entry of the place.
func (t *Table) Owner(now time.Time, service, place string) (Member, bool) {
	if m, ok := t.reportedOwner(now, service, place); ok {
		return m, true
	}
	return t.rendezvousOwner(now, service, place)
}

// reportedOwner returns the owner that a recent row of the group names. It
// returns none for a group of the own place if that place has a single cell. The
// row shows that the owner is live, even if it is not among the members that
// this entry follows.
func (t *Table) reportedOwner(now time.Time, service, place string) (Member, bool) {
	if place == t.self.Place && len(t.dir.places[place]) < 2 {
		return Member{}, false
	}
	g, ok := t.groups[groupKey{service, place}]
	if !ok || g.row.Owner == t.self.Name || now.Sub(g.updatedAt) >= t.suspectAfter(g.row.Owner) {
		return Member{}, false
	}
	if s, known := t.members[g.row.Owner]; known {
		lost := s.row.Leaving || s.row.Incarnation > g.row.OwnerIncarnation || s.inCell && !t.isLive(now, s)
		return memberOf(s.row), !lost
	}
	peer, listed := t.dir.Peer(g.row.Owner)
	owner := Member{Name: g.row.Owner, Place: peer.Place, Incarnation: g.row.OwnerIncarnation}
	return owner, listed
}

// Backup returns the entry that would own a group if its owner failed.
func (t *Table) Backup(now time.Time, service, place string) (Member, bool) {
	owner, ok := t.Owner(now, service, place)
	if !ok {
		return Member{}, false
	}
	return t.choose(now, service, place, owner.Name)
}

// OwnsSelf reports whether this entry may act as the owner of a group: it is not
// fenced, not leaving and settled, and no entry before it in the ranking can
// own the group.
func (t *Table) OwnsSelf(now time.Time, service, place string) bool {
	if t.self.Leaving || t.Fenced(now) || !t.settledSelf(now) {
		return false
	}
	self, ok := t.ownRank(service, place)
	if !ok {
		return false
	}
	owns := true
	t.eachCandidate(service, place, func(r rank) {
		if r.name != t.self.Name && r.before(self) && !t.cannotOwn(now, r.name) {
			owns = false
		}
	})
	return owns
}

// ownRank returns this entry's rank among the candidates of a group.
func (t *Table) ownRank(service, place string) (rank, bool) {
	var self rank
	found := false
	t.eachCandidate(service, place, func(r rank) {
		if r.name == t.self.Name {
			self = r
			found = true
		}
	})
	return self, found
}

// cannotOwn reports whether an entry cannot be acting as an owner: it is leaving,
// it is not settled, or it has been unresponsive for longer than its lease. An
// entry that was never seen counts as unresponsive since this entry's start.
func (t *Table) cannotOwn(now time.Time, name string) bool {
	s, ok := t.members[name]
	if !ok {
		return now.Sub(t.startedAt) >= t.suspectAfter(name)
	}
	if s.row.Leaving {
		return true
	}
	if t.isLive(now, s) {
		return !t.settled(now, name)
	}
	return true
}

// Representative returns the entry that contacts the control VMs on behalf of a
// place; false means that the place has no live entry that is not leaving.
func (t *Table) Representative(now time.Time, place string) (Member, bool) {
	m, ok := t.choose(now, representativeKey, place, "")
	if !ok || m.Place != place {
		return Member{}, false
	}
	return m, true
}
