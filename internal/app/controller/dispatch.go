package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/lease"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// region is the dispatch state of one region at this controller.
type region struct {
	name      string
	candidate *lease.Candidate
	// pool is set while this controller dispatches the region, with or without
	// a majority of the votes.
	pool    *dispatch.Pool
	waiting map[string]waiter
	// holder is the last known holder of the region's lease; until is when
	// that lease ends.
	holder string
	until  time.Time
	// quotaLease is the end of the lease that the book of quotas was last told.
	quotaLease time.Time
	// releasesVotes means that the next exchange releases the votes that the
	// other controllers granted this one.
	releasesVotes bool
}

// voterAddresses returns the addresses of the epoch's voters. Must hold mu.
func (c *Controller) voterAddresses() []string {
	out := make([]string, len(c.epoch.Voters))
	for i, v := range c.epoch.Voters {
		out[i] = v.Address
	}
	return out
}

// updateRegions starts and ends the dispatch of regions and gives up leases.
// Must hold mu.
func (c *Controller) updateRegions(now time.Time) {
	for _, r := range c.regions {
		holds := c.holds(now, r)
		if holds && !c.shouldDispatch(now, r) {
			r.candidate.DiscardVotes()
			c.grantedVotes.ReleaseVote(r.name, c.config.Address)
			r.releasesVotes = true
			holds = false
		}
		if holds {
			r.holder, r.until = c.config.Address, now.Add(lease.Term)
		}
		c.updateDispatch(now, r, holds)
	}
}

// holds reports whether this controller has a majority of the votes for a
// region. Must hold mu.
func (c *Controller) holds(now time.Time, r *region) bool {
	return r.candidate.Holds(now, c.voterAddresses())
}

// updateDispatch starts, continues or ends the dispatch of a region. A
// controller without a majority of the votes dispatches too, as long as it
// ranks first among the controllers that it can reach and knows of no other
// holder: gateways then agree on one of those that dispatch. After its start, or
// after it stood still, it first hears from a majority of the voters, or waits for a
// term, because it knows of nobody. Must hold mu.
func (c *Controller) updateDispatch(now time.Time, r *region, hasMajority bool) {
	heldByOther := r.holder != c.config.Address && now.Before(r.until)
	heldByOther = heldByOther || now.Sub(c.ranSince) < lease.Term && !c.heardMajority()
	c.updateQuotaLease(r, hasMajority)
	dispatches := hasMajority || !heldByOther && c.shouldDispatch(now, r)
	if dispatches && r.pool == nil {
		r.pool = dispatch.NewPool(fmt.Sprintf("%s/%d/", r.name, now.UnixNano()), c.newDispatchConfig(r.name))
		r.waiting = make(map[string]waiter)
		c.fillPool(now, r)
		event.Log(context.Background(), c.ports.Logger, event.DispatchBegun,
			slog.String("region", r.name), slog.Bool("firm", hasMajority))
		c.notifyChanged()
	}
	if !dispatches && r.pool != nil {
		r.pool.Close(now)
		r.pool = nil
		for _, w := range r.waiting {
			close(w.decision)
			c.settle(w.token, false)
		}
		r.waiting = nil
		event.Log(context.Background(), c.ports.Logger, event.DispatchEnded,
			slog.String("region", r.name), slog.String("holder", r.holder))
		c.notifyChanged()
	}
	if r.pool != nil {
		r.pool.SetExclusive(now, hasMajority)
	}
}

// heardMajority reports whether a majority of the voters' disks, this one included, has
// reported the endpoints that leave or are gone since this controller started or stood
// still. One of these disks has each of them whose end was acknowledged. Must hold mu.
func (c *Controller) heardMajority() bool {
	heard := 0
	for _, v := range c.epoch.Voters {
		p := c.peers[v.Address]
		if v.ID == c.voter.id || p != nil && p.Disk == v.ID && p.endedAt.After(c.ranSince) {
			heard++
		}
	}
	return len(c.epoch.Voters) > 0 && heard >= c.epoch.Majority()
}

// suspendShiftLimit suspends a region's limit on shifts to other regions, because
// a controller in it became unreachable or reachable again. That of the other
// regions holds: endpoints that they lose with the controller suspend it
// themselves. Must hold mu.
func (c *Controller) suspendShiftLimit(now time.Time, region string) {
	if r := c.regions[region]; r != nil && r.pool != nil {
		r.pool.SuspendShiftLimit(now)
	}
}

// fillPool adds the known endpoints and their limits to a new pool. It also adds
// the last reported load of its region, and the last reported loans that haven't
// expired: those of its region, which the former dispatcher granted, and those that
// other regions grant to it. Must hold mu.
func (c *Controller) fillPool(now time.Time, r *region) {
	all, _ := c.endpoints.Since(0)
	for _, e := range all {
		if c.mayServe(e) {
			r.pool.Update(now, e)
		}
	}
	for _, l := range c.limits {
		r.pool.SetLimit(now, l)
	}
	for key, l := range c.loads {
		if key.region == r.name && now.Sub(l.at) <= dispatch.LoanTerm {
			r.pool.ResumeLoad(now, l.Load)
		}
	}
	for lender, reported := range c.loans {
		for _, l := range reported.loans {
			switch {
			case now.Sub(reported.at) > dispatch.LoanTerm:
			case lender == r.name:
				r.pool.Resume(now, l)
			case l.Borrower == r.name:
				r.pool.Borrow(now, l)
			}
		}
	}
}

