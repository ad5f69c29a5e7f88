package dispatch

import (
	"slices"
	"strconv"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
)

// Pool grants the slots of a region's endpoints and of the endpoints that
// other regions lend it. It is not safe for concurrent use.
type Pool struct {
	config     Config
	services   map[string]*service
	servers    map[string]*server
	grants     map[string]grant
	grantCount uint64
	prefix     string
	shift      *ShiftMeter
	// shiftSuspendedUntil is the time until which objects may move between
	// regions without limit, since the loss at lostAt.
	shiftSuspendedUntil time.Time
	lostAt              time.Time
	// startedAt is the time of the first call of SetExclusive. ran is true once a
	// slot was granted.
	startedAt time.Time
	ran       bool
	// lastBreak is the time of the last broken or failed connection.
	lastBreak time.Time
	// exclusiveSince is the time since which no other pool can grant the same
	// endpoints; zero while that is not certain.
	exclusiveSince time.Time
	// heard is when a load of each region was last received.
	heard map[string]time.Time
	// resumedAt is when the pool took over loans; zero if it didn't.
	resumedAt time.Time
	// drainsRefilled is when the slots that may be drained were last added up.
	drainsRefilled time.Time
	trustChanges   []TrustChange
	limitChanges   []LimitChange
}

// service is the state of one service in a pool.
type service struct {
	servers []*server
	// ranked holds the servers ordered by the cost of a new object, as of the
	// last tick. slots and free are the sums over usable servers at that
	// time.
	ranked      []*server
	slots, free int
	// meanKept is the mean number of objects kept warm by a usable endpoint,
	// as of the last tick.
	meanKept float64
	// nextReconsidered is the queue position, modulo the queue's length,
	// where the next tick continues to reconsider slot requests.
	nextReconsidered int
	// servedBy lists, by object, the endpoints whose memory holds it.
	servedBy map[string][]*server
	queue    []queuedRequest
	fair     fairness
	// queuedForAny counts the queued slot requests without a preferred endpoint, and
	// queuedUnbound those without an object.
	queuedForAny, queuedUnbound int
	kinds                       map[string]*kind
	retries                     retries
	kept                        *keptMeter
	load                        loadMeter
	reservation                 reservation
	speeds                      meanSpeeds
	curve                       curveMeans
	// slotTime is the moving average, in seconds, of the time for which a
	// served request uses its slot, from its grant to its release.
	slotTime float64
	// runTime is the moving average, in seconds, of the run times, without the round
	// trip to another region.
	runTime float64
	// messageTime is the moving average, in seconds, of the time that a grant takes to the
	// gateway and a release to the pool together.
	messageTime float64
	// firstServed is the time of the first served request; zero before.
	firstServed time.Time
	// leastUrgent is the highest Priority, that of the least urgent slot request,
	// received so far.
	leastUrgent int
	// lastRecall is the time of the last recall of lent endpoints.
	lastRecall time.Time
	// drainable is the number of running requests whose endpoints may be drained now.
	drainable float64
}

// grant is a slot in use.
type grant struct {
	server  *server
	service *service
	kind    *kind
	// depth is the number of other objects that the endpoint has served since
	// it last served this one; -1 if its memory doesn't hold the object.
	depth   int
	expires time.Time
	// fingerprint is that of the request, and started the endpoint's incarnation
	// that was granted.
	fingerprint fingerprint.Fingerprint
	started     registry.Endpoint
	// bodyBytes is the size of the request's body.
	bodyBytes int64
	// runEnd is how the run ended, if runEnded is set.
	runEnd   quarantine.End
	runEnded bool
	report   runReport
	// inFlight counts the endpoint's requests in flight when it was granted, with it.
	inFlight int
	gateway  string
}

