package controller

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// propagateTimeout bounds the time in which an announcement that takes an
// endpoint out of use reaches the other controllers; endpoints wait one second
// for the acknowledgement.
const propagateTimeout = 800 * time.Millisecond

// propagateRetryPeriod is the time between two calls to a voter in which an announcement
// that takes an endpoint out of use doesn't reach it.
const propagateRetryPeriod = 50 * time.Millisecond

const (
	// clockTolerance is how far an endpoint's clock may be ahead of this VM's without
	// its deregistration missing an incarnation that has just started. A later one
	// starts only after the endpoint has served on for longer than that.
	clockTolerance = time.Second
	// maxUnknownDeregistered bounds the deregistered IDs of which no announcement is
	// known, so that made-up ones can't exhaust memory.
	maxUnknownDeregistered = 1024
)

// Announce records an endpoint's announcement. An announcement that the
// endpoint leaves is sent to all live controllers at once, the dispatchers
// among them. It is acknowledged once all these calls have ended, if a majority
// of the voters has it on its disk; otherwise the error wraps port.ErrUnconfirmed. So does
// that of an announcement that isn't recorded and should be: it says that an incarnation
// leaves of which a later start is known, or it is refused by registry.Refuses.
func (c *Controller) Announce(ctx context.Context, e registry.Endpoint) error {
	c.mu.Lock()
	c.receiveAnnouncement(e)
	known, _ := c.endpoints.Get(e.ID)
	covered := c.endpoints.Covers(e)
	c.mu.Unlock()
	if !covered {
		c.ports.Meter.RecordAnnouncement(e.Leaving, false)
		err := fmt.Errorf("%w: endpoint %q, of service %q and started at %d, isn't recorded beside that of service %q started at %d",
			port.ErrUnconfirmed, e.ID, e.Service, e.StartedMillis, known.Service, known.StartedMillis)
		event.Log(ctx, c.ports.Logger, event.AnnouncementRejected, slog.Any("error", err))
		return err
	}
	if !e.Leaving {
		c.ports.Meter.RecordAnnouncement(false, true)
		return nil
	}
	return c.propagate(ctx, e.ID)
}

// Deregister marks an endpoint as gone; it is acknowledged as in Announce. It also binds
// where the endpoint isn't known, or only by an announcement of an earlier incarnation.
// The error wraps port.ErrUnconfirmed if maxUnknownDeregistered such IDs are kept.
func (c *Controller) Deregister(ctx context.Context, id string) error {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	_, known := c.endpoints.Get(id)
	if n := c.endpoints.UnknownCount(); !known && n >= maxUnknownDeregistered {
		c.mu.Unlock()
		return fmt.Errorf("%w: %d unknown endpoints were deregistered within %s", port.ErrUnconfirmed, n, endpointRetention)
	}
	c.receiveAnnouncement(c.endpoints.Deregistered(id, now.Add(clockTolerance).UnixMilli(), now))
	c.mu.Unlock()
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

// recordShared records an announcement that another controller passed on. One that takes
// the endpoint out of use is passed on again: the controller that acknowledged it may be
// gone or cut off from some of the others. Must hold mu.
func (c *Controller) recordShared(e registry.Endpoint) {
	if !c.recordEndpoint(e) {
		return
	}
	c.sharedAt[e.ID] = c.ports.Clock.Now()
	if e.Leaving || e.Gone {
		c.announceSeq++
		c.localAnnounceSeq[e.ID] = c.announceSeq
	}
}

// recordEndpoint records an announcement, made to this controller or passed on,
// and reports whether it changed the registry. Must hold mu.
func (c *Controller) recordEndpoint(e registry.Endpoint) bool {
	now := c.ports.Clock.Now()
	if !c.checkEndpoint(e) {
		return false
	}
	before, known := c.endpoints.Get(e.ID)
	if !c.endpoints.Record(e) {
		return false
	}
	if known && !before.Gone && !e.Gone && before.StartedMillis < e.StartedMillis {
		c.recordDeath(now, before)
	}
	c.applyReplacements(now)
	c.countEnded(before, e)
	if ended := before; known && e.Gone {
		ended.Gone = true // the incarnation that runs may have started before e's
		c.suspicions.recordAnnouncement(now, ended)
	}
	if e.Leaving || e.Gone || !c.endpoints.Replaced(e.ID) {
		c.suspicions.recordAnnouncement(now, e)
	}
	c.updatePools(e)
	if !known || before.StartedMillis != e.StartedMillis || before.Leaving != e.Leaving || before.Gone != e.Gone {
		c.logEndpoint(e)
		c.notifyChanged()
	}
	return true
}

// applyReplacements takes the endpoints whose addresses others have now out of use, and those
// that turned out to have kept theirs into use again. Must hold mu.
func (c *Controller) applyReplacements(now time.Time) {
	for _, r := range c.endpoints.TakeReplacements() {
		e, replaced := r.Endpoint, r.By.ID != ""
		if e.Gone {
			continue
		}
		event.Log(context.Background(), c.ports.Logger, event.EndpointReplaced,
			slog.Bool("replaced", replaced), slog.String("endpoint", e.ID), slog.String("service", e.Service),
			slog.String("address", e.Address), slog.Int64("born", e.StartedMillis),
			slog.String("by", r.By.ID), slog.String("by_service", r.By.Service), slog.Int64("by_born", r.By.StartedMillis))
		if replaced {
			c.recordDeath(now, e)
		}
		c.updatePools(e)
		c.notifyChanged()
	}
}

// recordDeath records that an incarnation has ended without notice. One of a service that the
// configuration doesn't name ran no requests: its end says nothing about any, nor that others ended
// for a common cause. Must hold mu.
func (c *Controller) recordDeath(now time.Time, e registry.Endpoint) {
	if !e.Leaving && c.endpoints.Names(e.Service) {
		c.suspicions.recordDeath(now, e)
	}
}

// checkEndpoint reports whether an announcement can be passed on; one that can't be is
// logged and counted.
func (c *Controller) checkEndpoint(e registry.Endpoint) bool {
	err := e.Check()
	if err == nil {
		return true
	}
	event.Log(context.Background(), c.ports.Logger, event.AnnouncementRejected, slog.Any("error", err))
	c.ports.Meter.RecordItemDropped("Endpoint")
	return false
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
	c.applyReplacements(now)
}

// propagate sends an endpoint's state to all live controllers and all voters, and saves
// it here. It waits until each call to a live one has ended and a majority of the voters
// has the state on its disk. A voter that can't be reached yet, such as one that has just
// started, is called again until propagateTimeout.
func (c *Controller) propagate(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, propagateTimeout)
	defer cancel()
	exchange, targets, epoch := c.propagation(id)
	count := c.spread(ctx, exchange, targets, epoch, c.saveEnded)
	confirmed := count >= epoch.Majority() && epoch.Number > 0
	c.ports.Meter.RecordAnnouncement(true, confirmed)
	if !confirmed {
		event.Log(ctx, c.ports.Logger, event.LeavingUnacknowledged, slog.String("endpoint", id),
			slog.Int("told", count), slog.Int("needed", epoch.Majority()))
		return fmt.Errorf("%w: %d of %d required voters acknowledged the endpoint's state", port.ErrUnconfirmed, count, epoch.Majority())
	}
	return nil
}