// mayServe reports whether an endpoint may receive requests: its failure
// domain isn't evacuated, and no other endpoint has its address. Must hold mu.
func (c *Controller) mayServe(e registry.Endpoint) bool {
	return !slices.Contains(c.state.Evacuated, e.Zone) && !c.endpoints.Replaced(e.ID)
}

// refillPools updates all pools for the failure domains that are evacuated and the
// services that are named now. Must hold mu.
func (c *Controller) refillPools() {
	all, _ := c.endpoints.Since(0)
	for _, e := range all {
		c.updatePools(e)
	}
}

// updatePools adds an endpoint to the pools or updates it there, or removes it
// if it may not serve. Must hold mu.
func (c *Controller) updatePools(e registry.Endpoint) {
	now := c.ports.Clock.Now()
	for _, r := range c.regions {
		switch {
		case r.pool == nil:
		case c.mayServe(e):
			r.pool.Update(now, e)
		default:
			r.pool.Remove(now, e.ID)
		}
	}
}

// shouldDispatch reports whether this controller should dispatch a region: the
// first live controller in the region by the order of lease.Precedes, or the
// first of all if the region has none. A controller of the region that holds a
// majority keeps the region. Without a majority it yields to the first one:
// two that both stayed would split the votes for good. Must hold mu.
func (c *Controller) shouldDispatch(now time.Time, r *region) bool {
	if c.stopping {
		return false
	}
	if r.pool != nil && c.config.Region == r.name && c.holds(now, r) {
		return true
	}
	best := c.self(now)
	for _, p := range c.peers {
		if live(now, p.LastSeen) && lease.Precedes(r.name, p.Region, p.Address, best.Region, best.Address) {
			best = p.Controller
		}
	}
	return best.Address == c.config.Address
}

// requestedRegions returns the regions for which this controller requests
// votes, and requests its own voter's vote for each. Must hold mu.
func (c *Controller) requestedRegions(now time.Time) []string {
	var out []string
	for name, r := range c.regions {
		if !c.shouldDispatch(now, r) {
			continue
		}
		r.candidate.RecordReply(c.config.Address, now, c.grantedVotes.RequestVote(now, name, c.config.Address))
		out = append(out, name)
	}
	return out
}

// releasedRegions returns the regions for which this controller releases the
// votes that others granted it. Must hold mu.
func (c *Controller) releasedRegions() []string {
	var out []string
	for name, r := range c.regions {
		if r.releasesVotes {
			out = append(out, name)
		}
	}
	return out
}

// clearReleased marks the releases of votes as sent. The vote of a peer that
// misses one binds it until the term ends. Must hold mu.
func (c *Controller) clearReleased() {
	for _, r := range c.regions {
		r.releasesVotes = false
	}
}

// heldLeases returns the leases that this controller holds. Must hold mu.
func (c *Controller) heldLeases(now time.Time) []port.Lease {
	var out []port.Lease
	for _, r := range c.regions {
		if r.pool != nil && r.holder == c.config.Address && now.Before(r.until) {
			out = append(out, port.Lease{Region: r.name, Holder: c.config.Address, Remaining: r.until.Sub(now), HasMajority: true})
		}
	}
	return out
}

// recordLease records a lease reported by its holder. Must hold mu.
func (c *Controller) recordLease(l port.Lease) {
	r := c.regions[l.Region]
	if r == nil {
		return
	}
	if r.holder != l.Holder {
		r.holder = l.Holder
		c.notifyChanged()
	}
	r.until = c.ports.Clock.Now().Add(l.Remaining)
}

// knownLeases returns the known leases that haven't ended. Must hold mu.
func (c *Controller) knownLeases(now time.Time) []port.Lease {
	var out []port.Lease
	for _, name := range sortedKeys(c.regions) {
		if r := c.regions[name]; now.Before(r.until) {
			out = append(out, port.Lease{Region: name, Holder: r.holder, Remaining: r.until.Sub(now), HasMajority: true})
		}
	}
	return out
}

// Acquire implements port.ControllerLink.
func (c *Controller) Acquire(ctx context.Context, req port.SlotRequest) (dispatch.Decision, error) {
	c.learnSuspicions(req)
	c.awaitDurable(ctx, req.Fingerprint)
	decision, wait, err := c.acquire(req)
	if err != nil || wait == nil {
		c.recordDecision(req, decision, err)
		return decision, err
	}
	select {
	case d, ok := <-wait:
		if !ok {
			return dispatch.Decision{}, fmt.Errorf("%w: the dispatch ended while the slot request waited", port.ErrNotDispatcher)
		}
		c.recordDecision(req, d, nil)
		return d, nil
	case <-ctx.Done():
		c.cancel(req, wait)
		return dispatch.Decision{}, ctx.Err()
	}
}

