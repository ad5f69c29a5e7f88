package admission

import (
	"slices"
	"time"
)

// choose returns the endpoint that gets the next request, or nil if none is
// available. Ejected endpoints are skipped, unless more than half are ejected:
// then the cause is assumed to be something that they share, not the
// endpoints.
func (g *Group) choose(now time.Time, exclude []string) *endpoint {
	ignoreEjections := g.mostlyEjected(now)
	peerLatency := g.groupLatency()
	var best *endpoint
	var bestCost float64
	for _, e := range g.endpoints {
		if !e.usable() || e.free() <= 0 || e.paused(now) {
			continue
		}
		if e.ejected(now) && !ignoreEjections {
			continue
		}
		if slices.Contains(exclude, e.id) {
			continue
		}
		cost := e.cost(now, peerLatency)
		if best == nil || cost < bestCost || cost == bestCost && e.lastGrant < best.lastGrant {
			best = e
			bestCost = cost
		}
	}
	return best
}

// mostlyEjected reports whether more than half of the usable endpoints are
// ejected.
func (g *Group) mostlyEjected(now time.Time) bool {
	usable, ejected := 0, 0
	for _, e := range g.endpoints {
		if !e.usable() {
			continue
		}
		usable++
		if e.ejected(now) {
			ejected++
		}
	}
	return 2*ejected > usable
}

// groupLatency is the median latency of the endpoints with enough samples.
func (g *Group) groupLatency() float64 { return g.peerLatency(nil) }

// anyUsable reports whether an endpoint outside exclude is usable.
func (g *Group) anyUsable(exclude []string) bool {
	return slices.ContainsFunc(g.endpoints, func(e *endpoint) bool {
		return e.usable() && !slices.Contains(exclude, e.id)
	})
}