// NewPool returns an empty pool. The IDs of its grants begin with prefix.
func NewPool(prefix string, config Config) *Pool {
	if config.Runs == nil {
		config.Runs = noRuns{}
	}
	return &Pool{
		config: config, prefix: prefix, shift: NewShiftMeter(config.MaxShift),
		services: make(map[string]*service), servers: make(map[string]*server), grants: make(map[string]grant),
		heard: make(map[string]time.Time),
	}
}

// Update applies an announcement of an endpoint in any region. The grants of
// an endpoint that is gone stay until they are released or expire.
func (p *Pool) Update(now time.Time, e registry.Endpoint) {
	old := p.servers[e.ID]
	if old != nil && old.endpoint.Service == e.Service && old.endpoint.StartedMillis == e.StartedMillis && !e.Gone {
		if e.Leaving && !old.endpoint.Leaving {
			p.noteLoss(now, old)
		}
		old.endpoint = e
		return
	}
	p.Remove(now, e.ID)
	if e.Gone {
		return
	}
	s := newServer(e)
	s.concurrency.enabled = p.config.LearnLimits.includes(e.ID)
	s.region = p.config.RegionOf(e.Zone)
	if s.own = s.region == p.config.Region; !s.own {
		s.roundTrip = p.config.RoundTrip(s.region)
	}
	p.servers[e.ID] = s
	svc := p.service(e.Service)
	svc.servers = append(svc.servers, s)
	svc.ranked = append(svc.ranked, s)
}

// Remove removes an endpoint.
func (p *Pool) Remove(now time.Time, id string) {
	s := p.servers[id]
	if s == nil {
		return
	}
	p.noteLoss(now, s)
	s.endpoint.Gone = true // queued slot requests may still refer to it
	delete(p.servers, id)
	svc := p.service(s.endpoint.Service)
	isServer := func(o *server) bool { return o == s }
	svc.servers, svc.ranked = slices.DeleteFunc(svc.servers, isServer), slices.DeleteFunc(svc.ranked, isServer)
	for object := range s.memory.lastUse {
		svc.forget(object, s)
	}
}

// noteLoss suspends the limit on shifts between regions if the pool granted
// the endpoint's slots until now.
func (p *Pool) noteLoss(now time.Time, s *server) {
	if s.grantable(now) && !s.endpoint.Leaving {
		p.SuspendShiftLimit(now)
	}
}

// SuspendShiftLimit lets objects move between regions without limit for a while,
// because endpoints, controllers or connections were lost.
func (p *Pool) SuspendShiftLimit(now time.Time) {
	p.shiftSuspendedUntil, p.lostAt = now.Add(shiftSuspension), now
}

// extendSuspension lets objects move without limit for some longer, since a request
// was refused for lack of slots: what was lost isn't made up for yet.
func (p *Pool) extendSuspension(now time.Time) {
	if now.Before(p.shiftSuspendedUntil) && now.Sub(p.lostAt) < maxShiftSuspension {
		p.shiftSuspendedUntil = later(p.shiftSuspendedUntil, now.Add(suspensionStep))
	}
}

// ShiftLimitSuspended reports whether objects may move between regions without
// limit.
func (p *Pool) ShiftLimitSuspended(now time.Time) bool { return now.Before(p.shiftSuspendedUntil) }

func (p *Pool) service(name string) *service {
	svc := p.services[name]
	if svc == nil {
		svc = &service{
			kinds: make(map[string]*kind), servedBy: make(map[string][]*server), kept: newKeptMeter(),
			fair: newFairness(),
		}
		p.services[name] = svc
	}
	return svc
}

// SetExclusive sets whether it is certain that no other pool can grant the same
// endpoints. Cold endpoints get no requests while it is not, and for
// coldHoldBack afterwards, because grants of a former pool may still be in
// transit and the rate of a cold endpoint counts over all pools.
func (p *Pool) SetExclusive(now time.Time, exclusive bool) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	before := p.exclusiveSince
	switch {
	case !exclusive:
		p.exclusiveSince = time.Time{}
	case p.exclusiveSince.IsZero():
		p.exclusiveSince = now
	}
	if p.exclusiveSince.IsZero() != before.IsZero() {
		for _, s := range p.servers {
			p.applyLimit(now, s)
		}
	}
	holdBack := now.Add(coldHoldBack)
	if exclusive {
		holdBack = p.exclusiveSince.Add(coldHoldBack)
	}
	for _, s := range p.servers {
		if s.nextColdGrant.Before(holdBack) {
			s.nextColdGrant = holdBack
		}
	}
}

