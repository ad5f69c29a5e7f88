package controller

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// spreadTimeout bounds the time in which an announcement that takes an endpoint
// out of use reaches the other controllers; endpoints wait a second for the
// acknowledgement.
const spreadTimeout = 800 * time.Millisecond

// Announce takes what an endpoint says of itself. That it leaves is acknowledged
// only after a majority of the controllers in the register and all dispatchers
// in reach know it; else the error wraps port.ErrUnsure.
func (c *Controller) Announce(ctx context.Context, e registry.Endpoint) error {
	c.mu.Lock()
	c.hearEndpoint(e)
	c.mu.Unlock()
	if !e.Leaving {
		c.ports.Meter.Announced(false, true)
		return nil
	}
	return c.spread(ctx, e.ID)
}

// SignOff takes that an endpoint is gone, as Announce does.
func (c *Controller) SignOff(ctx context.Context, id string) error {
	c.mu.Lock()
	e, known := c.endpoints.Get(id)
	if known {
		e.Leaving, e.Gone, e.Heard = true, true, c.ports.Clock.Now()
		c.hearEndpoint(e)
	}
	c.mu.Unlock()
	if !known {
		return nil
	}
	return c.spread(ctx, id)
}

// hearEndpoint takes an announcement that was made to this controller. Must hold
// mu.
func (c *Controller) hearEndpoint(e registry.Endpoint) {
	if c.learnEndpoint(e) {
		c.heardSeq++
		c.heardHere[e.ID] = c.heardSeq
	}
}

// learnEndpoint takes an announcement, made to this controller or passed on, and
// reports whether it was news. Must hold mu.
func (c *Controller) learnEndpoint(e registry.Endpoint) bool {
	before, known := c.endpoints.Get(e.ID)
	if !c.endpoints.Learn(e) {
		return false
	}
	c.toPool(e)
	if !known || before.Born != e.Born || before.Leaving != e.Leaving || before.Gone != e.Gone {
		event.Log(context.Background(), c.ports.Logger, event.EndpointChanged,
			slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address),
			slog.Int64("born", e.Born), slog.Int64("sequence", e.Sequence),
			slog.Bool("leaving", e.Leaving), slog.Bool("gone", e.Gone))
		c.wake()
	}
	return true
}

// forgetEndpoints drops the endpoints that were not heard of for long. Must hold
// mu.
func (c *Controller) forgetEndpoints(now time.Time) {
	for _, e := range c.endpoints.Sweep(now) {
		delete(c.heardHere, e.ID)
		for _, r := range c.regions {
			if r.pool != nil {
				r.pool.Forget(now, e.ID)
			}
		}
	}
}

// spread tells the other controllers of an endpoint at once.
func (c *Controller) spread(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, spreadTimeout)
	defer cancel()
	now := c.ports.Clock.Now()
	c.mu.Lock()
	e, _ := c.endpoints.Get(id)
	news := port.News{From: c.self(now), Endpoints: []registry.Endpoint{e}}
	var targets []*peer
	for _, p := range c.peers {
		if live(now, p.Heard) {
			targets = append(targets, p)
		}
	}
	epoch := c.epoch
	c.mu.Unlock()
	told := map[string]bool{c.config.Address: true}
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range targets {
		group.Go(func() {
			if _, err := p.link.Exchange(ctx, news); err == nil {
				mu.Lock()
				told[p.Address] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	n := 0
	for _, v := range epoch.Voters {
		if told[v.Address] {
			n++
		}
	}
	c.ports.Meter.Announced(true, n >= epoch.Majority())
	if n < epoch.Majority() {
		event.Log(ctx, c.ports.Logger, event.LeavingUnsure, slog.String("endpoint", id),
			slog.Int("told", n), slog.Int("needed", epoch.Majority()))
		return fmt.Errorf("%w: %d controllers of %d were told", port.ErrUnsure, n, epoch.Majority())
	}
	return nil
}
