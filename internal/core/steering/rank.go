package steering

import (
	"cmp"
	"slices"
	"time"
)

const (
	// staleAfter is the age above which the state of a group counts as stale.
	staleAfter = 5 * time.Second
	// waitDivisor sets how long a request may wait for a slot in its origin
	// before other places are preferred: the service's deadline divided by it.
	waitDivisor = 16
	// defaultDeadline is used for a service without a deadline.
	defaultDeadline = time.Second
	// headroomSteps is the number of classes of headroom. Groups of one class
	// count as equal, so that small differences in views that lag behind do not
	// send all traffic to one place.
	headroomSteps = 5
	// nearRoundTrip and farRoundTrip are used when no round trip was measured,
	// inside a region and between regions.
	nearRoundTrip = 2 * time.Millisecond
	farRoundTrip  = 100 * time.Millisecond
	// fnvOffset and fnvPrime are the constants of the 64-bit FNV-1a hash (RFC
	// 9923).
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
	// roundTripStep is the width of one class of round trips. Those of one
	// class count as equal in the ranking.
	roundTripStep = 10 * time.Millisecond
)

// Choice is one place that may answer a request.
type Choice struct {
	// Place is the name of the place.
	Place string
	// Rules names every rule of the document that the request crosses; it needs
	// a token from each. Empty for the origin.
	Rules []string
	// Links are the bounded links that the request crosses: first the one that
	// carries its body, then the one that carries the answer. A link without a
	// bound in the document is left out. The slice is nil inside a region.
	Links []LinkID
	// FreeSlots is the number of slots free for requests from other places,
	// according to the view; 0 for the origin.
	FreeSlots int

	tier     tier
	distance int // class of round-trip times, lower is better
}

// tier is the first criterion by which candidates are ordered, lowest first.
type tier uint8

const (
	tierOrigin   tier = iota // the origin, neither overloaded nor drained
	tierNear                 // another place in the origin's region
	tierFar                  // a place in another region
	tierBusy                 // the origin, overloaded
	tierFull                 // another place with no free slots outside its reserve
	tierStale                // another place whose state is stale
	tierDraining             // the origin, drained
)

// candidate is a permitted place with the criteria that order it.
type candidate struct {
	Choice
	headroom   int // class, higher is better
	spreadHash uint64
}

// Rank returns the places that may answer a request, best first. The origin
// comes first unless it is drained, dead or overloaded. A drained or overloaded
// origin that still has endpoints comes after the places that rules permit and
// that have free slots.
//
// A place whose slots outside the reserve are all taken, according to the view,
// is left out unless the origin is dead or drained. In that case it is ranked
// near the end: the view may be out of date, and the owner of its group decides
// and refuses at once. A place whose state is stale comes after those, with free slots or
// without. Dead places, and drained places other than the origin, are left out.
//
// The result is empty when the service or the origin is unknown or nothing can
// answer. The same view gives the same result. Rules and Links are shared:
// callers must not modify them.
func (t *Table) Rank(service, origin string, view View) []Choice {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	from, ok := t.indexes[origin]
	if !ok {
		return nil
	}
	groups := t.usableGroups(s, view)
	ignoreAge := mostlyStale(groups)
	candidates := make([]candidate, 0, len(groups))
	for _, group := range groups {
		if ignoreAge {
			group.Age = 0
		}
		c, ok := t.candidate(s, from, group.place, group.GroupView)
		if ok {
			candidates = append(candidates, c)
		}
	}
	candidates = withoutFull(candidates)
	slices.SortFunc(candidates, compare)
	choices := make([]Choice, len(candidates))
	for i := range candidates {
		choices[i] = candidates[i].Choice
	}
	return choices
}

// withoutFull drops the places without free slots if the origin can still serve:
// trying them would cost time and tokens, and the origin refuses at once what
// it cannot serve.
func withoutFull(candidates []candidate) []candidate {
	serving := slices.ContainsFunc(candidates, func(c candidate) bool {
		return c.tier == tierOrigin || c.tier == tierBusy
	})
	if !serving {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.tier == tierFull })
}

// placedGroup is a group's state and the index of its place.
type placedGroup struct {
	GroupView
	place uint16
}

