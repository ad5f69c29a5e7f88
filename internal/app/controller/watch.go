package controller

import (
	"context"
	"slices"
	"time"

	"sassafrasreach/internal/core/link"
	"sassafrasreach/internal/port"
)

const (
	// watchHold is the longest time that a gateway's call waits for a change.
	// A gateway that misses a few of these calls counts as unreachable.
	watchHold = 400 * time.Millisecond
	// maxWatchHold bounds the time for which a gateway may ask.
	maxWatchHold = 2 * time.Second
	// gatewayRetention is how long an unreachable gateway is remembered.
	gatewayRetention = 10 * time.Second
)

// Watch implements port.ControllerLink.
func (c *Controller) Watch(ctx context.Context, g port.Gateway, since port.WatchCursor) (port.Update, error) {
	received := c.ports.Boot.SinceBoot()
	c.mu.Lock()
	c.recordGateway(g)
	c.watchers[g.Address] = g.LastSeen
	changed := c.changed
	update := c.update(since, received)
	c.mu.Unlock()
	if update.State != nil || since.Incarnation != c.incarnation {
		return update, nil
	}
	hold := watchHold
	if since.Hold > 0 {
		hold = min(since.Hold, maxWatchHold)
	}
	timer := time.NewTimer(hold)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if ctx.Err() == nil {
		g.LastSeen = c.ports.Clock.Now() // it has waited for this answer
		c.recordGateway(g)
		c.watchers[g.Address] = g.LastSeen
	}
	return c.update(since, received), nil
}

// update returns the changes since a cursor, for a call that was received at a time since
// boot. Must hold mu.
func (c *Controller) update(since port.WatchCursor, received time.Duration) port.Update {
	now, sinceBoot := c.ports.Clock.Now(), c.ports.Boot.SinceBoot()
	if since.Incarnation != c.incarnation {
		since = port.WatchCursor{Incarnation: c.incarnation}
	}
	u := port.Update{
		Dispatchers: c.knownLeases(now), Held: sinceBoot - received,
		Cursor: port.WatchCursor{Incarnation: c.incarnation, Sequence: since.Sequence},
	}
	if at, ok := c.confirmed(sinceBoot); ok {
		u.Age = sinceBoot - at
		u.Confirmed = now.Add(-u.Age)
	}
	controllers := append(c.liveControllers(now), c.self(now))
	u.Cursor.Controllers = controllersVersion(controllers)
	if u.Cursor.Controllers != since.Controllers {
		u.Controllers = controllers
	}
	if c.chosen.Value != nil {
		u.Sequence = c.chosen.Value.Sequence
	}
	if u.Sequence > since.Sequence && !u.Confirmed.IsZero() {
		u.State = c.state.InForce()
		u.Cursor.Sequence = u.Sequence
	}
	return u
}

// recordGateway records a gateway unless a later report of it is known. Must
// hold mu.
func (c *Controller) recordGateway(g port.Gateway) {
	old, known := c.gateways[g.Address]
	if known && (old.Incarnation > g.Incarnation || old.Incarnation == g.Incarnation && old.LastSeen.After(g.LastSeen)) {
		return
	}
	c.gateways[g.Address] = g
}

// watchingGateways returns the gateways that watch this controller. It also
// removes the gateways that have been unreachable for gatewayRetention. Must
// hold mu.
func (c *Controller) watchingGateways(now time.Time) []port.Gateway {
	var out []port.Gateway
	for address, at := range c.watchers {
		if !live(now, at) {
			delete(c.watchers, address)
			continue
		}
		out = append(out, c.gateways[address])
	}
	for address, g := range c.gateways {
		if now.Sub(g.LastSeen) > gatewayRetention {
			delete(c.gateways, address)
		}
	}
	return out
}

// maxGatewaysReturned bounds the gateways that an answer of Nearest names.
const maxGatewaysReturned = 64

// Nearest returns the addresses of the live, ready gateways of a failure domain, else of
// its region, else of all, and prefers those whose links have room (link.Nearest). It is
// empty when no such gateway is known.
func (c *Controller) Nearest(zone, region string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var named []link.Gateway
	for _, g := range c.namedGateways(c.ports.Clock.Now()) {
		named = append(named, link.Gateway{Address: g.Address, Zone: g.Zone, Region: g.Region, Percent: g.LinkPercent})
	}
	var out []string
	for _, g := range link.Nearest(named, zone, region) {
		out = append(out, g.Address)
	}
	slices.Sort(out)
	return out[:min(len(out), maxGatewaysReturned)]
}
