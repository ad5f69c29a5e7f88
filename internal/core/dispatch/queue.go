package dispatch

import (
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
	w.wants(1)
}

// wants counts an ask at the endpoint that it waits for.
func (w waiting) wants(n int) {
	if w.want != nil {
		w.want.wanted += n
	}
}

// remove takes an ask out of the queue.
func (svc *service) remove(i int) {
	svc.queue[i].wants(-1)
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
func (svc *service) hopeless(now time.Time, a Ask) bool {
	if len(svc.queue) == 0 || svc.took == 0 {
		return false
	}
	ahead := 0
	for _, w := range svc.queue {
		if w.ask.Priority <= a.Priority {
			ahead++
		}
	}
	return float64(ahead+1) > svc.rate(now)*svc.maxWait(a).Seconds()
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

// serveAt grants the free slots of one endpoint to those that wait for it, for
// any, or for another one although this keeps their object too.
func (p *Pool) serveAt(now time.Time, svc *service, s *server) []Decision {
	var out []Decision
	for i := 0; i < len(svc.queue) && s.free(now); {
		w := svc.queue[i]
		suits := w.want == s || svc.keeps(s, w.ask.object()) || w.want == nil && p.choose(now, svc, w.ask) == s
		if !suits || !fits(now, s, w.ask) {
			i++
			continue
		}
		svc.remove(i)
		out = append(out, p.grant(now, svc, s, w.ask))
	}
	return out
}

// serve looks at each ask of a queue anew: what it waits for may have changed,
// and its time may be over.
func (p *Pool) serve(now time.Time, svc *service) []Decision {
	var out []Decision
	queue := svc.queue
	svc.queue = nil
	for _, w := range queue {
		w.wants(-1)
	}
	for _, w := range queue {
		w.want = p.choose(now, svc, w.ask)
		switch {
		case w.want != nil && w.want.free(now):
			out = append(out, p.grant(now, svc, w.want, w.ask))
		case now.Before(w.until):
			w.wants(1)
			svc.queue = append(svc.queue, w)
		default:
			out = append(out, p.lastResort(now, svc, w.ask))
		}
	}
	return out
}

// Cancel takes an ask out of its queue.
func (p *Pool) Cancel(serviceName, id string) {
	svc := p.service(serviceName)
	if i := slices.IndexFunc(svc.queue, func(w waiting) bool { return w.ask.ID == id }); i >= 0 {
		svc.remove(i)
	}
}
