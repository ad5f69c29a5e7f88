package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

// adopt takes the gateway's word for where an object is warm, if none is known.
func (svc *service) adopt(a Ask) {
	object := a.object()
	if a.Hint == "" || object == "" || len(svc.keepers[object]) > 0 {
		return
	}
	for _, s := range svc.servers {
		if s.endpoint.ID == a.Hint {
			svc.touch(object, s)
		}
	}
}

// touch notes that an endpoint serves an object.
func (svc *service) touch(object string, s *server) {
	if object == "" {
		return
	}
	if _, known := s.memory.used[object]; !known {
		svc.keepers[object] = append(svc.keepers[object], s)
	}
	if gone := s.memory.touch(object); gone != "" {
		svc.forget(gone, s)
	}
}

// forget takes an endpoint from those that remember an object.
func (svc *service) forget(object string, s *server) {
	left := slices.DeleteFunc(svc.keepers[object], func(o *server) bool { return o == s })
	if len(left) == 0 {
		delete(svc.keepers, object)
		return
	}
	svc.keepers[object] = left
}

// keeps says whether an endpoint is taken to keep an object warm.
func (svc *service) keeps(s *server, object string) bool {
	depth, known := s.memory.depth(object)
	return known && depth < svc.kept.limit
}

// fits says whether an ask may go to an endpoint.
func fits(now time.Time, s *server, a Ask) bool {
	return s.usable(now) && !slices.Contains(a.Exclude, s.endpoint.ID) &&
		(len(a.Homes) == 0 || slices.Contains(a.Homes, s.region))
}

// choose returns the endpoint from which an answer is expected first, or nil. It
// may have no free slot: then the wait for one pays.
func (p *Pool) choose(now time.Time, svc *service, a Ask) *server {
	if s := svc.untried(now, a); s != nil {
		return s
	}
	object, k := a.object(), svc.kind(a)
	var keeper *server
	least, copies := math.Inf(1), 0
	for _, s := range svc.keepers[object] {
		if !fits(now, s, a) || !svc.keeps(s, object) {
			continue
		}
		copies++
		if cost := s.cost(now, svc, k, true); cost < least {
			keeper, least = s, cost
		}
	}
	if keeper != nil && (copies >= mostCopies || keeper.free(now) && keeper.sound()) {
		return keeper
	}
	other, cost := p.place(now, svc, a)
	if keeper != nil && least <= cost {
		return keeper
	}
	return other
}

// untried returns an endpoint that has joined and served nothing yet; it goes
// first for what is least urgent, so that the room that was added is used.
func (svc *service) untried(now time.Time, a Ask) *server {
	if svc.served.IsZero() || now.Sub(svc.served) < untriedAfter || a.Priority < svc.least {
		return nil
	}
	for _, s := range svc.servers {
		if s.own && s.granted == 0 && s.free(now) && !s.cold(now) && fits(now, s, a) {
			return s
		}
	}
	return nil
}

// place returns where an object that is new there costs least, and the cost: in
// the regions that may get more, else in the own one.
func (p *Pool) place(now time.Time, svc *service, a Ask) (*server, float64) {
	s, cost := svc.cheapest(now, a, func(s *server) bool { return p.mayMove(now, s) })
	if s == nil {
		return svc.cheapest(now, a, func(s *server) bool { return s.own })
	}
	return s, cost
}

// mayMove says whether an object may move to an endpoint's region.
func (p *Pool) mayMove(now time.Time, s *server) bool {
	return now.Before(p.unsettledUntil) || p.shift.Allows(now, s.region)
}

// rank orders the endpoints by what a new object costs at them and sums up their
// slots, so that a large pool isn't looked through for each ask.
func (svc *service) rank(now time.Time) {
	k := &kind{cold: svc.took}
	svc.slots, svc.free = 0, 0
	kept, usable := 0, 0
	for _, s := range svc.servers {
		if !s.usable(now) {
			s.rankedAt = math.Inf(1)
			continue
		}
		s.rankedAt = s.cost(now, svc, k, false)
		svc.slots += s.endpoint.Slots
		svc.free += max(0, s.endpoint.Slots-s.inFlight)
		kept += s.kept(svc)
		usable++
	}
	svc.meanKept = float64(kept) / float64(max(usable, 1))
	slices.SortFunc(svc.ranked, func(a, b *server) int {
		return cmp.Or(cmp.Compare(a.rankedAt, b.rankedAt), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
}

// cheapest returns the endpoint that costs least among those that suit an object
// that is new there, of the best ranked ones. Its place among endpoints of about
// the same cost goes by rendezvous hashing: a dispatcher that knows nothing finds
// it where an earlier one left it.
func (svc *service) cheapest(now time.Time, a Ask, suits func(*server) bool) (*server, float64) {
	k, object := svc.kind(a), a.object()
	least := math.Inf(1)
	var compared [mostCompared]*server
	var costs [mostCompared]float64
	n := 0
	for _, s := range svc.ranked {
		if n == mostCompared {
			break
		}
		if fits(now, s, a) && suits(s) && !svc.keeps(s, object) {
			compared[n], costs[n] = s, s.cost(now, svc, k, false)
			least = min(least, costs[n])
			n++
		}
	}
	var best *server
	highest := uint64(0)
	for i, s := range compared[:n] {
		if costs[i] > placeSlack*least {
			continue
		}
		if hash := rendezvous.Weight(s.endpoint.ID, object); best == nil || hash > highest {
			best, highest = s, hash
		}
	}
	return best, least
}

// spare says whether enough slots are free for runs that displace nothing.
func (svc *service) spare() bool { return float64(svc.free) > spareShare*float64(svc.slots) }

// lastResort grants a free slot, however little it suits, or refuses.
func (p *Pool) lastResort(now time.Time, svc *service, a Ask) Decision {
	object, k := a.object(), svc.kind(a)
	var best *server
	least := math.Inf(1)
	consider := func(s *server, warm bool) {
		if !s.free(now) || !fits(now, s, a) {
			return
		}
		if cost := s.cost(now, svc, k, warm); cost < least {
			best, least = s, cost
		}
	}
	for _, s := range svc.keepers[object] {
		consider(s, svc.keeps(s, object))
	}
	if best == nil && (object == "" || svc.spare()) {
		for _, s := range svc.ranked {
			if p.mayMove(now, s) {
				consider(s, false)
			}
			if best != nil {
				break
			}
		}
	}
	if best == nil {
		return p.refuse(now, a, ReasonOverload)
	}
	return p.grant(now, svc, best, a)
}
