package gateway

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/lease"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// deafFor is how long a controller that didn't answer isn't asked for slots: a
	// lease ends after about as long.
	deafFor = time.Second
	// lateMost is the number of answers in a row that come too late before a
	// controller isn't asked for a while: a lost packet alone delays one.
	lateMost = 3
	// mostAsked bounds the controllers that are asked for one slot: one that holds
	// the region, one that has just ended, one that takes over.
	mostAsked = 3
	// mostRemembered bounds the objects whose endpoint is remembered.
	mostRemembered = 4096
)

// dispatchersOf returns the controllers to ask for a region's slots, the best
// first.
func (g *Gateway) dispatchersOf(region string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.ports.Clock.Now()
	var ranked []port.Controller
	for _, c := range g.known {
		if !now.Before(g.deaf[c.Address]) {
			ranked = append(ranked, c)
		}
	}
	slices.SortFunc(ranked, func(a, b port.Controller) int {
		if lease.Before(region, a.Region, a.Address, b.Region, b.Address) {
			return -1
		}
		return 1
	})
	var out []string
	if d := g.regions[region]; now.Before(d.until) && !now.Before(g.deaf[d.address]) {
		out = append(out, d.address)
	}
	for _, c := range ranked {
		if len(out) < mostAsked && !slices.Contains(out, c.Address) {
			out = append(out, c.Address)
		}
	}
	return out
}

// ignore passes a controller over for a while if it didn't answer.
func (g *Gateway) ignore(address string, err error) {
	if errors.Is(err, port.ErrNotDispatcher) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if errors.Is(err, context.DeadlineExceeded) {
		if g.late[address]++; g.late[address] < lateMost {
			return
		}
	}
	g.deaf[address] = g.ports.Clock.Now().Add(deafFor)
	event.Log(context.Background(), g.ports.Logger, event.ControllerDeaf,
		slog.String("controller", address), slog.String("why", err.Error()))
}

// answered notes that a controller has answered in time.
func (g *Gateway) answered(address string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.late, address)
}

// lastServed returns the endpoint that last served an object; empty if none is
// remembered.
func (g *Gateway) lastServed(object string) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.served[object]
}

// remember notes which endpoint served an object.
func (g *Gateway) remember(object, endpoint string) {
	if object == "" {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.served[object]; !known && len(g.served) >= mostRemembered {
		for other := range g.served {
			delete(g.served, other) // any one: what is needed comes back with its next request
			break
		}
	}
	g.served[object] = endpoint
}
