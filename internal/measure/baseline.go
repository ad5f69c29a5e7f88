package measure

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/document"
)

const (
	// baselineTries bounds the number of endpoints that a baseline tries for a
	// request.
	baselineTries = 3
	// reportTimeout is the time without a report after which a baseline no longer
	// uses an endpoint.
	reportTimeout = 3 * time.Second
)

// baseline chooses an endpoint in the nearest places that have any: at random, or
// with the least reported load. It tries others after a shed or a failure, and
// uses neither caps nor reserves nor queues.
type baseline struct {
	w         *world
	leastLoad bool
	latest    map[*endpoint]report
}

// report is the last report that a baseline received from an endpoint.
type report struct {
	at   time.Duration
	load float64
}

func newRandomBaseline(w *world) policy {
	return &baseline{w: w, latest: map[*endpoint]report{}}
}

func newLeastLoadBaseline(w *world) policy {
	return &baseline{w: w, leastLoad: true, latest: map[*endpoint]report{}}
}

func (b *baseline) announce(e *endpoint, a admission.Announcement) {
	b.latest[e] = report{b.w.now, a.Load}
}

func (b *baseline) queued(int) int                 { return 0 }
func (b *baseline) placeFailed(int)                {}
func (b *baseline) placeRestored(int)              {}
func (b *baseline) reconfigure(*document.Document) {}

func (b *baseline) handle(r *request) { b.try(r, nil) }

// try sends the request to an endpoint that was not tried yet.
func (b *baseline) try(r *request, tried []*endpoint) {
	e := b.pick(r, tried)
	if e == nil || len(tried) >= baselineTries {
		b.w.fail(r)
		return
	}
	tried = append(tried, e)
	if e.place != r.origin {
		b.w.record.recordMove(r.service, r.origin, e.place)
	}
	trip := b.w.oneWay(r.origin, e.place)
	b.w.after(trip, func() {
		e.serve(&job{request: r, end: func(kind admission.ResultKind) {
			if kind == admission.OK {
				b.w.answer(r, trip+b.w.userTrip())
				return
			}
			b.w.after(trip, func() {
				if !r.ended {
					b.try(r, tried)
				}
			})
		}})
	})
}

// pick chooses among the endpoints of the nearest places that have any.
func (b *baseline) pick(r *request, tried []*endpoint) *endpoint {
	var near []*endpoint
	nearest := 3
	for _, e := range b.w.endpoints {
		if e.service != r.service || slices.Contains(tried, e) || !b.known(e) {
			continue
		}
		distance := b.distance(r.origin, e.place)
		if distance > nearest {
			continue
		}
		if distance < nearest {
			near, nearest = near[:0], distance
		}
		near = append(near, e)
	}
	if len(near) == 0 {
		return nil
	}
	if b.leastLoad {
		near = b.least(near)
	}
	return near[b.w.choices.IntN(len(near))]
}

func (b *baseline) known(e *endpoint) bool {
	latest, ok := b.latest[e]
	return ok && b.w.now-latest.at <= reportTimeout && !b.w.drained(e.place)
}

func (b *baseline) distance(from, to int) int {
	switch {
	case from == to:
		return 0
	case b.w.region[from] == b.w.region[to]:
		return 1
	default:
		return 2
	}
}

// least returns the endpoints with the lowest reported load.
func (b *baseline) least(endpoints []*endpoint) []*endpoint {
	lowest := 2.0
	var least []*endpoint
	for _, e := range endpoints {
		load := b.latest[e].load
		if load < lowest {
			lowest = load
			least = nil
		}
		if load == lowest {
			least = append(least, e)
		}
	}
	return least
}
