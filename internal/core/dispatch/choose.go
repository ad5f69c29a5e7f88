package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

// applyHint records the endpoint that the gateway named for the object, if no
// other is recorded.
func (svc *service) applyHint(req SlotRequest) {
	object := req.object()
	if req.Hint == "" || object == "" || len(svc.servedBy[object]) > 0 {
		return
	}
	for _, s := range svc.servers {
		if s.endpoint.ID == req.Hint {
			svc.touch(object, s)
		}
	}
}

// touch records that an endpoint serves an object.
func (svc *service) touch(object string, s *server) {
	if object == "" {
		return
	}
	if _, known := s.memory.lastUse[object]; !known {
		svc.servedBy[object] = append(svc.servedBy[object], s)
	}
	if evicted := s.memory.touch(object); evicted != "" {
		svc.forget(evicted, s)
	}
}

// forget removes an endpoint from those whose memory holds an object.
func (svc *service) forget(object string, s *server) {
	left := slices.DeleteFunc(svc.servedBy[object], func(o *server) bool { return o == s })
	if len(left) == 0 {
		delete(svc.servedBy, object)
		return
	}
	svc.servedBy[object] = left
}

// keepsWarm reports whether an endpoint is assumed to keep an object warm.
func (svc *service) keepsWarm(s *server, object string) bool {
	depth, known := s.memory.depth(object)
	return known && depth < svc.kept.limit
}

// eligible reports whether a slot request may be granted a slot of an endpoint.
func eligible(now time.Time, s *server, req SlotRequest) bool {
	return s.usable(now) && !s.reservedFor(req) && s.bodies.fits(req.BodyBytes) && !slices.Contains(req.Exclude, s.endpoint.ID) &&
		(len(req.Regions) == 0 || slices.Contains(req.Regions, s.region))
}

// choose returns the endpoint of the least cost for a slot request, or nil if
// there is none. An unused endpoint is preferred without comparison, and so is
// one that keeps the object warm if it is healthy, has a free slot and doesn't report that
// others use it, or if
// maxCopies endpoints keep the object. The endpoint may have no free slot: then
// the slot request is to wait for one, because a run elsewhere is expected to
// end later or would exceed maxCopies.
//
// An object that is warm at an avoided endpoint moves to another endpoint, unless
// that one is in another region and the limit on shifts doesn't allow it yet.
func (p *Pool) choose(now time.Time, svc *service, req SlotRequest) *server {
	if s := svc.unusedEndpoint(now, req); s != nil {
		return s
	}
	if s := p.chooseLocal(now, svc, req); s != nil {
		return s
	}
	best := p.chooseLasting(now, svc, req)
	for _, s := range svc.servedBy[req.object()] {
		if !s.avoided() || !eligible(now, s, req) || !svc.keepsWarm(s, req.object()) {
			continue
		}
		if best == nil {
			return s
		}
		if best.region != s.region && !p.mayMove(now, best) {
			p.shift.Want(best.region)
			return s
		}
	}
	return best
}

// chooseLasting is choose without the endpoints that keep the object warm but are
// avoided.
func (p *Pool) chooseLasting(now time.Time, svc *service, req SlotRequest) *server {
	object, k := req.object(), svc.kind(req)
	var bestWarm *server
	least, copies := math.Inf(1), 0
	for _, s := range svc.servedBy[object] {
		if s.avoided() || !eligible(now, s, req) || !svc.keepsWarm(s, object) {
			continue
		}
		copies++
		if cost := s.copyCost(now, svc, k, req.Gateway); cost < least {
			bestWarm, least = s, cost
		}
	}
	if bestWarm != nil {
		least = bestWarm.cost(now, svc, k, true)
	}
	if bestWarm != nil && (copies >= maxCopies || bestWarm.free(now) && bestWarm.healthy() && !bestWarm.busyWithOthers(now)) {
		return bestWarm
	}
	other, cost := p.choosePlacement(now, svc, req)
	if bestWarm != nil && least <= cost {
		return bestWarm
	}
	return other
}

// unusedEndpoint returns an endpoint of the own region that has joined and got
// no request yet; nil if there is none. It is preferred for the least urgent
// slot requests, so that added capacity is used.
func (svc *service) unusedEndpoint(now time.Time, req SlotRequest) *server {
	if svc.firstServed.IsZero() || now.Sub(svc.firstServed) < preferUnusedAfter || req.Priority < svc.leastUrgent {
		return nil
	}
	for _, s := range svc.servers {
		if s.own && s.granted == 0 && s.free(now) && !s.cold(now) && eligible(now, s, req) {
			return s
		}
	}
	return nil
}

