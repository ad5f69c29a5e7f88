package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/lease"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// unresponsiveFor is how long no slots are requested from a controller
	// that didn't answer: most of lease.Term, within which its leases expire.
	unresponsiveFor = time.Second
	// maxTimeouts is the number of consecutive timeouts after which a
	// controller counts as unresponsive: a lost packet alone causes one.
	maxTimeouts = 3
	// maxDispatchersTried bounds the controllers that one slot is requested
	// from: the lease's holder, the controller whose lease has just ended, and
	// the one that takes over.
	maxDispatchersTried = 3
	// maxRememberedObjects bounds the objects whose endpoint is remembered.
	maxRememberedObjects = 4096
)

// dispatchersOf returns the controllers to request a region's slots from, the
// known dispatcher first, then the others in the order of
// lease.Precedes.
func (g *Gateway) dispatchersOf(region string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	var ranked []port.Controller
	for _, c := range g.known {
		if !now.Before(g.skipUntil[c.Address]) {
			ranked = append(ranked, c)
		}
	}
	slices.SortFunc(ranked, func(a, b port.Controller) int {
		if lease.Precedes(region, a.Region, a.Address, b.Region, b.Address) {
			return -1
		}
		return 1
	})
	var out []string
	if d := g.dispatchers[region]; now.Before(d.until) && !now.Before(g.skipUntil[d.address]) {
		out = append(out, d.address)
	}
	for _, c := range ranked {
		if len(out) < maxDispatchersTried && !slices.Contains(out, c.Address) {
			out = append(out, c.Address)
		}
	}
	return out
}

// recordFailure marks a controller as unresponsive for a while after a failed
// call, or after maxTimeouts consecutive timeouts. An answer that the
// controller isn't the dispatcher is no failure, nor is a connection that was
// replaced because of another call.
func (g *Gateway) recordFailure(address string, err error) {
	if errors.Is(err, port.ErrNotDispatcher) || errors.Is(err, port.ErrLinkReplaced) || errors.Is(err, port.ErrRejected) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		if g.timeouts[address]++; g.timeouts[address] < maxTimeouts {
			return
		}
	}
	now := g.ports.Clock.Now()
	known := now.Before(g.skipUntil[address])
	g.skipUntil[address] = now.Add(unresponsiveFor)
	if known {
		return // the requests in flight all fail at once
	}
	event.Log(context.Background(), g.ports.Logger, event.ControllerUnresponsive,
		slog.String("controller", address), slog.String("why", err.Error()))
}

// recordAnswer records that a controller answered a slot request.
func (g *Gateway) recordAnswer(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.timeouts, address)
	g.heardAt = g.ports.Clock.Now()
	g.quotas.Answered(g.heardAt)
}

// recordSignals records what an endpoint said about itself in an answer.
func (g *Gateway) recordSignals(e registry.Endpoint, s registry.Signals) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holdoff.Record(g.ports.Clock.Now(), e, s)
}

// holds reports whether an endpoint must get nothing from this gateway.
func (g *Gateway) holds(now time.Time, e registry.Endpoint) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdoff.Holds(now, e)
}

// leavingSignal returns the signal of an endpoint that said to this gateway that it
// leaves; false if it didn't.
func (g *Gateway) leavingSignal(now time.Time, e registry.Endpoint) (registry.Signals, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	leaving := g.holdoff.Leaves(now, e)
	return registry.Signals{Leaving: leaving}, leaving
}

// paused returns the endpoints of a service that want nothing from this gateway for
// a time.
func (g *Gateway) paused(service string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdoff.Paused(g.ports.Clock.Now(), service)
}

// recordRun records the end of a run that was served or broken off.
func (g *Gateway) recordRun(f fingerprint.Fingerprint, e registry.Endpoint, end quarantine.End) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch end {
	case quarantine.Reset:
		g.suspects.recordReset(g.ports.Clock.Now(), f, e)
	case quarantine.Answered:
		g.suspects.recordAnswered(f)
	}
}

// recordQuarantined records that a dispatcher refused a request for its crashes.
func (g *Gateway) recordQuarantined(f fingerprint.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.recordQuarantined(g.ports.Clock.Now(), f)
}

// suspicionsOf returns what this gateway remembers of a request's crashes.
func (g *Gateway) suspicionsOf(f fingerprint.Fingerprint) []port.Suspicion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.known(g.ports.Clock.Now(), f)
}

// lastServed returns the endpoint that last served an object; empty if none is
// remembered.
func (g *Gateway) lastServed(object string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lastEndpoint[object]
}

// remember records which endpoint served an object. A full table loses an
// arbitrary entry.
func (g *Gateway) remember(object, endpoint string) {
	if object == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.lastEndpoint[object]; !known && len(g.lastEndpoint) >= maxRememberedObjects {
		for other := range g.lastEndpoint {
			delete(g.lastEndpoint, other) // an object still in use is remembered again at its next request
			break
		}
	}
	g.lastEndpoint[object] = endpoint
}
