package measure

import (
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/admission"
)

const (
	// coldFactor is the factor by which a cold cache slows a request down.
	coldFactor = 3
	// warmAfter is the number of requests from one place of origin after which the
	// slowdown by an endpoint's cold cache has decayed to 1/e, about a third.
	warmAfter = 100
	// dialTimeout is the time after which a dial to a failed VM or endpoint fails.
	dialTimeout = 200 * time.Millisecond
)

// job is one attempt of a request on an endpoint.
type job struct {
	request *request
	begun   time.Duration // time at which the endpoint received it
	end     func(admission.ResultKind)
}

// endpoint is a server with slots, a queue as long as its number of slots, and a
// cache that warms separately for each place of origin.
type endpoint struct {
	w           *world
	id          string
	service     int
	place       int
	slots       int
	slowdown    float64 // factor on the work of requests
	reportMode  reportMode
	alive       bool
	incarnation uint64
	sequence    uint64
	running     map[*job]struct{}
	waiting     []*job
	served      []float64 // per place of origin
}

// reportMode says whether an endpoint reports its real load or a false one.
type reportMode uint8

const (
	reportsLoad reportMode = iota
	reportsIdle
	reportsFull
)

// load returns the load that the endpoint reports, from 0 to 1.
func (e *endpoint) load() float64 {
	switch e.reportMode {
	case reportsIdle:
		return 0
	case reportsFull:
		return 1
	default:
		return min(1, float64(len(e.running)+len(e.waiting))/float64(e.slots))
	}
}

// serve receives a job: it runs, waits or is shed. At a failed endpoint it fails
// after dialTimeout.
func (e *endpoint) serve(j *job) {
	j.begun = e.w.now
	switch {
	case !e.alive:
		e.w.after(dialTimeout, func() { j.end(admission.Failed) })
	case len(e.running) < e.slots:
		e.start(j)
	case len(e.waiting) < e.slots:
		e.waiting = append(e.waiting, j)
	default:
		j.end(admission.Shed)
	}
}

// start runs a job. A job that can't end by its deadline is cancelled at the
// deadline.
func (e *endpoint) start(j *job) {
	e.running[j] = struct{}{}
	e.w.record.recordStart(e.place)
	work := time.Duration(float64(e.w.op.services[e.service].work) * j.request.work * e.slowdown * e.coldSlowdown(j.request.origin))
	e.served[j.request.origin]++
	kind := admission.OK
	left := j.request.deadline - e.w.now
	if work > left {
		work, kind = max(left, 0), admission.Timeout
	}
	e.w.after(work, func() { e.finish(j, kind) })
}

func (e *endpoint) coldSlowdown(origin int) float64 {
	return 1 + (coldFactor-1)*math.Exp(-e.served[origin]/warmAfter)
}

func (e *endpoint) finish(j *job, kind admission.ResultKind) {
	if _, ok := e.running[j]; !ok {
		return // the endpoint crashed in the meantime
	}
	delete(e.running, j)
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
	j.end(kind)
}

// crash fails all waiting and running jobs.
func (e *endpoint) crash() {
	e.alive = false
	lost := slices.Concat(e.waiting, e.runningInOrder())
	e.waiting = nil
	clear(e.running)
	for _, j := range lost {
		j.end(admission.Failed)
	}
}

// runningInOrder returns the running jobs in the order of arrival.
func (e *endpoint) runningInOrder() []*job {
	jobs := make([]*job, 0, len(e.running))
	for j := range e.running {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	return jobs
}

// restart starts a new incarnation with cold caches.
func (e *endpoint) restart() {
	e.alive = true
	e.incarnation++
	e.sequence = 0
	clear(e.served)
}

func (e *endpoint) announcement() admission.Announcement {
	e.sequence++
	return admission.Announcement{
		ID:          e.id,
		Incarnation: e.incarnation,
		Sequence:    e.sequence,
		Slots:       e.slots,
		Connections: 650,
		State:       admission.Ready,
		Load:        e.load(),
	}
}
