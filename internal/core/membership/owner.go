package membership

import (
	"strconv"
	"time"
)

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
	// representativeKey stands for the service in the choice of the entry that
	// speaks for its place; no service has this name.
	representativeKey = "\x00representative"
	// settlePeriods is how many periods beyond a lease a started entry waits
	// before it owns, so that the former owner has heard of it.
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

// rank orders the entries that may own a group: a lower tier first, then the
// higher weight of the cell, then the higher weight of the entry.
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

// eachCandidate calls f with every entry that may own the group: the place's
// entries, and in the second tier those of the rest of its region.
func (t *Table) eachCandidate(service, place string, f func(rank)) {
	t.eachOfPlace(service, place, place, 0, f)
	for _, other := range t.dir.regionPlaces(place) {
		t.eachOfPlace(service, place, other, 1, f)
	}
}

func (t *Table) eachOfPlace(service, place, home string, tier int, f func(rank)) {
	selfListed := false
	for k, cell := range t.dir.places[home] {
		weight := uint64(0)
		if len(t.dir.places[home]) > 1 {
			weight = hashOf(service, place, "\x00cell"+strconv.Itoa(k))
		}
		for _, i := range cell {
			name := t.dir.peers[i].Name
			selfListed = selfListed || name == t.self.Name
			f(rank{tier, weight, hashOf(service, place, name), name})
		}
	}
	if home == t.self.Place && !selfListed {
		f(rank{tier, 0, hashOf(service, place, t.self.Name), t.self.Name})
	}
	if len(t.dir.byName) > 0 {
		return
	}
	for name, s := range t.members {
		if s.row.Place == home {
			f(rank{tier, 0, hashOf(service, place, name), name})
		}
	}
}

// choose returns the first candidate that is live and not named except.
// Members that have been live for a lease go before those that have just come.
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
		if found && !ahead(r, settled, best, bestSettled) {
			return
		}
		best, bestSettled, chosen, found = r, settled, m, true
	})
	return chosen, found
}

// ahead orders two live candidates: by tier, then settled ones first.
func ahead(a rank, aSettled bool, b rank, bSettled bool) bool {
	if a.tier == b.tier && aSettled != bSettled {
		return aSettled
	}
	return a.before(b)
}

// settled says whether a live member has been live for a lease, so that the
// entry that stood in for it has given way. An entry that has just started can't
// tell, and takes every other one for settled: it owns nothing itself.
func (t *Table) settled(now time.Time, name string) bool {
	if name == t.self.Name {
		return t.settledSelf(now)
	}
	s, ok := t.members[name]
	return ok && (now.Sub(s.since) >= t.cfg.Lease || !t.settledSelf(now))
}

func (t *Table) settledSelf(now time.Time) bool {
	return !t.started.IsZero() && now.Sub(t.started) >= t.settleTime()
}

// settleTime is how long after its start an entry owns nothing.
func (t *Table) settleTime() time.Duration {
	return t.cfg.Lease + settlePeriods*t.cfg.Period
}

// ranked is the owner by rendezvous hashing.
func (t *Table) ranked(now time.Time, service, place string) (Member, bool) {
	return t.choose(now, service, place, "")
}

// Owner returns the entry that owns a group: the first by rendezvous hashing
// over the place's live entries, or over its region's when the place has none.
// Outside the own cell, what the group's acting owner says goes first.
func (t *Table) Owner(now time.Time, service, place string) (Member, bool) {
	if m, ok := t.stated(now, service, place); ok {
		return m, true
	}
	return t.ranked(now, service, place)
}

// stated returns the owner that a group's own recent row names, unless this
// entry's cell is the whole place. The row shows that the owner lives, also
// when it isn't among the members that this entry follows.
func (t *Table) stated(now time.Time, service, place string) (Member, bool) {
	if place == t.self.Place && len(t.dir.places[place]) < 2 {
		return Member{}, false
	}
	g, ok := t.groups[groupKey{service, place}]
	if !ok || g.row.Owner == t.self.Name || now.Sub(g.heard) >= t.suspectAfter(g.row.Owner) {
		return Member{}, false
	}
	if s, known := t.members[g.row.Owner]; known {
		lost := s.row.Leaving || s.row.Incarnation > g.row.OwnerIncarnation || s.mate && !t.alive(now, s)
		return memberOf(s.row), !lost
	}
	peer, listed := t.dir.Peer(g.row.Owner)
	owner := Member{Name: g.row.Owner, Place: peer.Place, Incarnation: g.row.OwnerIncarnation}
	return owner, listed
}

// Backup returns the entry that would own a group if its owner were lost.
func (t *Table) Backup(now time.Time, service, place string) (Member, bool) {
	owner, ok := t.Owner(now, service, place)
	if !ok {
		return Member{}, false
	}
	return t.choose(now, service, place, owner.Name)
}

// OwnsSelf says whether this entry may act as the owner of a group: it is
// neither fenced nor leaving nor just started, and every entry before it is
// leaving or has been silent for longer than its lease.
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
		if r.name != t.self.Name && r.before(self) && !t.gone(now, r.name) {
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

// gone says whether an entry can't be acting as an owner: it is leaving, has
// come back only now, or has been silent for longer than its lease.
func (t *Table) gone(now time.Time, name string) bool {
	s, ok := t.members[name]
	if !ok {
		return now.Sub(t.started) >= t.suspectAfter(name)
	}
	if s.row.Leaving {
		return true
	}
	if t.alive(now, s) {
		return !t.settled(now, name)
	}
	return true
}

// Representative returns the entry that speaks for its place to control VMs.
func (t *Table) Representative(now time.Time, place string) (Member, bool) {
	m, ok := t.choose(now, representativeKey, place, "")
	if !ok || m.Place != place {
		return Member{}, false
	}
	return m, true
}
