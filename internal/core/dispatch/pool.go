package dispatch

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"time"

	"sassafrasreach/internal/core/registry"
)

// Pool holds the slots of a region's endpoints. It is not safe for concurrent
// use.
type Pool struct {
	setup    Setup
	services map[string]*service
	servers  map[string]*server
	grants   map[string]grant
	count    uint64
	prefix   string
	// firmSince is since when no other pool has the same endpoints; zero while
	// that isn't sure.
	firmSince time.Time
}

// service is the part of a pool that serves one service.
type service struct {
	name    string
	servers []*server
	queue   []waiting
	kinds   map[string]*kind
	retries retries
	// took is the moving average over all its answers, in seconds.
	took float64
}

type waiting struct {
	ask   Ask
	until time.Time
	// want is the endpoint that it waits for; nil if any will do.
	want *server
}

type grant struct {
	server  *server
	service *service
	kind    *kind
	warm    bool
	expires time.Time
}

// NewPool returns an empty pool whose grants' names begin with prefix.
func NewPool(prefix string, setup Setup) *Pool {
	return &Pool{
		setup: setup, prefix: prefix,
		services: make(map[string]*service), servers: make(map[string]*server), grants: make(map[string]grant),
	}
}

// Learn takes news of an endpoint. One that is gone keeps its grants until they
// end.
func (p *Pool) Learn(e registry.Endpoint) {
	old := p.servers[e.ID]
	if old != nil && old.endpoint.Service == e.Service && old.endpoint.Born == e.Born && !e.Gone {
		old.endpoint = e
		return
	}
	if old != nil {
		p.forget(e.ID)
	}
	if e.Gone {
		return
	}
	s := newServer(e)
	p.servers[e.ID] = s
	svc := p.service(e.Service)
	svc.servers = append(svc.servers, s)
}

// Forget removes an endpoint.
func (p *Pool) Forget(id string) { p.forget(id) }

func (p *Pool) forget(id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	delete(p.servers, id)
	svc := p.service(s.endpoint.Service)
	svc.servers = slices.DeleteFunc(svc.servers, func(o *server) bool { return o == s })
}

