package dispatch

import "time"

// Use is how much of a service's slots is in use.
type Use struct {
	// Slots are those that this pool grants now; Busy, those in use; Waiting, the
	// asks that wait.
	Slots, Busy, Waiting int
	// Lent and Borrowed count endpoints.
	Lent, Borrowed int
	// KeptObjects is the number of objects that an endpoint is taken to keep warm.
	KeptObjects int
}

// Use returns the use of the pool by service.
func (p *Pool) Use(now time.Time) map[string]Use {
	out := make(map[string]Use, len(p.services))
	for name, svc := range p.services {
		u := Use{Waiting: len(svc.queue), KeptObjects: svc.kept.limit}
		for _, s := range svc.servers {
			u.Busy += s.inFlight
			switch {
			case s.usable(now) && !s.own:
				u.Borrowed++
				u.Slots += s.endpoint.Slots
			case s.usable(now):
				u.Slots += s.endpoint.Slots
			case s.own && s.lentTo != "":
				u.Lent++
			}
		}
		out[name] = u
	}
	return out
}
