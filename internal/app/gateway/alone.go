package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// silentFor is how long no controller must have answered before requests whose slot
// requests timed out are sent without a dispatcher: one that is only slow may have
// granted their slots.
const silentFor = time.Second

// acquireAlone looks for an endpoint that the request may use because no dispatcher
// answered, with the error err. A request is sent so only once, and not if it is
// suspected of crashing endpoints.
func (x *inFlightRequest) acquireAlone(d *dispatch.Decision, err error) bool {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	if errors.Is(err, context.DeadlineExceeded) && now.Sub(g.heardAt) < silentFor {
		return false
	}
	if x.tries+x.unreachable+x.heldOff > 0 || len(g.suspects.known(now, x.fingerprint)) > 0 {
		return false
	}
	preferred := ""
	if key := x.objectKey(); key != "" {
		preferred = g.lastEndpoint[key]
	}
	e, region, ok := g.reserve.Take(now, x.service, preferred, func(e registry.Endpoint, region string) bool {
		return !g.holdoff.Holds(now, e) && !slices.Contains(g.evacuated, e.Zone) &&
			(len(x.route.Regions) == 0 || slices.Contains(x.route.Regions, region))
	})
	if ok {
		x.alone = true
		d.Endpoint, d.Region = e, region
	}
	return ok
}

// returnAlone records the end of a request that was sent without a dispatcher.
func (g *Gateway) returnAlone(e registry.Endpoint, outcome dispatch.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserve.Returned(e.Service, e.ID, outcome != dispatch.Unreachable && outcome != dispatch.Refused && outcome != dispatch.Broken)
}

// recordGranted records a granted slot.
func (g *Gateway) recordGranted(now time.Time, d dispatch.Decision) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserve.Granted(now, d.Endpoint, d.Region)
}

// recordEnded records the end of the use of a granted slot.
func (g *Gateway) recordEnded(e registry.Endpoint, answered bool, signals registry.Signals) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserve.Ended(e.Service, e.ID, answered, signals.Limited)
}
