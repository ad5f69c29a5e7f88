package dispatch

import (
	"slices"
	"strconv"
	"time"

	"sassafrasreach/internal/core/registry"
)

// Pool grants the slots of a region's endpoints, and of those that other regions
// lend it. It is not safe for concurrent use.
type Pool struct {
	setup    Setup
	services map[string]*service
	servers  map[string]*server
	grants   map[string]grant
	count    uint64
	prefix   string
	shift    *ShiftMeter
	// unsettledUntil is until when objects may change regions freely.
	unsettledUntil time.Time
	brokeOff       time.Time
	// firmSince is since when no other pool has the same endpoints; zero while
	// that isn't sure.
	firmSince time.Time
}

// service is the part of a pool that serves one service.
type service struct {
	servers []*server
	// ranked are the servers by what a new object costs at them, as of the last
	// tick; slots and free are the sums of usable slots then.
	ranked      []*server
	slots, free int
	// meanKept is the mean number of objects kept by an endpoint as of the last tick.
	meanKept float64
	// turn is where the next look at waiting asks begins.
	turn int
	// keepers are the endpoints that remember an object.
	keepers map[string][]*server
	queue   []waiting
	// undecided counts the asks that wait for no endpoint in particular.
	undecided int
	kinds     map[string]*kind
	retries   retries
	kept      *keptMeter
	load      loadMeter
	// took is the moving average over all its answers, in seconds.
	took float64
	// served is when it was served first; zero before.
	served time.Time
	// least is the least urgent priority that was seen.
	least int
	// recalled is when an endpoint was last called back.
	recalled time.Time
}

type grant struct {
	server  *server
	service *service
	kind    *kind
	// depth is the number of other objects that the endpoint has served since it
	// last served this one; -1 if it isn't known to have.
	depth   int
	expires time.Time
}

// NewPool returns an empty pool whose grants' names begin with prefix.
func NewPool(prefix string, setup Setup) *Pool {
	return &Pool{
		setup: setup, prefix: prefix, shift: NewShiftMeter(setup.MaxShift),
		services: make(map[string]*service), servers: make(map[string]*server), grants: make(map[string]grant),
	}
}

// Learn takes news of an endpoint, of the own region or another. One that is gone
// keeps its grants until they end.
func (p *Pool) Learn(now time.Time, e registry.Endpoint) {
	old := p.servers[e.ID]
	if old != nil && old.endpoint.Service == e.Service && old.endpoint.Born == e.Born && !e.Gone {
		if e.Leaving && !old.endpoint.Leaving {
			p.lost(now, old)
		}
		old.endpoint = e
		return
	}
	p.Forget(now, e.ID)
	if e.Gone {
		return
	}
	s := newServer(e)
	s.region = p.setup.RegionOf(e.Zone)
	if s.own = s.region == p.setup.Region; !s.own {
		s.way = p.setup.Way(s.region)
	}
	p.servers[e.ID] = s
	svc := p.service(e.Service)
	svc.servers = append(svc.servers, s)
	svc.ranked = append(svc.ranked, s)
}

// Forget removes an endpoint.
func (p *Pool) Forget(now time.Time, id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.lost(now, s)
	s.endpoint.Gone = true // asks may still wait for it
	delete(p.servers, id)
	svc := p.service(s.endpoint.Service)
	gone := func(o *server) bool { return o == s }
	svc.servers, svc.ranked = slices.DeleteFunc(svc.servers, gone), slices.DeleteFunc(svc.ranked, gone)
	for object := range s.memory.used {
		svc.forget(object, s)
	}
}

// lost notes that an endpoint takes no more requests.
func (p *Pool) lost(now time.Time, s *server) {
	if s.held(now) && !s.endpoint.Leaving {
		p.Unsettle(now)
	}
}

// Unsettle lets objects change regions freely for a while, because endpoints,
// controllers or connections were lost.
func (p *Pool) Unsettle(now time.Time) { p.unsettledUntil = now.Add(unsettledFor) }

func (p *Pool) service(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{
			kinds: make(map[string]*kind), keepers: make(map[string][]*server), kept: newKeptMeter(),
		}
		p.services[name] = svc
	}
	return svc
}

// SetFirm says whether no other pool can have the same endpoints. While that
// isn't sure, and for as long after as a former pool's grants may still be on
// their way, cold endpoints get nothing: their rate counts over all pools.
func (p *Pool) SetFirm(now time.Time, firm bool) {
	switch {
	case !firm:
		p.firmSince = time.Time{}
	case p.firmSince.IsZero():
		p.firmSince = now
	}
	holdBack := now.Add(coldHoldBack)
	if firm {
		holdBack = p.firmSince.Add(coldHoldBack)
	}
	for _, s := range p.servers {
		if s.coldNext.Before(holdBack) {
			s.coldNext = holdBack
		}
	}
}

