package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// silentFor is how long no controller must have answered before requests are sent
// without asking one: longer than a watch call of the nearby one may wait. After a slot
// request that timed out, a controller that is only slow may have granted the slot.
const silentFor = 700 * time.Millisecond

// errSilent means that no controller has answered for silentFor.
var errSilent = errors.New("no controller answers")

// silent reports whether no controller has answered for silentFor, although one did
// before.
func (g *Gateway) silent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.heardAt.IsZero() && g.ports.Clock.Now().Sub(g.heardAt) > silentFor
}

// acquireAlone looks for an endpoint that the request may use because no dispatcher
// answered, with the error err. A request is sent so only once, not if it is
// suspected of crashing endpoints, and only as far as its account may; see quota.Gate.
func (x *inFlightRequest) acquireAlone(d *dispatch.Decision, err error) bool {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	if errors.Is(err, context.DeadlineExceeded) && now.Sub(g.heardAt) < silentFor {
		return false
	}
	if !x.first() || len(g.suspects.known(now, x.fingerprint)) > 0 {
		return false
	}
	if !g.quotas.TakeAlone(x.request.Account) {
		return false
	}
	preferred := ""
	if key := x.objectKey(); key != "" {
		preferred = g.lastEndpoint[key]
	}
	e, region, ok := g.reserve.Take(now, x.service, preferred, func(e registry.Endpoint, region string) bool {
		return !g.holdoff.Holds(now, e) && !slices.Contains(g.evacuated, e.Zone) &&
			(len(x.regions) == 0 || slices.Contains(x.regions, region))
	})
	if !ok {
		g.quotas.ReturnAlone(x.request.Account)
		return false
	}
	x.alone = true
	d.Endpoint, d.Region = e, region
	return true
}

// returnAlone records the end of a request that was sent without a dispatcher.
func (g *Gateway) returnAlone(account string, e registry.Endpoint, outcome dispatch.Outcome) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if notRunOutcome(outcome) {
		g.quotas.ReturnAlone(account)
	}
	g.reserve.Returned(e.Service, e.ID, outcome != dispatch.Unreachable && outcome != dispatch.Refused && outcome != dispatch.Broken)
}

// recordGranted records a granted slot.
func (x *inFlightRequest) recordGranted(now time.Time, d dispatch.Decision) {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if x.first() {
		g.quotas.Granted(now, x.request.Account)
	}
	g.reserve.Granted(now, d.Endpoint, d.Region)
}

// recordEnded records the end of the use of a granted slot.
func (g *Gateway) recordEnded(e registry.Endpoint, answered bool, signals registry.Signals) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reserve.Ended(e.Service, e.ID, answered, signals.Limited)
}
