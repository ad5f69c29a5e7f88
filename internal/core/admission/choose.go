package admission

import (
	"slices"
	"time"
)

// choose returns the endpoint that is to get the next request, or nil when no
// endpoint has a free slot. Endpoints that fail are left out, unless that would
// leave out over half of them: then what they have in common is at fault.
func (g *Group) choose(now time.Time, exclude []string) *endpoint {
	ignoreEjections := g.mostlyEjected(now)
	peers := g.groupLatency()
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
		cost := e.cost(now, peers)
		if best == nil || cost < bestCost || cost == bestCost && e.lastUsed < best.lastUsed {
			best = e
			bestCost = cost
		}
	}
	return best
}

// mostlyEjected says whether over half of the usable endpoints are ejected.
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

// groupLatency is the median latency of the endpoints that have samples.
func (g *Group) groupLatency() float64 { return g.peerLatency(nil) }

// anyUsable says whether some endpoint outside exclude takes work.
func (g *Group) anyUsable(exclude []string) bool {
	return slices.ContainsFunc(g.endpoints, func(e *endpoint) bool {
		return e.usable() && !slices.Contains(exclude, e.id)
	})
}
