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
	// spilled holds the region that last took an object for which this one had no
	// room, so that the object stays warm there.
	spilled map[string]string
	shift   *dispatch.ShiftMeter
	// slots are the region's as last seen; until unsettledUntil its requests may
	// change regions freely, since it has lost some.
	slots          int
	brokeOff       time.Time
	unsettledUntil time.Time
}

// mostSpilled bounds the objects whose other region is remembered.
const mostSpilled = 8192

type roomKey struct{ region, service string }

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
	holds, _ := r.candidate.Holds(now, c.voterAddresses())
	return holds
}

// settle starts, goes on with or ends the dispatch of a region. Without the votes
// of a majority this controller dispatches as well, as long as it is the first
// that it can reach and knows of no holder: gateways then agree on one of those
// that do. Must hold mu.
func (c *Controller) settle(now time.Time, r *region, firm bool) {
	held := r.holder != c.config.Address && now.Before(r.until)
	dispatches := firm || !held && c.wants(now, r)
	if dispatches && r.pool == nil {
		r.pool = dispatch.NewPool(fmt.Sprintf("%s/%d/", r.name, now.UnixNano()), c.newDispatchSetup())
		r.waiting = make(map[string]chan dispatch.Decision)
		c.fill(r)
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
	if r.pool == nil {
		return
	}
	r.pool.SetFirm(now, firm)
	slots := r.pool.Slots()
	if slots < r.slots {
		r.unsettledUntil = now.Add(unsettledFor)
	}
	r.slots = slots
}

const (
	// unsettledFor is how long after a loss of endpoints, controllers or connections
	// requests may change regions freely: the time in which the load of what was
	// lost finds its place.
	unsettledFor = 4 * time.Second
	// breaksApart is the time within which two broken connections are taken for a
	// fault; a single one may be an endpoint's own idle timeout.
	breaksApart = time.Second
)

// brokeOff notes that an endpoint broke a connection. Must hold mu.
func (c *Controller) brokeOff(now time.Time, r *region) {
	if now.Sub(r.brokeOff) < breaksApart {
		r.unsettledUntil = now.Add(unsettledFor)
	}
	r.brokeOff = now
}

// unsettle lets requests of all regions change regions freely for a while. Must
// hold mu.
func (c *Controller) unsettle(now time.Time) {
	for _, r := range c.regions {
		r.unsettledUntil = now.Add(unsettledFor)
	}
}

// fill gives a new pool the region's endpoints. Must hold mu.
func (c *Controller) fill(r *region) {
	all, _ := c.endpoints.Since(0)
	for _, e := range all {
		if c.belongs(r, e) {
			r.pool.Learn(e)
		}
	}
}

// belongs says whether an endpoint may get requests from the dispatcher of a
// region. Must hold mu.
func (c *Controller) belongs(r *region, e registry.Endpoint) bool {
	return c.config.Zones[e.Zone] == r.name && !slices.Contains(c.state.Evacuated, e.Zone)
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
	for _, r := range c.regions {
		switch {
		case r.pool == nil:
		case c.belongs(r, e):
			r.pool.Learn(e)
		default:
			r.pool.Forget(e.ID)
		}
	}
}

// wants says whether this controller should dispatch a region: the first live
// one of the region's own, or of all if it has none. A holder in the region
// stays. Must hold mu.
func (c *Controller) wants(now time.Time, r *region) bool {
	if c.stopping {
		return false
	}
	if r.pool != nil && c.config.Region == r.name {
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

// ownRooms returns the free slots in the regions that this controller
// dispatches. Must hold mu.
func (c *Controller) ownRooms(now time.Time) []port.Room {
	var out []port.Room
	for name, r := range c.regions {
		if r.pool == nil {
			continue
		}
		for _, service := range r.pool.Services() {
			free := r.pool.Free(now, service)
			out = append(out, port.Room{Region: name, Service: service, Free: free})
			c.rooms[roomKey{name, service}] = free
		}
	}
	return out
}

// Acquire implements port.ControllerLink.
func (c *Controller) Acquire(ctx context.Context, a port.AskSlot) (port.SlotAnswer, error) {
	decision, wait, err := c.acquire(a)
	if err != nil || wait == nil {
		return decision, err
	}
	select {
	case d, ok := <-wait:
		if !ok {
			return port.SlotAnswer{}, fmt.Errorf("%w: it ended", port.ErrNotDispatcher)
		}
		return port.SlotAnswer{Decision: d}, nil
	case <-ctx.Done():
		c.cancel(a, wait)
		return port.SlotAnswer{}, ctx.Err()
	}
}

// acquire decides at once, or returns the channel on which the decision comes.
func (c *Controller) acquire(a port.AskSlot) (port.SlotAnswer, chan dispatch.Decision, error) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.regions[a.Region]
	if r == nil || r.pool == nil {
		return port.SlotAnswer{}, nil, fmt.Errorf("%w: %q", port.ErrNotDispatcher, a.Region)
	}
	other := c.roomElsewhere(now, r, a)
	c.countShift(now, r, other, a)
	if other != "" {
		return port.SlotAnswer{Region: other}, nil, nil
	}
	d, decided := r.pool.Acquire(now, a.Ask)
	if decided {
		return port.SlotAnswer{Decision: d}, nil, nil
	}
	wait := make(chan dispatch.Decision, 1)
	r.waiting[a.ID] = wait
	return port.SlotAnswer{}, wait, nil
}

// roomElsewhere names another region for an ask that is better served there;
// empty if there is none. What runs elsewhere changes only so fast, unless this
// region has just lost endpoints. Must hold mu.
func (c *Controller) roomElsewhere(now time.Time, r *region, a port.AskSlot) string {
	if a.Visiting || a.Stay {
		return ""
	}
	object := a.Service + "/" + a.Kind + "/" + a.Affinity
	last := r.spilled[object]
	here := r.pool.Free(now, a.Service) > 0 && (last == "" || a.Affinity == "" || r.pool.Keeps(now, a.Ask))
	if here && c.mayRun(now, r, r.name) {
		return ""
	}
	if last != "" && c.takes(r, last, a) && c.mayRun(now, r, last) {
		return c.spill(r, object, last, a)
	}
	best, most := "", 0
	for _, name := range sortedKeys(c.regions) {
		if free := c.rooms[roomKey{name, a.Service}]; free > most && c.takes(r, name, a) && c.mayRun(now, r, name) {
			best, most = name, free
		}
	}
	if best == "" {
		return ""
	}
	return c.spill(r, object, best, a)
}

// takes says whether another region can run an ask. Must hold mu.
func (c *Controller) takes(r *region, name string, a port.AskSlot) bool {
	return name != r.name && c.rooms[roomKey{name, a.Service}] > 0 &&
		(len(a.Homes) == 0 || slices.Contains(a.Homes, name))
}

// mayRun says whether one more request of a region may run in another, or at
// home. Must hold mu.
func (c *Controller) mayRun(now time.Time, r *region, name string) bool {
	return now.Before(r.unsettledUntil) || r.shift.Allows(now, name)
}

// countShift notes where a request of the region is to run; one that comes back
// from another region was counted before. Must hold mu.
func (c *Controller) countShift(now time.Time, r *region, other string, a port.AskSlot) {
	if a.Visiting || a.Stay {
		return
	}
	if other == "" {
		other = r.name
	}
	r.shift.Count(now, other, now.Before(r.unsettledUntil))
}

// spill notes that an object goes to another region. Must hold mu.
func (c *Controller) spill(r *region, object, to string, a port.AskSlot) string {
	c.rooms[roomKey{to, a.Service}]--
	if len(r.spilled) >= mostSpilled {
		clear(r.spilled)
	}
	r.spilled[object] = to
	return to
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
			if s.Outcome == dispatch.Broken {
				c.brokeOff(now, r)
			}
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
