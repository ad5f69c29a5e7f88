package admission

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// localWaitDivisor and spilledWaitDivisor divide the time left before a
	// request's deadline to get the longest time that it may wait. In a
	// longer queue every request would be late, and its run would be canceled
	// halfway.
	localWaitDivisor   = 16
	spilledWaitDivisor = 64
	// serviceTimeQuantile is the part of the requests that end within the
	// time that is left for the run after the wait in the queue.
	serviceTimeQuantile = 0.9
)

// Ticket is a request for a slot.
type Ticket struct {
	// ID identifies the request in the group.
	ID uint64
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// Local is true if the request originates in the group's place. Other
	// requests are spilled in: they come after local ones and leave the reserve
	// free.
	Local bool
	// Exclude lists endpoints that must not get the request, because an
	// earlier attempt went there.
	Exclude []string
}

// DecisionKind is the result of an offer.
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
	// Kind is the result.
	Kind DecisionKind
	// Endpoint is set when Kind is Granted.
	Endpoint port.Endpoint
	// Reason is set when Kind is Refused.
	Reason verdict.Reason
}

// Grant assigns a queued request to an endpoint.
type Grant struct {
	// Ticket is the ID of the request.
	Ticket uint64
	// Endpoint is the endpoint that gets the request.
	Endpoint port.Endpoint
}

// Stats describes a group at one time.
type Stats struct {
	// Endpoints counts the usable endpoints.
	Endpoints int
	// Slots counts the requests that they may run at once.
	Slots int
	// Busy counts the slots in use.
	Busy int
	// Queued counts the queued requests.
	Queued int
	// Latency is the median latency of recent requests; 0 without any.
	Latency time.Duration
	// AnnouncementsStale is true while more than half of the endpoints are late
	// with their announcements, so that the last list of endpoints is kept.
	AnnouncementsStale bool
}

// inFlightRequest is a granted request that has not ended.
type inFlightRequest struct {
	endpoint *endpoint
}

// Group holds the endpoints of one service in one place and the requests that
// run and wait there. It is not safe for concurrent use.
type Group struct {
	cfg                Config
	byID               map[string]*endpoint // includes those that are gone
	endpoints          []*endpoint          // in use, ordered by ID
	running            map[uint64]inFlightRequest
	local              queue
	spilled            queue
	expired            []uint64 // IDs not yet returned by Tick
	latency            *LatencyWindow
	grantCount         uint64
	firstAnnounced     time.Time // time of the first announcement
	lastTick           time.Time
	lastTombstoneCheck time.Time
	announcementsStale bool
	scratch            []float64
}

// NewGroup returns a group without endpoints.
func NewGroup(cfg Config) *Group {
	return &Group{
		cfg:     cfg.withDefaults(),
		byID:    make(map[string]*endpoint),
		running: make(map[uint64]inFlightRequest),
		latency: NewLatencyWindow(),
	}
}

// Configure replaces the parameters, as when a new document takes effect.
func (g *Group) Configure(cfg Config) { g.cfg = cfg.withDefaults() }

// Offer requests a slot. A granted request must be ended with Done. A queued
// one ends by a Grant from Done or Tick, by Cancel, or by its ID among those
// that Tick returns as expired.
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
	if !g.canMeetDeadline(now, t) {
		return Decision{Reason: verdict.ReasonOverload}
	}
	g.queueFor(t).push(t)
	return Decision{Kind: Queued}
}

// Cancel removes a request from the queue. True means that it was still
// queued and will never be granted.
func (g *Group) Cancel(_ time.Time, id uint64) bool {
	if at := slices.Index(g.expired, id); at >= 0 {
		g.expired = slices.Delete(g.expired, at, at+1)
		return true
	}
	return g.local.cancel(id) || g.spilled.cancel(id)
}