// Acquire decides a slot request at once, or queues it and returns false.
// Release or Tick returns the decision of a queued slot request.
func (p *Pool) Acquire(now time.Time, req SlotRequest) (Decision, bool) {
	svc := p.service(req.Service)
	if !req.Retry {
		svc.load.add(now, svc.expectedRun(req))
		if req.isRestricted() {
			svc.reservation.load.add(now, svc.expectedRun(req))
		}
		svc.retries.countRequest(now, p.config.Retries)
		svc.leastUrgent = max(svc.leastUrgent, req.Priority)
		svc.fair.arrive(req)
	}
	if !p.mayStart(now, req) {
		return p.refuse(now, req, ReasonQuarantined), true
	}
	if !slices.ContainsFunc(svc.servers, func(s *server) bool { return s.usable(now) }) {
		return p.refuse(now, req, ReasonNoEndpoint), true
	}
	if req.Retry && !svc.retries.take(now, p.config.Retries) {
		return p.refuse(now, req, ReasonRetryBudget), true
	}
	svc.applyHint(req)
	best := p.choose(now, svc, req)
	if best != nil && best.free(now) {
		if len(svc.queue) > 0 {
			svc.fair.charge(req, svc.expectedRun(req))
		}
		return p.grant(now, svc, best, req), true
	}
	until := now.Add(svc.maxWait(req))
	if !until.Before(req.Deadline) || !until.After(now) || svc.queueTooLong(req) {
		return p.grantNowOrRefuse(now, svc, req), true
	}
	svc.enqueue(queuedRequest{request: req, until: until, preferred: best})
	return Decision{}, false
}

// kind returns the statistics of the slot request's kind. A new kind's cold run
// time is assumed to be the slot request's target.
func (svc *service) kind(req SlotRequest) *kind {
	k := svc.kinds[req.Kind]
	if k == nil {
		k = &kind{cold: req.Target.Seconds()}
		svc.kinds[req.Kind] = k
	}
	return k
}

// object returns the key of the slot request's object within its service; empty
// if none.
func (req SlotRequest) object() string {
	if req.Affinity == "" {
		return ""
	}
	return req.Kind + "/" + req.Affinity
}

func (p *Pool) grant(now time.Time, svc *service, s *server, req SlotRequest) Decision {
	p.grantCount++
	id := p.prefix + strconv.FormatUint(p.grantCount, 36)
	object := req.object()
	g := grant{server: s, service: svc, kind: svc.kind(req), depth: -1, expires: req.Deadline.Add(graceAfterDeadline)}
	g.fingerprint, g.started, g.bodyBytes = req.Fingerprint, s.endpoint, req.BodyBytes
	if depth, known := s.memory.depth(object); known {
		g.depth = depth
	}
	g.report = s.beginReport(now, svc)
	s.inFlight++
	s.bodies.add(req.BodyBytes)
	g.inFlight, g.gateway = s.inFlight, req.Gateway
	s.connections.take(now, req.Gateway)
	s.granted++
	s.lastGrant = now
	s.limiter.take(now)
	svc.touch(object, s)
	if s.cold(now) {
		s.nextColdGrant = now.Add(coldGap(p.config.ColdRate(req.Service)))
	}
	if !p.ran && now.Sub(p.startedAt) < shiftSuspension {
		// The dispatcher started while there were requests, so after a loss.
		p.shiftSuspendedUntil, p.lostAt = now.Add(shiftLearnTime), now
	}
	p.ran = true
	if p.isFromOwnRegion(req) {
		p.shift.Count(now, s.region, now.Before(p.shiftSuspendedUntil))
	}
	p.grants[id] = g
	p.beginRun(now, s, req)
	return Decision{Request: req, Grant: id, Endpoint: s.endpoint, Region: s.region}
}

