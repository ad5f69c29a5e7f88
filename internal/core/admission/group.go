package admission

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// ownWaitPart and spilledWaitPart are the parts (one over them) of the time
	// left that a request may wait. A longer queue would only make every
	// request in it late: its work would be cancelled half done.
	ownWaitPart     = 16
	spilledWaitPart = 64
	// neededQuantile is the part of requests that end within the time that the
	// queue leaves for an endpoint.
	neededQuantile = 0.9
)

// Ticket is a request that asks for a slot.
type Ticket struct {
	// ID identifies the request in the group.
	ID uint64
	// Deadline is the moment after which the answer is of no use.
	Deadline time.Time
	// Own says that the request originates in the group's place. Other work is
	// spilled in: it comes after own traffic and leaves the reserve free.
	Own bool
	// Exclude names endpoints that must not get the request, because an
	// earlier attempt went there.
	Exclude []string
}

// DecisionKind says what becomes of an offered request.
type DecisionKind uint8

const (
	// Refused means that the request can't be served in time. It was not run.
	Refused DecisionKind = iota
	// Granted means that the request goes to Decision.Endpoint now.
	Granted
	// Queued means that the request waits for a slot.
	Queued
)

// Decision answers an offer.
type Decision struct {
	// Kind says what becomes of the request.
	Kind DecisionKind
	// Endpoint is set when Kind is Granted.
	Endpoint port.Endpoint
	// Reason is set when Kind is Refused.
	Reason verdict.Reason
}

// Grant gives a queued request to an endpoint.
type Grant struct {
	// Ticket is the ID of the request.
	Ticket uint64
	// Endpoint is where it goes.
	Endpoint port.Endpoint
}

// Stats describe a group at one moment.
type Stats struct {
	// Endpoints counts the endpoints that take work.
	Endpoints int
	// Slots counts the requests that they may run at once.
	Slots int
	// Busy counts the slots in use.
	Busy int
	// Queued counts the requests that wait.
	Queued int
	// Latency is the median time of recent requests; 0 without any.
	Latency time.Duration
	// Blind says that over half of the endpoints are late with their reports,
	// so that the last list is kept.
	Blind bool
}

// flight is a granted request that has not ended.
type flight struct {
	endpoint *endpoint
}

// Group holds the endpoints of one service in one place, as their owner sees
// them. It is not safe for concurrent use.
type Group struct {
	cfg        Config
	byID       map[string]*endpoint // includes those that are gone
	endpoints  []*endpoint          // in use, ordered by ID
	flights    map[uint64]flight
	own        queue
	spilled    queue
	expired    []uint64 // not yet returned by Tick
	latency    *LatencyWindow
	uses       uint64    // counts grants
	since      time.Time // of the first announcement
	lastTick   time.Time
	lastForget time.Time
	blind      bool
	scratch    []float64
}

// NewGroup returns a group without endpoints.
func NewGroup(cfg Config) *Group {
	return &Group{
		cfg:     cfg.withDefaults(),
		byID:    make(map[string]*endpoint),
		flights: make(map[uint64]flight),
		latency: NewLatencyWindow(),
	}
}

// Configure replaces the parameters, as when a new document is in force.
func (g *Group) Configure(cfg Config) { g.cfg = cfg.withDefaults() }

// Offer asks for a slot. A granted request must be ended with Done. A queued
// one ends by a Grant, by Cancel, or by its ID among those that Tick expires.
func (g *Group) Offer(now time.Time, t Ticket) Decision {
	if g.has(t.ID) {
		return Decision{Reason: verdict.ReasonInternal}
	}
	if !now.Before(t.Deadline) {
		return Decision{Reason: verdict.ReasonDeadline}
	}
	if g.queueFor(t).len() == 0 && g.mayStart(t) {
		if e := g.choose(now, t.Exclude); e != nil {
			return Decision{Kind: Granted, Endpoint: g.start(t.ID, e)}
		}
	}
	if !g.anyUsable(t.Exclude) {
		return Decision{Reason: verdict.ReasonNoEndpoint}
	}
	if !g.meets(now, t) {
		return Decision{Reason: verdict.ReasonOverload}
	}
	g.queueFor(t).push(t)
	return Decision{Kind: Queued}
}

// Cancel takes a request out of the queue. True means that it was still queued
// and will never be granted.
func (g *Group) Cancel(_ time.Time, id uint64) bool {
	if at := slices.Index(g.expired, id); at >= 0 {
		g.expired = slices.Delete(g.expired, at, at+1)
		return true
	}
	return g.own.cancel(id) || g.spilled.cancel(id)
}