// Acquire decides an ask at once, or returns false when it has to wait; Release
// and Tick decide it then.
func (p *Pool) Acquire(now time.Time, a Ask) (Decision, bool) {
	svc := p.service(a.Service)
	if !a.Again {
		svc.load.add(now, svc.kind(a).expected(a.object() != ""))
		svc.retries.request(now, p.setup.Retries)
		svc.least = max(svc.least, a.Priority)
	}
	if !slices.ContainsFunc(svc.servers, func(s *server) bool { return s.usable(now) }) {
		return p.refuse(now, a, ReasonNoEndpoint), true
	}
	if a.Again && !svc.retries.take(now, p.setup.Retries) {
		return p.refuse(now, a, ReasonRetryBudget), true
	}
	svc.adopt(a)
	best := p.choose(now, svc, a)
	if best != nil && best.free(now) {
		return p.grant(now, svc, best, a), true
	}
	until := now.Add(svc.maxWait(a))
	if !until.Before(a.Deadline) || !until.After(now) || svc.hopeless(a) {
		return p.lastResort(now, svc, a), true
	}
	svc.enqueue(waiting{ask: a, until: until, want: best})
	return Decision{}, false
}

// kind returns what is known of the ask's kind; at first its time is taken to
// be the target.
func (svc *service) kind(a Ask) *kind {
	k := svc.kinds[a.Kind]
	if k == nil {
		k = &kind{cold: a.Target.Seconds()}
		svc.kinds[a.Kind] = k
	}
	return k
}

// object names what an endpoint keeps warm; empty if nothing.
func (a Ask) object() string {
	if a.Affinity == "" {
		return ""
	}
	return a.Kind + "/" + a.Affinity
}

func (p *Pool) grant(now time.Time, svc *service, s *server, a Ask) Decision {
	p.count++
	id := p.prefix + strconv.FormatUint(p.count, 36)
	object := a.object()
	g := grant{server: s, service: svc, kind: svc.kind(a), depth: -1, expires: a.Deadline.Add(graceAfterDeadline)}
	if depth, known := s.memory.depth(object); known {
		g.depth = depth
	}
	s.inFlight++
	s.granted++
	svc.touch(object, s)
	if s.cold(now) {
		s.coldNext = now.Add(coldGap(p.setup.ColdRate(a.Service)))
	}
	p.shift.Count(now, s.region, now.Before(p.unsettledUntil))
	p.grants[id] = g
	return Decision{Ask: a, Grant: id, Endpoint: s.endpoint, Region: s.region}
}

// coldGap is the time between two requests at a cold endpoint.
func coldGap(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / perSecond)
}

func (p *Pool) refuse(now time.Time, a Ask, why Reason) Decision {
	left := a.Deadline.Sub(now)
	most := left / retryThird
	after := time.Duration((0.7 + 0.3*p.setup.Draw()) * float64(most))
	return Decision{Ask: a, Reason: why, RetryAfter: max(after, retryFloor)}
}

// Release gives a slot back and returns the waiting asks that it decides.
func (p *Pool) Release(now time.Time, id string, outcome Outcome, took time.Duration) []Decision {
	g, ok := p.grants[id]
	if !ok {
		return nil
	}
	delete(p.grants, id)
	s, svc := g.server, g.service
	s.inFlight--
	warm := g.depth >= 0 && g.depth < svc.kept.limit
	run := max(0, (took - s.way).Seconds())
	s.ended(now, outcome, run, g.kind.expected(warm))
	if outcome == Served {
		svc.ran(now, g, run, took.Seconds())
	}
	if outcome == Broken || outcome == Unreachable {
		if now.Sub(p.brokeOff) < breaksApart {
			p.Unsettle(now)
		}
		p.brokeOff = now
	}
	return p.serveAt(now, svc, s)
}

// ran takes the time of a run, and of its whole use of a slot.
func (svc *service) ran(now time.Time, g grant, run, took float64) {
	if g.depth >= 0 {
		if warm, known := g.kind.ranWarm(run); known {
			svc.kept.observe(g.depth, warm)
		}
	}
	g.kind.observe(g.depth >= 0 && g.depth < svc.kept.limit, run)
	if svc.took == 0 {
		svc.took, svc.served = took, now
	}
	svc.took += smoothing / 2 * (took - svc.took)
}

// Tick ends the waits and the grants whose time is over and returns the asks
// that are decided by it.
func (p *Pool) Tick(now time.Time) []Decision {
	for id, g := range p.grants {
		if now.After(g.expires) {
			delete(p.grants, id)
			g.server.inFlight--
		}
	}
	var out []Decision
	for _, svc := range p.services {
		svc.rank(now)
		out = append(out, p.serve(now, svc)...)
	}
	return out
}
