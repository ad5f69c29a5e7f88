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

// propagateTimeout bounds the time in which an announcement that takes an
// endpoint out of use reaches the other controllers; endpoints wait one second
// for the acknowledgement.
const propagateTimeout = 800 * time.Millisecond

// Announce records an endpoint's announcement. An announcement that the
// endpoint leaves is sent to all live controllers at once, the dispatchers
// among them. It is acknowledged once all these calls have ended, if a majority
// of the voters has it on its disk; otherwise the error wraps port.ErrUnconfirmed.
func (c *Controller) Announce(ctx context.Context, e registry.Endpoint) error {
	c.mu.Lock()
	c.receiveAnnouncement(e)
	c.mu.Unlock()
	if !e.Leaving {
		c.ports.Meter.RecordAnnouncement(false, true)
		return nil
	}
	return c.propagate(ctx, e.ID)
}

// Deregister marks an endpoint as gone; it is acknowledged as in Announce. An
// unknown endpoint is no error.
func (c *Controller) Deregister(ctx context.Context, id string) error {
	c.mu.Lock()
	e, known := c.endpoints.Get(id)
	if known {
		e.Leaving, e.Gone, e.LastSeen = true, true, c.ports.Clock.Now()
		c.receiveAnnouncement(e)
	}
	c.mu.Unlock()
	if !known {
		return nil
	}
	return c.propagate(ctx, id)
}

// receiveAnnouncement records an announcement that was made to this controller. It
// is passed on to the others if they need it. Must hold mu.
func (c *Controller) receiveAnnouncement(e registry.Endpoint) {
	now := c.ports.Clock.Now()
	before, _ := c.endpoints.Get(e.ID)
	if c.recordEndpoint(e) && c.passesOn(now, before, e) {
		c.announceSeq++
		c.localAnnounceSeq[e.ID], c.sharedAt[e.ID] = c.announceSeq, now
	}
}

// recordShared records an announcement that another controller passed on. Must hold
// mu.
func (c *Controller) recordShared(e registry.Endpoint) {
	if c.recordEndpoint(e) {
		c.sharedAt[e.ID] = c.ports.Clock.Now()
	}
}

// recordEndpoint records an announcement, made to this controller or passed on,
// and reports whether it changed the registry. Must hold mu.
func (c *Controller) recordEndpoint(e registry.Endpoint) bool {
	now := c.ports.Clock.Now()
	before, known := c.endpoints.Get(e.ID)
	var replaced []registry.Endpoint
	if !known || before.StartedMillis != e.StartedMillis {
		replaced = c.endpoints.ReplacedBy(e)
	}
	if !c.endpoints.Record(e) {
		return false
	}
	for _, old := range replaced {
		if !old.Leaving {
			c.suspicions.recordDeath(now, old)
		}
	}
	c.countEnded(before, e)
	c.suspicions.recordAnnouncement(now, e)
	c.updatePools(e)
	if !known || before.StartedMillis != e.StartedMillis || before.Leaving != e.Leaving || before.Gone != e.Gone {
		c.logEndpoint(e)
		c.notifyChanged()
	}
	return true
}

func (c *Controller) logEndpoint(e registry.Endpoint) {
	event.Log(context.Background(), c.ports.Logger, event.EndpointChanged,
		slog.String("endpoint", e.ID), slog.String("service", e.Service), slog.String("address", e.Address),
		slog.Int64("born", e.StartedMillis), slog.Int64("sequence", e.Sequence),
		slog.Bool("leaving", e.Leaving), slog.Bool("gone", e.Gone))
}

// forgetEndpoints removes the endpoints that haven't been announced for
// endpointRetention. Must hold mu.
func (c *Controller) forgetEndpoints(now time.Time) {
	for _, e := range c.endpoints.Sweep(now) {
		delete(c.localAnnounceSeq, e.ID)
		delete(c.sharedAt, e.ID)
		delete(c.limits, e.ID)
		for _, r := range c.regions {
			if r.pool != nil {
				r.pool.Remove(now, e.ID)
			}
		}
	}
}

// propagate sends an endpoint's state to all live controllers, saves it, and waits
// until each call has ended.
func (c *Controller) propagate(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, propagateTimeout)
	defer cancel()
	now := c.ports.Clock.Now()
	c.mu.Lock()
	e, _ := c.endpoints.Get(id)
	exchange := port.ExchangeRequest{From: c.self(now), EpochNumber: c.epoch.Number, Endpoints: []registry.Endpoint{e}, Durable: true}
	targets := make(map[string]port.ControllerPeer)
	for address, p := range c.peers {
		if live(now, p.LastSeen) {
			targets[address] = p.link
		}
	}
	epoch := c.epoch
	c.mu.Unlock()
	acked := make(map[string]bool)
	var mu sync.Mutex
	var group sync.WaitGroup
	group.Go(func() {
		if c.saveEnded() == nil {
			mu.Lock()
			acked[c.config.Address] = true
			mu.Unlock()
		}
	})
	for address, link := range targets {
		group.Go(func() {
			if _, err := link.Exchange(ctx, exchange); err == nil {
				mu.Lock()
				acked[address] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	count := 0
	for _, v := range epoch.Voters {
		if acked[v.Address] {
			count++
		}
	}
	c.ports.Meter.RecordAnnouncement(true, count >= epoch.Majority())
	if count < epoch.Majority() {
		event.Log(ctx, c.ports.Logger, event.LeavingUnacknowledged, slog.String("endpoint", id),
			slog.Int("told", count), slog.Int("needed", epoch.Majority()))
		return fmt.Errorf("%w: %d of %d required voters acknowledged the endpoint's state", port.ErrUnconfirmed, count, epoch.Majority())
	}
	return nil
}