// spread sends a message to the targets and saves its changes here, which may take long on a disk
// that stalls. It returns once each call to a live target has ended and a majority of the voters has
// the changes on its disk, or once ctx has ended. It returns the number of voters that have them.
func (c *Controller) spread(ctx context.Context, exchange port.ExchangeRequest, targets []target, epoch quorum.Epoch, save func() error) int {
	results := make(chan propagated, 2*len(targets)+1)
	for _, t := range targets {
		go t.send(ctx, exchange, results)
	}
	acked := make(map[string]bool)
	count := func() (n int) {
		for _, v := range epoch.Voters {
			if acked[v.Address] {
				n++
			}
		}
		return n
	}
	go func() { results <- propagated{from: c.config.Address, acked: save() == nil, last: true} }()
	waiting, running := 0, len(targets)+1
	for _, t := range targets {
		if t.live {
			waiting++
		}
	}
	for running > 0 && (waiting > 0 || count() < epoch.Majority()) {
		var r propagated
		select {
		case r = <-results:
		case <-ctx.Done():
			return count()
		}
		acked[r.from] = acked[r.from] || r.acked
		if r.first {
			waiting--
		}
		if r.last {
			running--
		}
	}
	return count()
}

// votersAsTargets returns the voters other than this controller as targets none of which is waited
// for once a majority has answered. Must hold mu.
func (c *Controller) votersAsTargets() []target {
	var out []target
	for _, v := range c.epoch.Voters {
		if p := c.peers[v.Address]; p != nil {
			out = append(out, target{address: v.Address, link: p.link, votes: true})
		}
	}
	return out
}

// propagation returns the message that propagate sends for an endpoint, its targets and
// the epoch whose voters have to acknowledge it.
func (c *Controller) propagation(id string) (port.ExchangeRequest, []target, quorum.Epoch) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshPeers(now)
	e, _ := c.endpoints.Get(id)
	var targets []target
	for address, p := range c.peers {
		t := target{address: address, link: p.link, live: live(now, p.LastSeen), votes: c.epoch.HasAddress(address)}
		if t.live || t.votes {
			targets = append(targets, t)
		}
	}
	exchange := port.ExchangeRequest{From: c.self(now), EpochNumber: c.epoch.Number, Endpoints: []registry.Endpoint{e}, Durable: true}
	return exchange, targets, c.epoch
}

// target is a controller that propagate sends an endpoint's state to.
type target struct {
	address     string
	link        port.ControllerPeer
	live, votes bool
}

// propagated is the outcome of a call to a target. first is set for the first call to a
// live one, last if no other call follows.
type propagated struct {
	from               string
	acked, first, last bool
}

// send calls the target, and again until ctx ends if it votes and the call failed.
func (t target) send(ctx context.Context, m port.ExchangeRequest, results chan<- propagated) {
	_, err := t.link.Exchange(ctx, m)
	last := err == nil || !t.votes
	results <- propagated{from: t.address, acked: err == nil, first: t.live, last: last}
	for !last {
		last = !wait.For(ctx, propagateRetryPeriod)
		if !last {
			_, err = t.link.Exchange(ctx, m)
			last = err == nil
		}
		if last {
			results <- propagated{from: t.address, acked: err == nil, last: true}
		}
	}
}