// usableGroups returns the service's groups that can run a request.
func (t *Table) usableGroups(s *service, view View) []placedGroup {
	groups := make([]placedGroup, 0, len(s.places))
	for _, place := range s.places {
		group, ok := view.Group(s.doc.Name, t.places[place].name)
		if ok && group.usable() {
			groups = append(groups, placedGroup{group, place})
		}
	}
	return groups
}

// mostlyStale reports whether more than half of the groups are stale. That points
// to a failure of the reporting and not of the groups, so the last known state
// is used as if it were current.
func mostlyStale(groups []placedGroup) bool {
	stale := 0
	for _, group := range groups {
		if group.Age > staleAfter {
			stale++
		}
	}
	return 2*stale > len(groups)
}

func (t *Table) candidate(s *service, origin, at uint16, group GroupView) (candidate, bool) {
	from, to := &t.places[origin], &t.places[at]
	if at == origin {
		return t.originCandidate(s, from.name, group), true
	}
	if t.Drained(s.doc.Name, to.name) {
		return candidate{}, false
	}
	rules := rulesTo(s.rulesFrom[origin], to)
	if len(rules) == 0 {
		return candidate{}, false
	}
	near := from.region == to.region
	freeSlots := SpillSlots(group.Slots, to.reserve) - group.outstanding()
	c := candidate{
		Choice: Choice{
			Place:     to.name,
			Rules:     rules,
			Links:     t.linksCrossed(from.region, to.region),
			FreeSlots: max(freeSlots, 0),
			tier:      tierFar,
			distance:  int(roundTrip(group, near) / roundTripStep),
		},
		headroom:   int(group.headroom() * headroomSteps),
		spreadHash: spreadHash(s.doc.Name, from.name, to.name),
	}
	switch {
	case group.Age > staleAfter:
		c.tier = tierStale
	case freeSlots <= 0:
		c.tier = tierFull
	case near:
		c.tier = tierNear
	}
	return c, true
}

func (t *Table) originCandidate(s *service, origin string, group GroupView) candidate {
	c := candidate{Choice: Choice{Place: origin, tier: tierOrigin}}
	deadline := s.doc.Deadline.Std()
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	switch {
	case t.Drained(s.doc.Name, origin):
		c.tier = tierDraining
	case group.estimatedWait() > deadline/waitDivisor:
		c.tier = tierBusy
	}
	return c
}

// SpillSlots returns how many of a group's slots requests from other places may
// use, with the given reserve in percent.
func SpillSlots(slots, reservePercent int) int {
	return slots * (100 - reservePercent) / 100
}

// rulesTo returns the names of all rules that a request to a place crosses. It
// returns nil when none matches or when one of them permits no requests.
func rulesTo(rules []rule, to *place) []string {
	var names []string
	for i := range rules {
		r := &rules[i]
		if !to.within(r.to) {
			continue
		}
		if r.closed {
			return nil
		}
		if names == nil {
			names = r.names
			continue
		}
		names = append(slices.Clip(names), r.names...)
	}
	return names
}

// linksCrossed returns the bounded links that a request between two regions
// crosses, in the order of Choice.Links.
func (t *Table) linksCrossed(from, to string) []LinkID {
	if from == to {
		return nil
	}
	return t.linksBetween[LinkID{from, to}]
}

func roundTrip(group GroupView, near bool) time.Duration {
	switch {
	case group.RoundTrip > 0:
		return group.RoundTrip
	case near:
		return nearRoundTrip
	default:
		return farRoundTrip
	}
}

// spreadHash orders otherwise equal places differently for each origin
// (rendezvous hashing, Thaler and Ravishankar 1998), so that the origins do not
// all pick the same one.
func spreadHash(service, origin, place string) uint64 {
	hash := uint64(fnvOffset)
	for _, part := range [...]string{service, origin, place} {
		for i := range len(part) {
			hash = (hash ^ uint64(part[i])) * fnvPrime
		}
		hash *= fnvPrime // separates the parts
	}
	return hash
}

func compare(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(a.tier, b.tier),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(b.headroom, a.headroom),
		cmp.Compare(a.spreadHash, b.spreadHash),
		cmp.Compare(a.Place, b.Place),
	)
}
