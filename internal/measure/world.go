package measure

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/document"
)

const (
	// reportPeriod is the time between an endpoint's announcements.
	reportPeriod = time.Second
	// reportDelay is the time until a policy receives an announcement.
	reportDelay = 50 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of the work of a
	// request.
	workSpread = 0.6
	// loadFactor is the usual demand as a fraction of the capacity.
	loadFactor = 0.7
	// retryDelay is the time between a failure and the caller's retry.
	retryDelay = 50 * time.Millisecond
	// maxRetries bounds the retries of one request.
	maxRetries = 3
)

// request is one attempt of a caller; a retry is a new request. Times are since
// the start of the simulation.
type request struct {
	id       uint64
	service  int
	origin   int // index of the place
	first    time.Duration
	sent     time.Duration
	deadline time.Duration
	work     float64 // multiple of the service's mean
	retries  int
	ended    bool
}

// policy decides where requests go.
type policy interface {
	// handle receives a request at its place of origin.
	handle(r *request)
	// announce receives an endpoint's report, which may be delayed.
	announce(e *endpoint, a admission.Announcement)
	// queued returns the number of requests in a place's admission queues.
	queued(place int) int
	// placeFailed and placeRestored report that the entries of a place failed or
	// restarted.
	placeFailed(place int)
	placeRestored(place int)
	// reconfigure puts a changed document into force.
	reconfigure(doc *document.Document)
}

// world is one simulation.
type world struct {
	schedule
	op           Operation
	doc          *document.Document
	names        []string
	region       []int // per place
	alive        []bool
	endpoints    []*endpoint
	byPlace      [][][]*endpoint // service, place
	policy       policy
	arrivals     *rand.Rand
	choices      *rand.Rand // for policies
	demand       func(now time.Duration) float64
	callersRetry bool
	nextID       uint64
	record       *record
}

func newWorld(op Operation, seed uint64, makePolicy func(*world) policy) *world {
	w := &world{
		op:       op,
		doc:      op.document(),
		arrivals: rand.New(rand.NewPCG(seed, 1)),
		choices:  rand.New(rand.NewPCG(seed, 2)),
		demand:   func(time.Duration) float64 { return loadFactor },
	}
	for i, names := range op.perRegion {
		for _, name := range names {
			w.names = append(w.names, name)
			w.region = append(w.region, i)
			w.alive = append(w.alive, true)
		}
	}
	w.record = newRecord(w)
	w.addEndpoints()
	w.policy = makePolicy(w)
	for _, e := range w.endpoints {
		w.startReports(e)
	}
	for s := range op.services {
		for p := range w.names {
			w.startCallers(s, p)
		}
	}
	return w
}

func (w *world) addEndpoints() {
	for s, service := range w.op.services {
		w.byPlace = append(w.byPlace, make([][]*endpoint, len(w.names)))
		for p := range w.names {
			for i := range w.op.workersIn(service, p) {
				e := &endpoint{
					w: w, id: fmt.Sprintf("%s/%s/%d", service.name, w.names[p], i),
					service: s, place: p, slots: service.slots, slowdown: 1,
					alive: true, incarnation: 1,
					running: map[*job]struct{}{}, served: make([]float64, len(w.names)),
				}
				e.served[p] = 1000 // warm for its own place
				w.endpoints = append(w.endpoints, e)
				w.byPlace[s][p] = append(w.byPlace[s][p], e)
			}
		}
	}
}

func (w *world) startReports(e *endpoint) {
	offset := time.Duration(w.choices.Int64N(int64(reportPeriod)))
	w.policy.announce(e, e.announcement())
	w.every(offset, reportPeriod, func() {
		if !e.alive {
			return
		}
		a := e.announcement()
		w.after(reportDelay, func() { w.policy.announce(e, a) })
	})
}

// startCallers schedules the arrivals of requests for one service in one place,
// as a Poisson process.
func (w *world) startCallers(service, place int) {
	capacity := w.op.capacity(w.op.services[service], place)
	var next func()
	next = func() {
		w.arrive(service, place)
		rate := capacity * w.demand(w.now)
		w.after(time.Duration(w.arrivals.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.after(0, next)
}

func (w *world) arrive(service, place int) {
	w.nextID++
	r := &request{
		id:      w.nextID,
		service: service,
		origin:  place,
		first:   w.now,
		work:    math.Exp(workSpread*w.arrivals.NormFloat64() - workSpread*workSpread/2),
	}
	w.record.recordOffer(r)
	w.send(r)
}

// send starts an attempt, which fails at its deadline.
func (w *world) send(r *request) {
	r.sent = w.now
	r.deadline = w.now + w.op.services[r.service].deadline
	w.after(r.deadline-w.now, func() { w.fail(r) })
	w.policy.handle(r)
}

// answer completes a request after network, the time until the answer arrives at
// the caller.
func (w *world) answer(r *request, network time.Duration) {
	w.after(network, func() {
		if r.ended {
			return
		}
		r.ended = true
		w.record.recordAnswer(r)
	})
}

// fail ends an attempt without an answer. If callers retry, it schedules the
// next attempt.
func (w *world) fail(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if !w.callersRetry || r.retries >= maxRetries {
		return
	}
	again := *r
	again.ended = false
	again.retries++
	w.after(retryDelay, func() {
		w.nextID++
		again.id = w.nextID
		w.send(&again)
	})
}

// oneWay is the network delay between two places.
func (w *world) oneWay(a, b int) time.Duration {
	switch {
	case a == b:
		return 0
	case w.region[a] == w.region[b]:
		return w.op.oneWayNear
	default:
		return w.op.oneWayFar
	}
}

// userTrip is the round trip between a caller and its place plus the time to
// open a connection.
func (w *world) userTrip() time.Duration { return 2*w.op.oneWayUser + connectTime }

// failPlace fails the entries and endpoints of a place.
func (w *world) failPlace(place int) {
	w.alive[place] = false
	w.policy.placeFailed(place)
	for _, e := range w.endpoints {
		if e.place == place {
			e.crash()
		}
	}
}

// restorePlace restarts the entries and endpoints of a place, with cold caches.
func (w *world) restorePlace(place int) {
	w.alive[place] = true
	w.policy.placeRestored(place)
	for _, e := range w.endpoints {
		if e.place == place {
			e.restart()
			w.policy.announce(e, e.announcement())
		}
	}
}

// addDrain adds a drain of a place to the document.
func (w *world) addDrain(place int) {
	doc := *w.doc
	doc.Drains = append(slices.Clone(doc.Drains), document.Drain{Place: w.names[place], Reason: "repair"})
	w.doc = &doc
	w.policy.reconfigure(w.doc)
}

func (w *world) drained(place int) bool {
	return slices.ContainsFunc(w.doc.Drains, func(d document.Drain) bool { return d.Place == w.names[place] })
}

func sortJobs(jobs []*job) {
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.begun, b.begun), cmp.Compare(a.request.id, b.request.id))
	})
}