// Done ends a granted request, learns from how it ended, and returns the queued
// requests that are granted now. An unknown ID changes nothing.
func (g *Group) Done(now time.Time, id uint64, r Result) []Grant {
	f, ok := g.flights[id]
	if !ok {
		return nil
	}
	delete(g.flights, id)
	f.endpoint.inFlight--
	g.learn(now, f.endpoint, r)
	return g.pump(now)
}

// Tick lets time pass: it ends what went silent, warms what is cold, drops
// queued requests that can't end in time and grants others. Call it about
// every 20 ms. The expired requests will never be granted.
func (g *Group) Tick(now time.Time) (grants []Grant, expired []uint64) {
	g.expireSilent(now)
	if !g.lastTick.IsZero() {
		g.warmUp(now.Sub(g.lastTick))
	}
	g.lastTick = now
	if now.Sub(g.lastForget) >= forgetEvery {
		g.forget(now)
		g.lastForget = now
	}
	grants = g.pump(now)
	expired, g.expired = g.expired, nil
	return grants, expired
}

// Stats describes the group.
func (g *Group) Stats(_ time.Time) Stats {
	s := Stats{
		Queued:  g.own.len() + g.spilled.len(),
		Latency: g.latency.Quantile(0.5),
		Blind:   g.blind,
	}
	for _, e := range g.endpoints {
		s.Busy += e.inFlight
		if e.usable() {
			s.Endpoints++
			s.Slots += e.slots()
		}
	}
	return s
}

func (g *Group) queueFor(t Ticket) *queue {
	if t.Own {
		return &g.own
	}
	return &g.spilled
}

// has says whether a request of this ID runs or waits.
func (g *Group) has(id uint64) bool {
	if _, ok := g.flights[id]; ok {
		return true
	}
	same := func(t Ticket) bool { return t.ID == id }
	return slices.ContainsFunc(g.own.tickets, same) ||
		slices.ContainsFunc(g.spilled.tickets, same)
}

// mayStart says whether the order of precedence lets the request start when a
// slot is free.
func (g *Group) mayStart(t Ticket) bool {
	if t.Own {
		return true
	}
	if g.own.len() > 0 {
		return false
	}
	slots, busy := g.capacity()
	return busy < slots*(100-g.cfg.ReservePercent)/100
}

// capacity returns the slots of usable endpoints and those in use.
func (g *Group) capacity() (slots, busy int) {
	for _, e := range g.endpoints {
		if e.usable() {
			slots += e.slots()
			busy += e.inFlight
		}
	}
	return slots, busy
}

// meets estimates whether a request that is queued now ends before its
// deadline.
func (g *Group) meets(now time.Time, t Ticket) bool {
	waiting := g.own.len() + g.spilled.len()
	if waiting >= g.cfg.MaxQueue {
		return false
	}
	ahead := g.own.len()
	slots, _ := g.capacity()
	if !t.Own {
		ahead = waiting
		slots = slots * (100 - g.cfg.ReservePercent) / 100
	}
	if slots <= 0 {
		return false
	}
	median := g.latency.Quantile(0.5)
	wait := median * time.Duration(ahead+1) / time.Duration(slots)
	left := t.Deadline.Sub(now)
	longest := min(left/ownWaitPart, median)
	if !t.Own {
		longest = left / spilledWaitPart
	}
	return wait <= longest && wait+g.needed() < left
}

// needed is the time that nearly all requests need on an endpoint.
func (g *Group) needed() time.Duration { return g.latency.Quantile(neededQuantile) }

// start gives a request to an endpoint.
func (g *Group) start(id uint64, e *endpoint) port.Endpoint {
	g.uses++
	e.lastUsed = g.uses
	e.inFlight++
	g.flights[id] = flight{endpoint: e}
	return e.port()
}

// pump grants queued requests while there are free slots.
func (g *Group) pump(now time.Time) []Grant {
	if g.own.len()+g.spilled.len() == 0 {
		return nil
	}
	needed := g.needed()
	g.expired = g.own.expire(now, needed, g.expired)
	g.expired = g.spilled.expire(now, needed, g.expired)
	grants := g.pumpQueue(now, &g.own, nil)
	return g.pumpQueue(now, &g.spilled, grants)
}

func (g *Group) pumpQueue(now time.Time, q *queue, grants []Grant) []Grant {
	kept := q.tickets[:0]
	for i, t := range q.tickets {
		var e *endpoint
		if g.mayStart(t) {
			e = g.choose(now, t.Exclude)
		}
		if e == nil && len(t.Exclude) == 0 {
			kept = append(kept, q.tickets[i:]...)
			break
		}
		if e == nil {
			kept = append(kept, t)
			continue
		}
		grants = append(grants, Grant{Ticket: t.ID, Endpoint: g.start(t.ID, e)})
	}
	clear(q.tickets[len(kept):])
	q.tickets = kept
	return grants
}
