package steering

import (
	"cmp"
	"slices"
	"time"
)

const (
	// staleAfter is the age from which a group's state no longer counts as
	// known.
	staleAfter = 5 * time.Second
	// waitPart is the part of a service's deadline (one over it) that a request
	// may wait for a slot in its own place before other places come first.
	waitPart = 16
	// defaultDeadline stands in for a service without one.
	defaultDeadline = time.Second
	// headroomSteps is the number of classes of headroom; groups of one class
	// count as equal, so that small differences in late views don't send all
	// traffic to one place.
	headroomSteps = 5
	// nearRoundTrip and farRoundTrip stand in for a round trip that was not
	// measured, inside a region and between regions.
	nearRoundTrip = 2 * time.Millisecond
	farRoundTrip  = 100 * time.Millisecond
	// fnvOffset and fnvPrime are of the 64-bit FNV-1a hash (RFC 9923).
	fnvOffset = 0xcbf29ce484222325
	fnvPrime  = 0x100000001b3
	// roundTripStep is the difference of round trips that matters for ranking.
	roundTripStep = 10 * time.Millisecond
)

// Choice is one place that may answer a request.
type Choice struct {
	// Place names the place.
	Place string
	// Rules names every rule of the document that the request crosses; it needs
	// a token of each. Empty for the place of origin.
	Rules []string
	// Links are the bounded links that the request crosses: the one that
	// carries its body, then the one that carries the answer. A link that the
	// document doesn't bound is left out.
	Links []LinkID
	// Room is the number of slots that are free for work from other places, by
	// the view; 0 for the place of origin.
	Room int

	tier     tier
	distance int // class of round trips, lower is better
}

// tier orders candidates before all else.
type tier uint8

const (
	tierOrigin   tier = iota // the place of origin, in good state
	tierNear                 // the same region
	tierFar                  // other regions
	tierBusy                 // the place of origin, overloaded
	tierFull                 // other places without room below the reserve
	tierStale                // known only from old reports
	tierDraining             // the place of origin, drained
)

// candidate is a permitted place with what orders it.
type candidate struct {
	Choice
	headroom int // class, higher is better
	spread   uint64
}

// Rank returns the places that may answer a request, best first. The place of
// origin leads unless it is drained, dead or overloaded; an overloaded or
// drained origin that still has endpoints comes after places that rules permit
// and that have room. Places whose reserve leaves no room by the view are not
// named, except when origin is dead or drained: then they come late, because
// the view is old and their owner, who decides, refuses at once. Drained
// places other than origin and dead places are not named. The result is empty
// when the service or origin is unknown or nothing can answer. The same view
// gives the same result. Rules and Links are shared: don't change them.
func (t *Table) Rank(service, origin string, view View) []Choice {
	s, ok := t.services[service]
	if !ok {
		return nil
	}
	from, ok := t.indexes[origin]
	if !ok {
		return nil
	}
	groups := t.known(s, view)
	trustOld := mostlyStale(groups)
	candidates := make([]candidate, 0, len(groups))
	for _, group := range groups {
		if trustOld {
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

// withoutFull drops the places that have no room, as long as the place of
// origin itself can go on: trying them would cost time and tokens, and origin
// refuses at once what it can't serve.
func withoutFull(candidates []candidate) []candidate {
	serving := slices.ContainsFunc(candidates, func(c candidate) bool {
		return c.tier == tierOrigin || c.tier == tierBusy
	})
	if !serving {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(c candidate) bool { return c.tier == tierFull })
}

// placedGroup is a group with its place.
type placedGroup struct {
	GroupView
	place uint16
}

// known returns the service's groups that can run a request.
func (t *Table) known(s *service, view View) []placedGroup {
	groups := make([]placedGroup, 0, len(s.places))
	for _, place := range s.places {
		group, ok := view.Group(s.doc.Name, t.places[place].name)
		if ok && group.usable() {
			groups = append(groups, placedGroup{group, place})
		}
	}
	return groups
}

// mostlyStale says whether over half of the groups are stale. That is a fault
// of measurement, so the last state is kept.
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
	room := SpillSlots(group.Slots, to.reserve) - group.taken()
	c := candidate{
		Choice: Choice{
			Place:    to.name,
			Rules:    rules,
			Links:    t.crossed(from.region, to.region),
			Room:     max(room, 0),
			tier:     tierFar,
			distance: int(roundTrip(group, near) / roundTripStep),
		},
		headroom: int(group.headroom() * headroomSteps),
		spread:   spread(s.doc.Name, from.name, to.name),
	}
	switch {
	case group.Age > staleAfter:
		c.tier = tierStale
	case room <= 0:
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
	case group.wait() > deadline/waitPart:
		c.tier = tierBusy
	}
	return c
}

// SpillSlots returns how many of a group's slots spilled-in work may use, with
// the given reserve in percent.
func SpillSlots(slots, reservePercent int) int {
	return slots * (100 - reservePercent) / 100
}

// rulesTo returns the names of all rules that a request to a place crosses, or
// nil when none matches or one of them moves nothing.
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

// crossed returns the bounded links between two regions.
func (t *Table) crossed(from, to string) []LinkID {
	if from == to {
		return nil
	}
	return t.between[LinkID{from, to}]
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

// spread orders equal places differently for each origin (rendezvous hashing,
// Thaler and Ravishankar 1998), so that origins don't all pick the same one.
func spread(service, origin, place string) uint64 {
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
		cmp.Compare(a.spread, b.spread),
		cmp.Compare(a.Place, b.Place),
	)
}