// choosePlacement returns an endpoint for an object that isn't warm there,
// and the least cost. It tries the regions that the limit on shifts allows,
// endpoints that aren't avoided first, then the own region.
func (p *Pool) choosePlacement(now time.Time, svc *service, req SlotRequest) (*server, float64) {
	s, cost := svc.cheapest(now, req, func(s *server) bool { return !s.avoided() && p.mayMove(now, s) })
	if s != nil {
		return s, cost
	}
	p.shift.Want(p.config.Region)
	if s := svc.firstRecalled(now, req, p.mayMove); s != nil {
		return s, s.cost(now, svc, svc.kind(req), false)
	}
	return svc.cheapest(now, req, func(s *server) bool { return s.own })
}

// firstRecalled returns the first avoided endpoint in the order of their IDs
// that has a free slot, so that the others become idle and can be returned; nil if
// there is none.
func (svc *service) firstRecalled(now time.Time, req SlotRequest, allowed func(time.Time, *server) bool) *server {
	var first *server
	for _, s := range svc.servers {
		if s.avoided() && s.free(now) && eligible(now, s, req) && allowed(now, s) && (first == nil || s.endpoint.ID < first.endpoint.ID) {
			first = s
		}
	}
	return first
}

// mayMove reports whether the limit on shifts allows a request to run in the
// endpoint's region.
func (p *Pool) mayMove(now time.Time, s *server) bool {
	return now.Before(p.shiftSuspendedUntil) || p.shift.Allows(now, s.region)
}

// rank orders the endpoints by the cost of a new object, avoided ones last, and
// sums up their slots, so that a slot request need not compare all endpoints of a large pool.
func (svc *service) rank(now time.Time) {
	k := &kind{cold: svc.slotTime}
	svc.slots, svc.free = 0, 0
	kept, usable := 0, 0
	for _, s := range svc.servers {
		if !s.usable(now) {
			s.rankCost = math.Inf(1)
			continue
		}
		s.inTransit = svc.inTransit(s)
		s.rankCost = s.cost(now, svc, k, false)
		capacity := max(0, min(s.capacity(svc), s.learnedSlots(now))+s.inTransit-int(s.unknownWork(now)))
		svc.slots += capacity
		svc.free += max(0, capacity-s.inFlight)
		kept += s.kept(svc)
		usable++
	}
	svc.meanKept = float64(kept) / float64(max(usable, 1))
	slices.SortFunc(svc.ranked, func(a, b *server) int {
		switch {
		case a.avoided() && !b.avoided():
			return 1
		case b.avoided() && !a.avoided():
			return -1
		}
		return cmp.Or(cmp.Compare(a.rankCost, b.rankCost), cmp.Compare(a.endpoint.ID, b.endpoint.ID))
	})
}

// cheapest compares the best ranked endpoints at which the object isn't warm.
// It returns one of about the least cost, and the least cost. Rendezvous
// hashing decides among endpoints of about the same cost, so that a new
// dispatcher without any record finds the object where the previous one
// placed it.
func (svc *service) cheapest(now time.Time, req SlotRequest, allowed func(*server) bool) (*server, float64) {
	k, object := svc.kind(req), req.object()
	least := math.Inf(1)
	var compared [maxCompared]*server
	var costs [maxCompared]float64
	n := 0
	for _, s := range svc.ranked {
		if n == maxCompared {
			break
		}
		if eligible(now, s, req) && allowed(s) && !svc.keepsWarm(s, object) {
			compared[n], costs[n] = s, s.cost(now, svc, k, false)
			least = min(least, costs[n])
			n++
		}
	}
	var best *server
	highest := uint64(0)
	for i, s := range compared[:n] {
		if costs[i] > placementSlack*least {
			continue
		}
		if hash := rendezvous.Weight(s.endpoint.ID, object); best == nil || hash > highest {
			best, highest = s, hash
		}
	}
	return best, least
}

// hasSpareSlots reports whether enough slots are free for cold runs that
// delay no other request.
func (svc *service) hasSpareSlots() bool {
	return float64(svc.free) > spareSlotShare*float64(svc.slots)
}

// grantNowOrRefuse decides a slot request that can't wait any longer. It grants
// a free slot even where the cost is high, first at an endpoint that served the
// object before. A cold run elsewhere needs spare slots, unless the slot
// request has no object.
func (p *Pool) grantNowOrRefuse(now time.Time, svc *service, req SlotRequest) Decision {
	object, k := req.object(), svc.kind(req)
	var best *server
	least := math.Inf(1)
	consider := func(s *server, warm bool) {
		if !s.free(now) || !eligible(now, s, req) {
			return
		}
		if cost := s.cost(now, svc, k, warm); cost < least {
			best, least = s, cost
		}
	}
	for _, s := range svc.servedBy[object] {
		consider(s, svc.keepsWarm(s, object))
	}
	if best == nil && (object == "" || svc.hasSpareSlots()) {
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
		return p.refuse(now, req, ReasonOverload)
	}
	return p.grant(now, svc, best, req)
}
