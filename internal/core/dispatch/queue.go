package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// waiting is an ask in a queue.
type waiting struct {
	ask   Ask
	until time.Time
	// want is the endpoint that it waits for; nil if any will do.
	want *server
}

// enqueue adds an ask behind those of its priority.
func (svc *service) enqueue(w waiting) {
	at := len(svc.queue)
	for at > 0 && svc.queue[at-1].ask.Priority > w.ask.Priority {
		at--
	}
	svc.queue = slices.Insert(svc.queue, at, w)
	svc.wants(w, 1)
}

// wants counts an ask at the endpoint that it waits for.
func (svc *service) wants(w waiting, n int) {
	if w.want != nil {
		w.want.wanted += n
	} else {
		svc.undecided += n
	}
}

// remove takes an ask out of the queue.
func (svc *service) remove(i int) {
	svc.wants(svc.queue[i], -1)
	svc.queue = slices.Delete(svc.queue, i, i+1)
}

// maxWait is how long an ask may wait: as long as the answer can still be in
// time if its object is warm, and a little if it can't.
func (svc *service) maxWait(a Ask) time.Duration {
	run := time.Duration(svc.kind(a).expected(a.object() != "") * float64(time.Second))
	return max(a.Target-run, time.Duration(waitShare*float64(a.Target)))
}

// hopeless says whether the requests that go first will take all slots that
// come free in the time that the ask may wait.
func (svc *service) hopeless(a Ask) bool {
	if len(svc.queue) == 0 || svc.took == 0 {
		return false
	}
	ahead, _ := slices.BinarySearchFunc(svc.queue, a.Priority+1, func(w waiting, priority int) int {
		return cmp.Compare(w.ask.Priority, priority)
	})
	return float64(ahead+1) > float64(svc.slots)/svc.took*svc.maxWait(a).Seconds()
}

// serveAt grants the free slots of one endpoint to those that wait for it or for
// any.
func (p *Pool) serveAt(now time.Time, svc *service, s *server) []Decision {
	var out []Decision
	for i := 0; i < len(svc.queue) && s.wanted+svc.undecided > 0 && s.free(now); {
		w := svc.queue[i]
		if w.want != s && (w.want != nil || p.choose(now, svc, w.ask) != s) || !fits(now, s, w.ask) {
			i++
			continue
		}
		svc.remove(i)
		out = append(out, p.grant(now, svc, s, w.ask))
	}
	return out
}

// serve ends the waits whose time is over, and looks anew at some of the others:
// what they wait for may have changed. Those that wait for nothing, or for an
// endpoint that isn't usable any more, are always looked at.
func (p *Pool) serve(now time.Time, svc *service) []Decision {
	var out []Decision
	n := len(svc.queue)
	looks := min(n, mostLooks)
	first := svc.turn
	svc.turn += looks
	kept := svc.queue[:0]
	for i, w := range svc.queue {
		due := (i-first%max(n, 1)+n)%max(n, 1) < looks
		if due || w.want == nil || !w.want.usable(now) {
			svc.wants(w, -1)
			w.want = p.choose(now, svc, w.ask)
			svc.wants(w, 1)
		}
		switch {
		case w.want != nil && w.want.free(now):
			svc.wants(w, -1)
			out = append(out, p.grant(now, svc, w.want, w.ask))
		case now.Before(w.until):
			kept = append(kept, w)
		default:
			svc.wants(w, -1)
			out = append(out, p.lastResort(now, svc, w.ask))
		}
	}
	clear(svc.queue[len(kept):])
	svc.queue = kept
	return out
}

// Cancel takes an ask out of its queue.
func (p *Pool) Cancel(serviceName, id string) {
	svc := p.service(serviceName)
	if i := slices.IndexFunc(svc.queue, func(w waiting) bool { return w.ask.ID == id }); i >= 0 {
		svc.remove(i)
	}
}