func (p *Pool) service(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{name: name, kinds: make(map[string]*kind)}
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

// adopt takes the gateway's word for where an object is warm, if none is known.
func (svc *service) adopt(now time.Time, a Ask) {
	object := a.object()
	if a.Hint == "" || object == "" {
		return
	}
	var hinted *server
	for _, s := range svc.servers {
		if s.keeps(object) {
			return
		}
		if s.endpoint.ID == a.Hint {
			hinted = s
		}
	}
	if hinted != nil {
		hinted.touch(now, object)
	}
}

// Acquire decides an ask at once, or returns false when it has to wait; Release
// and Tick decide it then.
func (p *Pool) Acquire(now time.Time, a Ask) (Decision, bool) {
	svc := p.service(a.Service)
	if !slices.ContainsFunc(svc.servers, func(s *server) bool { return s.usable(now) }) {
		return p.refuse(now, a, ReasonNoEndpoint), true
	}
	switch {
	case len(a.Exclude) > 0 && !svc.retries.take(now, p.setup.Retries):
		return p.refuse(now, a, ReasonRetryBudget), true
	case len(a.Exclude) == 0 && !a.Visiting:
		svc.retries.request(now, p.setup.Retries)
	}
	svc.adopt(now, a)
	best := svc.choose(now, a)
	if best != nil && best.free(now) {
		return p.grant(now, svc, best, a), true
	}
	until := now.Add(svc.maxWait(a))
	if !until.Before(a.Deadline) || !until.After(now) || p.hopeless(now, svc, a) {
		return p.lastResort(now, svc, a), true
	}
	svc.enqueue(waiting{ask: a, until: until, want: best})
	return Decision{}, false
}

// enqueue adds an ask behind those of its priority.
func (svc *service) enqueue(w waiting) {
	if w.want != nil {
		w.want.wanted++
	}
	svc.queue = append(svc.queue, w)
	slices.SortStableFunc(svc.queue, func(x, y waiting) int { return cmp.Compare(x.ask.Priority, y.ask.Priority) })
}

// lastResort grants any free slot, however little it suits, or refuses.
func (p *Pool) lastResort(now time.Time, svc *service, a Ask) Decision {
	spare := svc.spare(now)
	object := a.object()
	if s := svc.cheapest(now, a, func(s *server) bool {
		return s.free(now) && (spare || object == "" || s.keeps(object))
	}); s != nil {
		return p.grant(now, svc, s, a)
	}
	return p.refuse(now, a, ReasonOverload)
}

// spare says whether enough slots are free for runs that displace nothing.
func (svc *service) spare(now time.Time) bool {
	slots, free := 0, 0
	for _, s := range svc.servers {
		if s.usable(now) {
			slots += s.endpoint.Slots
			free += max(0, s.endpoint.Slots-s.inFlight)
		}
	}
	return float64(free) > spareShare*float64(slots)
}

// Suits says whether an ask would be served at once and without displacing the
// objects of others.
func (p *Pool) Suits(now time.Time, a Ask) bool {
	svc := p.service(a.Service)
	best := svc.choose(now, a)
	return best != nil && best.free(now) && (best.keeps(a.object()) || svc.spare(now))
}

// Keeps says whether a usable endpoint keeps the ask's object warm.
func (p *Pool) Keeps(now time.Time, a Ask) bool {
	object := a.object()
	return slices.ContainsFunc(p.service(a.Service).servers, func(s *server) bool {
		return s.usable(now) && s.keeps(object)
	})
}

// maxWait is how long an ask may wait: as long as the answer can still be in
// time if its object is warm, and a little if it can't.
func (svc *service) maxWait(a Ask) time.Duration {
	if a.Visiting {
		return time.Duration(visitShare * float64(a.Target))
	}
	run := time.Duration(svc.kind(a).expected(a.object() != "") * float64(time.Second))
	return max(a.Target-run, time.Duration(waitShare*float64(a.Target)))
}

// hopeless says whether the requests that go first will take all slots that
// come free in the time that the ask may wait.
func (p *Pool) hopeless(now time.Time, svc *service, a Ask) bool {
	ahead := 0
	for _, w := range svc.queue {
		if w.ask.Priority <= a.Priority {
			ahead++
		}
	}
	return svc.took > 0 && float64(ahead+1) > svc.rate(now)*svc.maxWait(a).Seconds()
}

// rate is the number of slots that come free in a second.
func (svc *service) rate(now time.Time) float64 {
	slots := 0
	for _, s := range svc.servers {
		if s.usable(now) {
			slots += s.endpoint.Slots
		}
	}
	return float64(slots) / svc.took
}

// choose returns the endpoint from which an answer is expected first, or nil. It
// may have no free slot: then the wait for one pays.
func (svc *service) choose(now time.Time, a Ask) *server {
	object := a.object()
	copies := 0
	for _, s := range svc.servers {
		if s.usable(now) && s.keeps(object) && !slices.Contains(a.Exclude, s.endpoint.ID) {
			copies++
		}
	}
	return svc.cheapest(now, a, func(s *server) bool {
		return s.usable(now) && (copies < mostCopies || s.keeps(object))
	})
}

// cheapest returns the endpoint that costs least among those that fit. Where an
// object is new, its place among endpoints of about the same cost goes by
// rendezvous hashing: a dispatcher that knows nothing finds it where an earlier
// one left it.
func (svc *service) cheapest(now time.Time, a Ask, fits func(*server) bool) *server {
	k, object := svc.kind(a), a.object()
	var best, keeper *server
	least, keeperLeast := math.Inf(1), math.Inf(1)
	costs := make([]float64, len(svc.servers))
	for i, s := range svc.servers {
		costs[i] = math.Inf(1)
		if !fits(s) || slices.Contains(a.Exclude, s.endpoint.ID) {
			continue
		}
		cost := s.cost(now, svc, k, object)
		if s.keeps(object) {
			if cost < keeperLeast {
				keeper, keeperLeast = s, cost
			}
			continue
		}
		costs[i] = cost
		least = min(least, cost)
	}
	if keeper != nil && keeperLeast <= least {
		return keeper
	}
	highest := uint64(0)
	for i, s := range svc.servers {
		if costs[i] > placeSlack*least || math.IsInf(costs[i], 1) {
			continue
		}
		if hash := rendezvous(s.endpoint.ID, object); best == nil || hash > highest {
			best, highest = s, hash
		}
	}
	return best
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

func rendezvous(id, key string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(key))
	return h.Sum64()
}

func (p *Pool) grant(now time.Time, svc *service, s *server, a Ask) Decision {
	p.count++
	id := p.prefix + strconv.FormatUint(p.count, 36)
	g := grant{server: s, service: svc, kind: svc.kind(a), warm: s.keeps(a.object()), expires: a.Deadline.Add(graceAfterDeadline)}
	s.inFlight++
	s.touch(now, a.object())
	if s.cold(now) {
		s.coldNext = now.Add(coldGap(p.setup.ColdRate(svc.name)))
	}
	p.grants[id] = g
	return Decision{Ask: a, Grant: id, Endpoint: s.endpoint}
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
	g.server.inFlight--
	g.server.ended(now, outcome, took.Seconds(), g.kind.expected(g.warm))
	if outcome == Served {
		g.kind.observe(g.warm, took.Seconds())
		if g.service.took == 0 {
			g.service.took = took.Seconds()
		}
		g.service.took += smoothing / 2 * (took.Seconds() - g.service.took)
	}
	return p.serve(now, g.service)
}

// serve grants free slots to the queue in order.
func (p *Pool) serve(now time.Time, svc *service) []Decision {
	var out []Decision
	queue := svc.queue
	svc.queue = queue[:0]
	for _, s := range svc.servers {
		s.wanted = 0
	}
	for _, w := range queue {
		w.want = svc.choose(now, w.ask)
		switch {
		case w.want == nil:
			svc.queue = append(svc.queue, w)
		case w.want.free(now):
			out = append(out, p.grant(now, svc, w.want, w.ask))
		default:
			w.want.wanted++
			svc.queue = append(svc.queue, w)
		}
	}
	clear(queue[len(svc.queue):])
	return out
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
		out = append(out, p.serve(now, svc)...)
		svc.queue = slices.DeleteFunc(svc.queue, func(w waiting) bool {
			if now.Before(w.until) {
				return false
			}
			out = append(out, p.lastResort(now, svc, w.ask))
			return true
		})
	}
	return out
}

// Cancel takes an ask out of its queue.
func (p *Pool) Cancel(serviceName, id string) {
	svc := p.service(serviceName)
	svc.queue = slices.DeleteFunc(svc.queue, func(w waiting) bool { return w.ask.ID == id })
}

// Free returns the free slots of a service less the requests that wait for one.
func (p *Pool) Free(now time.Time, serviceName string) int {
	svc := p.services[serviceName]
	if svc == nil {
		return 0
	}
	n := -len(svc.queue)
	for _, s := range svc.servers {
		if s.usable(now) && !s.cold(now) {
			n += max(0, s.endpoint.Slots-s.inFlight)
		}
	}
	return n
}

// Slots returns the slots of all usable endpoints.
func (p *Pool) Slots() int {
	n := 0
	for _, s := range p.servers {
		if !s.endpoint.Leaving && !s.endpoint.Gone && s.breaks < lostAfterBreaks {
			n += s.endpoint.Slots
		}
	}
	return n
}

// Services returns the names of the services that the pool knows.
func (p *Pool) Services() []string {
	names := make([]string, 0, len(p.services))
	for name := range p.services {
		names = append(names, name)
	}
	return names
}
