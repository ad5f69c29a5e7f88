package dispatch

import "time"

// Use describes the use of one service's slots.
type Use struct {
	// Slots counts the slots of the endpoints that this pool uses now, Busy
	// the slots in use, and Waiting the queued slot requests.
	Slots, Busy, Waiting int
	// Lent and Borrowed count endpoints.
	Lent, Borrowed int
	// KeptObjects is the estimated number of objects that an endpoint keeps
	// warm.
	KeptObjects int
	Reports     Reports
	Limits      Limits
}

// Use returns the pool's use, by service name.
func (p *Pool) Use(now time.Time) map[string]Use {
	out := make(map[string]Use, len(p.services))
	for name, svc := range p.services {
		u := Use{Waiting: len(svc.queue), KeptObjects: svc.kept.limit}
		for _, s := range svc.servers {
			u.Busy += s.inFlight
			u.Reports.add(now, s)
			u.Limits.add(now, s)
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
		u.Limits.setMeans(svc.curve)
		out[name] = u
	}
	return out
}