// Done ends a granted request, records its result, and returns the grants of
// queued requests that get a slot then. An unknown ID changes nothing.
func (g *Group) Done(now time.Time, id uint64, r Result) []Grant {
	f, ok := g.running[id]
	if !ok {
		return nil
	}
	delete(g.running, id)
	f.endpoint.inFlight--
	g.recordResult(now, f.endpoint, r)
	return g.grantQueued(now)
}

// Tick applies the passing of time: it takes unresponsive endpoints out of
// use, advances the slow start of cold ones, drops queued requests that can't
// end in time and grants others. Call it about every 20 ms. The expired
// requests will never be granted.
func (g *Group) Tick(now time.Time) (grants []Grant, expired []uint64) {
	g.expireUnresponsive(now)
	if !g.lastTick.IsZero() {
		g.advanceSlowStart(now.Sub(g.lastTick))
	}
	g.lastTick = now
	if now.Sub(g.lastTombstoneCheck) >= tombstoneCheckInterval {
		g.removeTombstones(now)
		g.lastTombstoneCheck = now
	}
	grants = g.grantQueued(now)
	expired, g.expired = g.expired, nil
	return grants, expired
}

// Stats returns the group's present figures.
func (g *Group) Stats(_ time.Time) Stats {
	s := Stats{
		Queued:             g.local.len() + g.spilled.len(),
		Latency:            g.latency.Quantile(0.5),
		AnnouncementsStale: g.announcementsStale,
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
	if t.Local {
		return &g.local
	}
	return &g.spilled
}

// has reports whether a request with this ID runs or waits.
func (g *Group) has(id uint64) bool {
	if _, ok := g.running[id]; ok {
		return true
	}
	same := func(t Ticket) bool { return t.ID == id }
	return slices.ContainsFunc(g.local.tickets, same) ||
		slices.ContainsFunc(g.spilled.tickets, same)
}

// mayStart reports whether the request may start when a slot is free,
// according to precedence and reserve.
func (g *Group) mayStart(t Ticket) bool {
	if t.Local {
		return true
	}
	if g.local.len() > 0 {
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

// canMeetDeadline estimates whether a request that is queued now ends before
// its deadline. It is false as well if the queue is full or the expected wait
// is above the limit for local or spilled-in requests.
func (g *Group) canMeetDeadline(now time.Time, t Ticket) bool {
	waiting := g.local.len() + g.spilled.len()
	if waiting >= g.cfg.MaxQueue {
		return false
	}
	ahead := g.local.len()
	slots, _ := g.capacity()
	if !t.Local {
		ahead = waiting
		slots = slots * (100 - g.cfg.ReservePercent) / 100
	}
	if slots <= 0 {
		return false
	}
	median := g.latency.Quantile(0.5)
	wait := median * time.Duration(ahead+1) / time.Duration(slots)
	left := t.Deadline.Sub(now)
	maxWait := min(left/localWaitDivisor, median)
	if !t.Local {
		maxWait = left / spilledWaitDivisor
	}
	return wait <= maxWait && wait+g.serviceTime() < left
}

// serviceTime is the time within which nearly all requests end at an
// endpoint.
func (g *Group) serviceTime() time.Duration { return g.latency.Quantile(serviceTimeQuantile) }

// start records that a request runs at an endpoint.
func (g *Group) start(id uint64, e *endpoint) port.Endpoint {
	g.grantCount++
	e.lastGrant = g.grantCount
	e.inFlight++
	g.running[id] = inFlightRequest{endpoint: e}
	return e.port()
}

// grantQueued expires queued requests that can't end in time, and grants
// others while there are free slots.
func (g *Group) grantQueued(now time.Time) []Grant {
	if g.local.len()+g.spilled.len() == 0 {
		return nil
	}
	serviceTime := g.serviceTime()
	g.expired = g.local.expire(now, serviceTime, g.expired)
	g.expired = g.spilled.expire(now, serviceTime, g.expired)
	grants := g.grantFromQueue(now, &g.local, nil)
	return g.grantFromQueue(now, &g.spilled, grants)
}

func (g *Group) grantFromQueue(now time.Time, q *queue, grants []Grant) []Grant {
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
