package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/lease"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// region is what this controller knows of the dispatch of a region.
type region struct {
	name      string
	candidate *lease.Candidate
	// pool is set while this controller holds the region.
	pool    *dispatch.Pool
	waiting map[string]chan dispatch.Decision
	// holder dispatches the region until a moment, as far as is known.
	holder string
	until  time.Time
	// resigned says that the lease is to be given up.
	resigned bool
}

// voterAddresses must hold mu.
func (c *Controller) voterAddresses() []string {
	out := make([]string, len(c.epoch.Voters))
	for i, v := range c.epoch.Voters {
		out[i] = v.Address
	}
	return out
}

// settleRegions takes up and gives up regions. Must hold mu.
func (c *Controller) settleRegions(now time.Time) {
	for _, r := range c.regions {
		holds := c.holds(now, r)
		if holds && !c.wants(now, r) {
			r.candidate.Resign()
			c.ballots.Drop(r.name, c.config.Address)
			r.resigned = true
			holds = false
		}
		if holds {
			r.holder, r.until = c.config.Address, now.Add(lease.Term)
		}
		c.settle(now, r, holds)
	}
}

// holds says whether this controller has the votes for a region. Must hold mu.
func (c *Controller) holds(now time.Time, r *region) bool {
	return r.candidate.Holds(now, c.voterAddresses())
}

// settle starts, goes on with or ends the dispatch of a region. Without the votes
// of a majority this controller dispatches as well, as long as it is the first
// that it can reach and knows of no holder: gateways then agree on one of those
// that do. Must hold mu.
func (c *Controller) settle(now time.Time, r *region, firm bool) {
	held := r.holder != c.config.Address && now.Before(r.until)
	dispatches := firm || !held && c.wants(now, r)
	if dispatches && r.pool == nil {
		r.pool = dispatch.NewPool(fmt.Sprintf("%s/%d/", r.name, now.UnixNano()), c.newDispatchSetup(r.name))
		r.waiting = make(map[string]chan dispatch.Decision)
		c.fill(now, r)
		event.Log(context.Background(), c.ports.Logger, event.DispatchBegun,
			slog.String("region", r.name), slog.Bool("firm", firm))
		c.wake()
	}
	if !dispatches && r.pool != nil {
		r.pool = nil
		for _, w := range r.waiting {
			close(w)
		}
		r.waiting = nil
		event.Log(context.Background(), c.ports.Logger, event.DispatchEnded,
			slog.String("region", r.name), slog.String("holder", r.holder))
		c.wake()
	}
	if r.pool != nil {
		r.pool.SetFirm(now, firm)
	}
}

// unsettle tells the pools that controllers were lost or found. Must hold mu.
func (c *Controller) unsettle(now time.Time) {
	for _, r := range c.regions {
		if r.pool != nil {
			r.pool.Unsettle(now)
		}
	}
}

// fill gives a new pool the endpoints, and the loans that its region's former
// dispatcher had told of. Must hold mu.
func (c *Controller) fill(now time.Time, r *region) {
	all, _ := c.endpoints.Since(0)
	for _, e := range all {
		if c.mayServe(e) {
			r.pool.Learn(now, e)
		}
	}
	for lender, heard := range c.loans {
		for _, l := range heard.loans {
			switch {
			case now.Sub(heard.at) > dispatch.LoanTerm:
			case lender == r.name:
				r.pool.Resume(now, l)
			case l.Borrower == r.name:
				r.pool.Borrow(now, l)
			}
		}
	}
}

// mayServe says whether an endpoint may get requests. Must hold mu.
func (c *Controller) mayServe(e registry.Endpoint) bool {
	return !slices.Contains(c.state.Evacuated, e.Zone)
}

// refill adapts the pools to the failure domains that are evacuated now. Must
// hold mu.
func (c *Controller) refill() {
	all, _ := c.endpoints.Since(0)
	for _, e := range all {
		c.toPool(e)
	}
}

// toPool tells the pools of an endpoint. Must hold mu.
func (c *Controller) toPool(e registry.Endpoint) {
	now := c.ports.Clock.Now()
	for _, r := range c.regions {
		switch {
		case r.pool == nil:
		case c.mayServe(e):
			r.pool.Learn(now, e)
		default:
			r.pool.Forget(now, e.ID)
		}
	}
}

// wants says whether this controller should dispatch a region: the first live
// one of the region's own, or of all if it has none. One of the region that has
// the votes stays; without them it gives way to the first, since two that both
// stay would halve the votes for good. Must hold mu.
func (c *Controller) wants(now time.Time, r *region) bool {
	if c.stopping {
		return false
	}
	if r.pool != nil && c.config.Region == r.name && c.holds(now, r) {
		return true
	}
	best := c.self(now)
	for _, p := range c.peers {
		if live(now, p.Heard) && lease.Before(r.name, p.Region, p.Address, best.Region, best.Address) {
			best = p.Controller
		}
	}
	return best.Address == c.config.Address
}