func (c *Controller) recordDecision(req port.SlotRequest, d dispatch.Decision, err error) {
	if err == nil {
		c.ports.Meter.RecordDecision(req.Service, string(d.Reason))
	}
}

// acquire decides a slot request at once, or returns the channel on which the
// decision is sent.
func (c *Controller) acquire(req port.SlotRequest) (dispatch.Decision, chan dispatch.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	r := c.regions[req.Region]
	if r == nil || r.pool == nil {
		return dispatch.Decision{}, nil, fmt.Errorf("%w: %q", port.ErrNotDispatcher, req.Region)
	}
	if !c.knowsQuotas(req) {
		return dispatch.Decision{}, nil, fmt.Errorf("%w: %q, since the quota of account %q isn't known yet", port.ErrNotDispatcher, req.Region, req.Account)
	}
	token, refusal, ok := c.takeToken(req)
	if !ok {
		return refusal, nil, nil
	}
	if d, decided := r.pool.Acquire(now, req.SlotRequest); decided {
		c.settle(token, d.Grant != "")
		return d, nil, nil
	}
	if former, known := r.waiting[req.ID]; known {
		c.settle(former.token, false)
	}
	wait := make(chan dispatch.Decision, 1)
	r.waiting[req.ID] = waiter{wait, token}
	return dispatch.Decision{}, wait, nil
}

// learnsFromGatewaysFor is how long after its start a controller learns of crashing
// requests from the gateways; later it knows better, also of requests that were
// answered since.
const learnsFromGatewaysFor = 10 * time.Second

// learnSuspicions records what the gateway saw of the same content before this
// controller started.
func (c *Controller) learnSuspicions(req port.SlotRequest) {
	now := c.ports.Clock.Now()
	if now.Sub(c.startedAt) > learnsFromGatewaysFor || len(req.Suspicions) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range req.Suspicions {
		if s.Fingerprint == req.Fingerprint {
			c.suspicions.learn(now, s)
		}
	}
	c.sendUnsent()
}

// sendUnsent starts an exchange at once if there are suspicions that the other
// controllers should know of now. Must hold mu.
func (c *Controller) sendUnsent() {
	if !c.suspicions.unsent {
		return
	}
	c.suspicions.unsent = false
	c.exchangeAtOnce()
}

// exchangeAtOnce starts a round of exchanges before its period has passed.
func (c *Controller) exchangeAtOnce() {
	select {
	case c.exchangeNow <- struct{}{}:
	default:
	}
}

// cancel withdraws a slot request whose gateway no longer waits, and releases
// a slot that was granted meanwhile.
func (c *Controller) cancel(req port.SlotRequest, wait chan dispatch.Decision) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.regions[req.Region]
	if r.pool == nil {
		return
	}
	if w, waits := r.waiting[req.ID]; waits && w.decision == wait {
		c.settle(w.token, false)
	}
	delete(r.waiting, req.ID)
	r.pool.Cancel(req.Service, req.ID)
	select {
	case d, ok := <-wait:
		if ok && d.Grant != "" {
			r.pool.RecordRunEnd(d.Grant, quarantine.NotStarted) // the gateway doesn't know of it
			c.deliver(r, r.pool.Release(now, d.Grant, dispatch.Unsent, 0))
		}
	default:
	}
}

// deliver sends decisions to the callers that wait for them. Must hold mu.
func (c *Controller) deliver(r *region, decisions []dispatch.Decision) {
	for _, d := range decisions {
		if w, waits := r.waiting[d.Request.ID]; waits {
			delete(r.waiting, d.Request.ID)
			c.settle(w.token, d.Grant != "")
			w.decision <- d
		}
	}
}

// Release implements port.ControllerLink.
func (c *Controller) Release(_ context.Context, released []port.SlotRelease) error {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range released {
		known := false
		if r := c.regions[s.Region]; r != nil && r.pool != nil {
			if s.Answered {
				c.observeSignals(now, r, s)
			}
			if s.RunEnd != nil {
				known = r.pool.RecordRunEnd(s.Grant, *s.RunEnd)
			}
			r.pool.RecordResponse(s.Grant, s.ResponseBytes)
			c.deliver(r, r.pool.Release(now, s.Grant, s.Outcome, s.Took))
		}
		if !known && s.Suspicion != nil {
			c.suspicions.learn(now, *s.Suspicion) // of a dispatcher that has ended
		}
	}
	c.sendUnsent()
	return nil
}

// tick ends the dispatch of regions that this controller may no longer
// dispatch. In the others it removes expired grants and sends the decisions of
// queued slot requests that got a slot or may not wait any longer.
func (c *Controller) tick() {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.lastTick) > stallTime {
		c.ranSince = now
		c.exchangeAtOnce()
	}
	c.lastTick = now
	for _, r := range c.regions {
		if r.pool == nil {
			continue
		}
		c.updateDispatch(now, r, c.holds(now, r))
		if r.pool != nil {
			c.deliver(r, r.pool.Tick(now))
			c.logLearned(r)
		}
	}
}
