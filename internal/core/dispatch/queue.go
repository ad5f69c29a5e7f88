package dispatch

import (
	"slices"
	"sort"
	"time"
)

// queuedRequest is a slot request in a queue; it may wait until the given time.
type queuedRequest struct {
	request SlotRequest
	until   time.Time
	// preferred is the endpoint that it waits for; nil if any will do.
	preferred *server
	// start and length are its virtual start time and length; see fairness.
	start, length float64
	// overtaken is set once another slot request was placed before it.
	overtaken bool
}

// position returns where a slot request with the virtual start time is placed in the queue:
// behind those of a more urgent priority, and those of its own that start no later.
func (svc *service) position(priority int, start float64) int {
	at := sort.Search(len(svc.queue), func(i int) bool {
		w := &svc.queue[i]
		return w.request.Priority > priority || w.request.Priority == priority && w.start > start
	})
	return at
}

// enqueue adds a slot request to the queue.
func (svc *service) enqueue(w queuedRequest) {
	w.start, w.length = svc.fair.charge(w.request, svc.expectedRun(w.request))
	at := svc.position(w.request.Priority, w.start)
	svc.queue = slices.Insert(svc.queue, at, w)
	for i := at + 1; i < len(svc.queue); i++ {
		svc.queue[i].overtaken = true
	}
	svc.countQueued(w, 1)
}

// expectedRun returns the expected run time of a request in seconds.
func (svc *service) expectedRun(req SlotRequest) float64 {
	return svc.kind(req).expected(req.object() != "")
}

// countQueued adds n to the number of queued slot requests that have the same
// preferred endpoint as w.
func (svc *service) countQueued(w queuedRequest, n int) {
	if w.preferred != nil {
		w.preferred.queuedFor += n
	} else {
		svc.queuedForAny += n
	}
	if w.request.Affinity == "" {
		svc.queuedUnbound += n
	}
}

// remove removes the slot request at index i from the queue.
func (svc *service) remove(i int) {
	svc.countQueued(svc.queue[i], -1)
	svc.queue = slices.Delete(svc.queue, i, i+1)
}

// maxWait returns how long a slot request may wait: until the answer, with the
// object warm, would miss the target, but at least minWaitShare of the target.
func (svc *service) maxWait(req SlotRequest) time.Duration {
	run := time.Duration(svc.expectedRun(req) * float64(time.Second))
	return max(req.Target-run, time.Duration(minWaitShare*float64(req.Target)))
}

// queueTooLong reports whether the slot requests that would be served before it are expected
// to take all slots that become free in the time that the slot request may wait.
func (svc *service) queueTooLong(req SlotRequest) bool {
	if len(svc.queue) == 0 || svc.slotTime == 0 {
		return false
	}
	ahead := svc.position(req.Priority, svc.fair.start(req))
	return float64(ahead+1) > svc.servableIn(svc.maxWait(req))
}

// cameTooLate reports whether a queued slot request that others were placed before isn't
// expected to get a slot in time any more. ahead is the number of those before it.
func (svc *service) cameTooLate(now time.Time, w queuedRequest, ahead int) bool {
	return w.overtaken && svc.slotTime > 0 && float64(ahead+1) > svc.servableIn(w.until.Sub(now))
}

// grantQueuedAt grants the free slots of one endpoint to the slot requests that
// wait for it, and to those that wait for any and for which it is now the best
// choice.
func (p *Pool) grantQueuedAt(now time.Time, svc *service, s *server) []Decision {
	var out []Decision
	compared := 0
	for i := 0; i < len(svc.queue) && s.queuedFor+svc.queuedForAny+svc.queuedUnbound > 0 && s.free(now); {
		w := svc.queue[i]
		if !p.takes(now, svc, w, s, &compared) {
			i++
			continue
		}
		svc.remove(i)
		svc.fair.granted(w)
		out = append(out, p.grant(now, svc, s, w.request))
	}
	return out
}

// takes reports whether a queued slot request takes a free slot of an endpoint. One without
// an object isn't bound to the endpoint that it waits for: otherwise the slot would go to a
// later one that happens to wait for this endpoint. compared counts those whose endpoints
// were compared, maxCompared at most.
func (p *Pool) takes(now time.Time, svc *service, w queuedRequest, s *server, compared *int) bool {
	switch {
	case !eligible(now, s, w.request):
		return false
	case w.preferred == s:
		return true
	case w.preferred == nil:
		return p.choose(now, svc, w.request) == s
	case w.request.Affinity != "" || s.avoided() || s.region != w.preferred.region || *compared == maxCompared:
		return false
	default:
		*compared++
		k := svc.kind(w.request)
		return s.cost(now, svc, k, false) <= w.preferred.cost(now, svc, k, false)
	}
}

// processQueue grants the slot requests whose preferred endpoint has a free
// slot, and grants or refuses those that may not wait any longer, or that can't get a slot
// in time because others were placed before them. Before that
// it reconsiders some slot requests, since their best endpoint may have
// changed. Slot requests without a preferred endpoint, or whose preferred
// endpoint is no longer usable, are reconsidered on each call.
func (p *Pool) processQueue(now time.Time, svc *service) []Decision {
	var out []Decision
	n := len(svc.queue)
	reconsidered := min(n, maxReconsidered)
	first := svc.nextReconsidered
	svc.nextReconsidered += reconsidered
	kept := svc.queue[:0]
	for i, w := range svc.queue {
		due := (i-first%max(n, 1)+n)%max(n, 1) < reconsidered
		if due || w.preferred == nil || !w.preferred.usable(now) {
			svc.countQueued(w, -1)
			w.preferred = p.choose(now, svc, w.request)
			svc.countQueued(w, 1)
		}
		switch {
		case w.preferred != nil && w.preferred.free(now) && w.preferred.bodies.fits(w.request.BodyBytes):
			svc.countQueued(w, -1)
			svc.fair.granted(w)
			out = append(out, p.grant(now, svc, w.preferred, w.request))
		case now.Before(w.until) && !svc.cameTooLate(now, w, len(kept)):
			kept = append(kept, w)
		default:
			svc.countQueued(w, -1)
			d := p.grantNowOrRefuse(now, svc, w.request)
			if d.Grant == "" {
				svc.fair.withdrawn(w)
			}
			out = append(out, d)
		}
	}
	clear(svc.queue[len(kept):])
	svc.queue = kept
	return out
}

// Cancel removes a slot request from its queue, if it is queued.
func (p *Pool) Cancel(serviceName, id string) {
	svc := p.service(serviceName)
	if i := slices.IndexFunc(svc.queue, func(w queuedRequest) bool { return w.request.ID == id }); i >= 0 {
		svc.fair.withdrawn(svc.queue[i])
		svc.remove(i)
	}
}
