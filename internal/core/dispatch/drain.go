package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drainShare and drainShareOfAll are the parts of the running requests of a service,
	// and of all services, from whose endpoints a pool withdraws per second for a lender
	// that lacks slots. What runs elsewhere or is refused then changes the shares of the
	// regions, within MaxShift in two windows of two seconds.
	drainShare      = 0.05
	drainShareOfAll = 0.005
	// maxDrainTime is how long the last requests at a drained endpoint may take before it
	// is returned. It queues what exceeds its slots.
	maxDrainTime = 600 * time.Millisecond
)

// drainRecalled stops the use of recalled endpoints whose lenders lack slots, one after the
// other. A borrower that returned only idle endpoints would return them late: its objects
// are spread over all of them, and move only within the limit on shifts of all its
// requests. Meanwhile the lender refuses requests of its own region.
func (p *Pool) drainRecalled(now time.Time) {
	p.refillDrainable(now)
	for _, s := range p.urgent() {
		svc := p.service(s.endpoint.Service)
		if n := float64(max(1, s.inFlight)); n <= svc.drainable {
			svc.drainable -= n
			s.drainedSince = now
		}
	}
}

// urgent returns the recalled endpoints in use whose lenders lack slots, in the order of
// their IDs.
func (p *Pool) urgent() []*server {
	var out []*server
	for _, s := range p.servers {
		if !s.own && s.urgent && !s.returned && s.drainedSince.IsZero() {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, func(a, b *server) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	return out
}

// refillDrainable adds the slots that may be drained since the last call.
func (p *Pool) refillDrainable(now time.Time) {
	seconds := now.Sub(p.drainsRefilled).Seconds()
	if p.drainsRefilled.IsZero() {
		seconds = 0
	}
	p.drainsRefilled = now
	all := 0.0
	for _, svc := range p.services {
		all += float64(svc.running())
	}
	for _, svc := range p.services {
		perSecond := drainShare*float64(svc.running()) + drainShareOfAll*all
		svc.drainable = math.Min(svc.drainable+perSecond*seconds, math.Max(perSecond, svc.largest()))
	}
}

// largest returns the slots of the largest endpoint, which are drained at once.
func (svc *service) largest() float64 {
	n := 0
	for _, s := range svc.servers {
		n = max(n, s.capacity(svc))
	}
	return float64(n)
}

// running returns the number of slots in use.
func (svc *service) running() int {
	n := 0
	for _, s := range svc.servers {
		n += s.inFlight
	}
	return n
}

// avoided reports whether the pool moves requests from a recalled endpoint to others as far
// as the limit on shifts allows. An urgent one is used like others until it is drained:
// both regions lack slots.
func (s *server) avoided() bool { return s.recalled && !s.urgent }

// isDrained reports whether the use of a drained endpoint has ended.
func (s *server) isDrained(now time.Time) bool {
	return !s.drainedSince.IsZero() && (s.inFlight == 0 || now.Sub(s.drainedSince) >= maxDrainTime)
}

// supply is the ratio of the slots that the pool may use to those that the requests of
// its region need.
func (svc *service) supply(now time.Time) float64 {
	available := 0.0
	for _, s := range svc.servers {
		if !s.own && s.usable(now) || s.own && s.lentTo == "" {
			available += float64(s.capacity(svc))
		}
	}
	return available / math.Max(svc.load.slots(now)/targetUtilization, 1e-9)
}

// short reports whether the pool lacks slots.
func (svc *service) short(now time.Time) bool { return svc.supply(now) < 1 }
