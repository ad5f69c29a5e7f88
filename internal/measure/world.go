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
	// reportDelay is the time until an announcement is taken in.
	reportDelay = 50 * time.Millisecond
	// workSpread is the standard deviation of the logarithm of a request's work.
	workSpread = 0.6
	// loadFactor is the demand as a part of the capacity.
	loadFactor = 0.7
	// resendPause is the time after which an impatient caller sends again.
	resendPause = 50 * time.Millisecond
	// maxResends bounds what an impatient caller sends.
	maxResends = 3
)

// request is one try of a caller.
type request struct {
	id       uint64
	service  int
	origin   int // index of the place
	first    time.Duration
	sent     time.Duration
	deadline time.Duration
	work     float64 // multiple of the service's mean
	resends  int
	ended    bool
}

// policy decides where requests go.
type policy interface {
	// handle takes in a request at its place of origin.
	handle(r *request)
	// announce takes in an endpoint's report, late.
	announce(e *endpoint, a admission.Announcement)
	// queued counts the requests that wait in front of a place's endpoints.
	queued(place int) int
	// lost and back tell that the entries of a place ended or started.
	lost(place int)
	back(place int)
	// reconfigure puts a changed document in force.
	reconfigure(doc *document.Document)
}

// world is one simulation.
type world struct {
	schedule
	op        Operation
	doc       *document.Document
	names     []string
	region    []int // per place
	alive     []bool
	endpoints []*endpoint
	byPlace   [][][]*endpoint // service, place
	policy    policy
	arrivals  *rand.Rand
	choices   *rand.Rand // for policies
	demand    func(now time.Duration) float64
	impatient bool
	nextID    uint64
	record    *record
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
					service: s, place: p, slots: service.slots, slow: 1,
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

// startCallers lets requests of one service come to one place at random.
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
	w.record.offered(r)
	w.send(r)
}

// send starts a try; its caller gives up at the deadline.
func (w *world) send(r *request) {
	r.sent = w.now
	r.deadline = w.now + w.op.services[r.service].deadline
	w.after(r.deadline-w.now, func() { w.fail(r) })
	w.policy.handle(r)
}

// answer ends a request; network is the time for which its bytes travel.
func (w *world) answer(r *request, network time.Duration) {
	w.after(network, func() {
		if r.ended {
			return
		}
		r.ended = true
		w.record.answered(r)
	})
}

// fail ends a try without an answer. An impatient caller sends again.
func (w *world) fail(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if !w.impatient || r.resends >= maxResends {
		return
	}
	again := *r
	again.ended = false
	again.resends++
	w.after(resendPause, func() {
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

// userTrip is the round trip between a caller and its place, with the time to
// connect.
func (w *world) userTrip() time.Duration { return 2*w.op.oneWayUser + connectTime }

// lose ends everything in a place.
func (w *world) lose(place int) {
	w.alive[place] = false
	w.policy.lost(place)
	for _, e := range w.endpoints {
		if e.place == place {
			e.die()
		}
	}
}

// restore starts everything in a place, cold.
func (w *world) restore(place int) {
	w.alive[place] = true
	w.policy.back(place)
	for _, e := range w.endpoints {
		if e.place == place {
			e.restart()
			w.policy.announce(e, e.announcement())
		}
	}
}

// drain takes a place out of use in the document.
func (w *world) drain(place int) {
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
