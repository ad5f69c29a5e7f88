package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// queuedRequest is a slot request in a queue; it may wait until the given time.
type queuedRequest struct {
	request SlotRequest
	until   time.Time
	// preferred is the endpoint that it waits for; nil if any will do.
	preferred *server
}

// enqueue adds a slot request behind those of its priority.
func (svc *service) enqueue(w queuedRequest) {
	at := len(svc.queue)
	for at > 0 && svc.queue[at-1].request.Priority > w.request.Priority {
		at--
	}
	svc.queue = slices.Insert(svc.queue, at, w)
	svc.countQueued(w, 1)
}

// countQueued adds n to the number of queued slot requests that have the same
// preferred endpoint as w.
func (svc *service) countQueued(w queuedRequest, n int) {
	if w.preferred != nil {
		w.preferred.queuedFor += n
	} else {
		svc.queuedForAny += n
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
	run := time.Duration(svc.kind(req).expected(req.object() != "") * float64(time.Second))
	return max(req.Target-run, time.Duration(minWaitShare*float64(req.Target)))
}

// queueTooLong reports whether the slot requests that go first are expected to
// take all slots that become free in the time that the slot request may wait.
func (svc *service) queueTooLong(req SlotRequest) bool {
	if len(svc.queue) == 0 || svc.slotTime == 0 {
		return false
	}
	ahead, _ := slices.BinarySearchFunc(svc.queue, req.Priority+1, func(w queuedRequest, priority int) int {
		return cmp.Compare(w.request.Priority, priority)
	})
	return float64(ahead+1) > float64(svc.slots)/svc.slotTime*svc.maxWait(req).Seconds()
}

// grantQueuedAt grants the free slots of one endpoint to the slot requests that
// wait for it, and to those that wait for any and for which it is now the best
// choice.
func (p *Pool) grantQueuedAt(now time.Time, svc *service, s *server) []Decision {
	var out []Decision
	for i := 0; i < len(svc.queue) && s.queuedFor+svc.queuedForAny > 0 && s.free(now); {
		w := svc.queue[i]
		if w.preferred != s && (w.preferred != nil || p.choose(now, svc, w.request) != s) || !eligible(now, s, w.request) {
			i++
			continue
		}
		svc.remove(i)
		out = append(out, p.grant(now, svc, s, w.request))
	}
	return out
}

// processQueue grants the slot requests whose preferred endpoint has a free
// slot, and grants or refuses those that may not wait any longer. Before that
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
			out = append(out, p.grant(now, svc, w.preferred, w.request))
		case now.Before(w.until):
			kept = append(kept, w)
		default:
			svc.countQueued(w, -1)
			out = append(out, p.grantNowOrRefuse(now, svc, w.request))
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
		svc.remove(i)
	}
}
