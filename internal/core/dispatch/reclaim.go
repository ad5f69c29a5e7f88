package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// reclaimAfter is how long a borrower has for returning a recalled endpoint by itself
	// while its lender lacks slots.
	reclaimAfter = time.Second
	// reclaimShare is the part of a borrower's running requests, per second, whose slots a
	// lender that lacks slots takes back. A borrower that moves requests within its own
	// limit on shifts changes the region of 2 x shiftDrift x MaxShift of them from one
	// window of two seconds to the next; both together stay below MaxShift.
	reclaimShare = 0.01
	// minReclaim is the number of slots, about those of one endpoint, that can be taken
	// back at once however little the borrower runs.
	minReclaim = 10.0
)

// reclaims bounds how fast a lender takes back endpoints that it has recalled and whose
// borrowers still use them. A borrower returns an endpoint once its requests could move
// elsewhere, within the limit on shifts of all its requests together; the few endpoints of
// a small service may wait for those of a large one. Meanwhile the lender refuses requests
// of its own region.
type reclaims struct {
	last time.Time
	// slots is what may be taken back from each borrower.
	slots map[string]float64
}

// refill adds what may be taken back since the last call, by the loads of all regions.
func (r *reclaims) refill(now time.Time, loads []Load) {
	if r.slots == nil {
		r.slots, r.last = make(map[string]float64), now
	}
	running := make(map[string]float64)
	for _, l := range loads {
		running[l.Region] += l.Need * targetUtilization
	}
	seconds := now.Sub(r.last).Seconds()
	r.last = now
	for region, n := range running {
		r.slots[region] = math.Min(r.slots[region]+reclaimShare*n*seconds, math.Max(minReclaim, reclaimShare*n))
	}
}

// take takes so many slots back from a borrower if that is allowed now.
func (r *reclaims) take(borrower string, slots int) bool {
	if r.slots[borrower] < float64(slots) {
		return false
	}
	r.slots[borrower] -= float64(slots)
	return true
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

// scarcestFirst returns the names of the services in the order of their supply, so that
// what may be taken back goes to the service that lacks most.
func (p *Pool) scarcestFirst(now time.Time) []string {
	supply := make(map[string]float64, len(p.services))
	names := make([]string, 0, len(p.services))
	for name, svc := range p.services {
		supply[name] = svc.supply(now)
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(supply[a], supply[b]), cmp.Compare(a, b)) })
	return names
}