// asks returns the regions that this controller wants, and votes for itself.
// Must hold mu.
func (c *Controller) asks(now time.Time) []string {
	var out []string
	for name, r := range c.regions {
		if !c.wants(now, r) {
			continue
		}
		r.candidate.Voted(c.config.Address, now, c.ballots.Ask(now, name, c.config.Address))
		out = append(out, name)
	}
	return out
}

// drops returns the regions that were given up. Must hold mu.
func (c *Controller) drops() []string {
	var out []string
	for name, r := range c.regions {
		if r.resigned {
			out = append(out, name)
		}
	}
	return out
}

// dropped notes that all were told. Must hold mu.
func (c *Controller) dropped() {
	for _, r := range c.regions {
		r.resigned = false
	}
}

// held returns the leases that this controller holds. Must hold mu.
func (c *Controller) held(now time.Time) []port.Lease {
	var out []port.Lease
	for _, r := range c.regions {
		if r.pool != nil && r.holder == c.config.Address && now.Before(r.until) {
			out = append(out, port.Lease{Region: r.name, Holder: c.config.Address, Left: r.until.Sub(now), Firm: true})
		}
	}
	return out
}

// heardOf takes the word of a holder. Must hold mu.
func (c *Controller) heardOf(l port.Lease) {
	r := c.regions[l.Region]
	if r == nil {
		return
	}
	if r.holder != l.Holder {
		r.holder = l.Holder
		c.wake()
	}
	r.until = c.ports.Clock.Now().Add(l.Left)
}

// dispatchers returns the holders that are known. Must hold mu.
func (c *Controller) dispatchers(now time.Time) []port.Lease {
	var out []port.Lease
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; now.Before(r.until) {
			out = append(out, port.Lease{Region: name, Holder: r.holder, Left: r.until.Sub(now), Firm: true})
		}
	}
	return out
}

// Acquire implements port.ControllerLink.
func (c *Controller) Acquire(ctx context.Context, a port.AskSlot) (dispatch.Decision, error) {
	decision, wait, err := c.acquire(a)
	if err != nil || wait == nil {
		c.decided(a, decision, err)
		return decision, err
	}
	select {
	case d, ok := <-wait:
		if !ok {
			return dispatch.Decision{}, fmt.Errorf("%w: it ended", port.ErrNotDispatcher)
		}
		c.decided(a, d, nil)
		return d, nil
	case <-ctx.Done():
		c.cancel(a, wait)
		return dispatch.Decision{}, ctx.Err()
	}
}

func (c *Controller) decided(a port.AskSlot, d dispatch.Decision, err error) {
	if err == nil {
		c.ports.Meter.Decided(a.Service, string(d.Reason))
	}
}

// acquire decides at once, or returns the channel on which the decision comes.
func (c *Controller) acquire(a port.AskSlot) (dispatch.Decision, chan dispatch.Decision, error) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.regions[a.Region]
	if r == nil || r.pool == nil {
		return dispatch.Decision{}, nil, fmt.Errorf("%w: %q", port.ErrNotDispatcher, a.Region)
	}
	if d, decided := r.pool.Acquire(now, a.Ask); decided {
		return d, nil, nil
	}
	wait := make(chan dispatch.Decision, 1)
	r.waiting[a.ID] = wait
	return dispatch.Decision{}, wait, nil
}

// cancel takes back an ask whose gateway no longer waits.
func (c *Controller) cancel(a port.AskSlot, wait chan dispatch.Decision) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.regions[a.Region]
	if r.pool == nil {
		return
	}
	delete(r.waiting, a.ID)
	r.pool.Cancel(a.Service, a.ID)
	select {
	case d, ok := <-wait:
		if ok && d.Grant != "" {
			c.deliver(r, r.pool.Release(now, d.Grant, dispatch.Unsent, 0))
		}
	default:
	}
}

// deliver hands decisions to those that wait for them. Must hold mu.
func (c *Controller) deliver(r *region, decisions []dispatch.Decision) {
	for _, d := range decisions {
		if wait := r.waiting[d.Ask.ID]; wait != nil {
			delete(r.waiting, d.Ask.ID)
			wait <- d
		}
	}
}

// Release implements port.ControllerLink.
func (c *Controller) Release(_ context.Context, released []port.SlotRelease) error {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range released {
		if r := c.regions[s.Region]; r != nil && r.pool != nil {
			c.deliver(r, r.pool.Release(now, s.Grant, s.Outcome, s.Took))
		}
	}
	return nil
}

// tick ends waits and grants whose time is over.
func (c *Controller) tick() {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.regions {
		if r.pool == nil {
			continue
		}
		c.settle(now, r, c.holds(now, r))
		if r.pool != nil {
			c.deliver(r, r.pool.Tick(now))
		}
	}
}