// isFromOwnRegion reports whether a slot request comes from a gateway of the pool's region.
// The others are of requests that may run only in some regions.
func (p *Pool) isFromOwnRegion(req SlotRequest) bool {
	return req.Zone == "" || p.config.RegionOf(req.Zone) == p.config.Region
}

// coldGap returns the time between two requests at a cold endpoint; one
// second if no rate is set.
func coldGap(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return time.Duration(float64(time.Second) / perSecond)
}

func (p *Pool) refuse(now time.Time, req SlotRequest, reason Reason) Decision {
	if reason == ReasonOverload {
		p.extendSuspension(now)
	}
	left := req.Deadline.Sub(now)
	limit := left / retryAfterDivisor
	after := time.Duration((0.7 + 0.3*p.config.Random()) * float64(limit))
	return Decision{Request: req, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// Release ends a grant, records its outcome and the time that it took, and
// returns the decisions of the queued slot requests that get a slot by it. An
// unknown ID changes nothing.
func (p *Pool) Release(now time.Time, id string, outcome Outcome, took time.Duration) []Decision {
	g, ok := p.grants[id]
	if !ok {
		return nil
	}
	p.endRun(now, id, g, outcome)
	s, svc := g.server, g.service
	s.endConnection(now, g.gateway, outcome)
	warm := g.depth >= 0 && g.depth < svc.kept.limit
	run := max(0, (took - s.roundTrip).Seconds())
	if outcome == Served {
		run = s.reported.meanRunTime(g.report, run, s.slowness*g.kind.expected(warm))
		p.noteTrust(now, s)
		p.observeConcurrency(now, svc, s, g.inFlight, run, g.kind.expected(warm))
	}
	s.observeOutcome(now, outcome, run, g.kind.expected(warm))
	if outcome == Served {
		svc.observeRun(now, g, run, took)
	}
	if outcome == Broken || outcome == Unreachable {
		if now.Sub(p.lastBreak) < maxBreakInterval {
			p.SuspendShiftLimit(now)
		}
		p.lastBreak = now
	}
	return p.grantQueuedAt(now, svc, s)
}

// observeRun records a served request: run is the run time in seconds at the endpoint's
// mean pace, and took the time between the gateway's receipt of the grant and the end.
func (svc *service) observeRun(now time.Time, g grant, run float64, took time.Duration) {
	slotTime := now.Sub(g.report.granted)
	messages := max(0, min(slotTime-took, maxMessageTime)).Seconds()
	if g.depth >= 0 {
		if warm, known := g.kind.ranWarm(run); known {
			svc.kept.observe(g.depth, warm)
		}
	}
	g.kind.observe(g.depth >= 0 && g.depth < svc.kept.limit, run)
	if svc.slotTime == 0 {
		svc.slotTime, svc.runTime, svc.messageTime, svc.firstServed = slotTime.Seconds(), run, messages, now
	}
	svc.runTime += smoothing / 2 * (run - svc.runTime)
	svc.messageTime += smoothing / 2 * (messages - svc.messageTime)
	svc.slotTime += smoothing / 2 * (slotTime.Seconds() - svc.slotTime)
}

// Tick removes expired grants, reconsiders queued slot requests, and returns
// the decisions of those that get a slot or whose wait has ended.
func (p *Pool) Tick(now time.Time) []Decision {
	for id, g := range p.grants {
		if now.After(g.expires) {
			p.endRun(now, id, g, Unsent)
		}
	}
	var out []Decision
	for _, svc := range p.services {
		svc.rank(now)
		svc.fair.tick(len(svc.queue) == 0)
		out = append(out, p.processQueue(now, svc)...)
	}
	return out
}
