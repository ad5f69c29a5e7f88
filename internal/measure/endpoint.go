package measure

import (
	"math"
	"slices"
	"time"

	"sassafrasreach/internal/core/admission"
)

const (
	// coldFactor is how many times longer a request takes on a cold cache.
	coldFactor = 3
	// warmAfter is the number of requests of one place of origin after which an
	// endpoint's cache for it is warm to a third.
	warmAfter = 100
	// dialTimeout is the time after which a dial to a lost VM is given up.
	dialTimeout = 200 * time.Millisecond
)

// job is one attempt of a request on an endpoint.
type job struct {
	request *request
	begun   time.Duration // handed to the endpoint
	end     func(admission.ResultKind)
}

// endpoint is a server with slots, a short queue of its own and a cache that
// is cold for each place of origin.
type endpoint struct {
	w           *world
	id          string
	service     int
	place       int
	slots       int
	slow        float64 // multiplies the work
	lie         lie
	alive       bool
	incarnation uint64
	sequence    uint64
	running     map[*job]struct{}
	waiting     []*job
	served      []float64 // per place of origin
}

// lie is what an endpoint reports in place of its load.
type lie uint8

const (
	truthful lie = iota
	saysIdle
	saysFull
)

// load is the load that the endpoint reports.
func (e *endpoint) load() float64 {
	switch e.lie {
	case saysIdle:
		return 0
	case saysFull:
		return 1
	default:
		return min(1, float64(len(e.running)+len(e.waiting))/float64(e.slots))
	}
}

// serve takes in a job: it runs, waits or is shed.
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

// start runs a job. One that can't end by its deadline is cancelled then.
func (e *endpoint) start(j *job) {
	e.running[j] = struct{}{}
	e.w.record.started(e.place)
	work := time.Duration(float64(e.w.op.services[e.service].work) * j.request.work * e.slow * e.coldness(j.request.origin))
	e.served[j.request.origin]++
	kind := admission.OK
	left := j.request.deadline - e.w.now
	if work > left {
		work, kind = max(left, 0), admission.Timeout
	}
	e.w.after(work, func() { e.finish(j, kind) })
}

func (e *endpoint) coldness(origin int) float64 {
	return 1 + (coldFactor-1)*math.Exp(-e.served[origin]/warmAfter)
}

func (e *endpoint) finish(j *job, kind admission.ResultKind) {
	if _, ok := e.running[j]; !ok {
		return // the endpoint died in the meantime
	}
	delete(e.running, j)
	for len(e.running) < e.slots && len(e.waiting) > 0 {
		next := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.start(next)
	}
	j.end(kind)
}

// die ends all jobs without an answer.
func (e *endpoint) die() {
	e.alive = false
	lost := slices.Concat(e.waiting, e.order())
	e.waiting = nil
	clear(e.running)
	for _, j := range lost {
		j.end(admission.Failed)
	}
}

// order returns the running jobs in the order of arrival.
func (e *endpoint) order() []*job {
	jobs := make([]*job, 0, len(e.running))
	for j := range e.running {
		jobs = append(jobs, j)
	}
	sortJobs(jobs)
	return jobs
}

// restart begins a new incarnation with cold caches.
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
