package admission

import "time"

// State is what an endpoint says of itself.
type State uint8

const (
	// Starting means that the endpoint takes no work yet.
	Starting State = iota
	// Ready means that the endpoint takes work.
	Ready
	// Leaving means that the endpoint takes no new work and will end.
	Leaving
)

// Announcement is one report of an endpoint.
type Announcement struct {
	// ID identifies the endpoint.
	ID string
	// Incarnation grows with each start of the endpoint.
	Incarnation uint64
	// Sequence grows with each announcement of one incarnation.
	Sequence uint64
	// Address is the endpoint's IP:port.
	Address string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Connections is the number of connections that it accepts.
	Connections int
	// State says whether it takes work.
	State State
	// Load is the load that it reports, from 0 to 1. It is a hint.
	Load float64
}

// Announce takes in a report. A report of an earlier incarnation, or an older
// one of the same incarnation, is ignored, except that Leaving holds for its
// incarnation in whatever order it arrives.
func (g *Group) Announce(now time.Time, a Announcement) {
	e := g.byID[a.ID]
	switch {
	case e == nil:
		g.add(now, a)
	case a.Incarnation > e.incarnation:
		g.drop(e)
		g.add(now, a)
	case a.Incarnation < e.incarnation:
		return
	case a.State == Leaving:
		g.leave(now, e, a.Sequence)
	case a.Sequence > e.sequence:
		g.refresh(now, e, a)
	}
}

// Lost takes an endpoint out of use because its process was seen to be gone. A
// later announcement of the same incarnation brings it back, cold.
func (g *Group) Lost(now time.Time, id string, incarnation uint64) {
	e := g.byID[id]
	if e != nil && e.incarnation == incarnation {
		g.remove(now, e)
	}
}

// add records a new endpoint or a new incarnation of one.
func (g *Group) add(now time.Time, a Announcement) {
	e := newEndpoint(a, g.cfg)
	e.heard = now
	if g.since.IsZero() {
		g.since = now
	}
	if now.Sub(g.since) < g.cfg.SilentAfter {
		e.warm = 1 // a new owner meets endpoints that have long been at work
	}
	g.byID[a.ID] = e
	g.insert(e)
	if e.leaving {
		g.remove(now, e)
	}
}

// leave makes an endpoint leave for the rest of its incarnation.
func (g *Group) leave(now time.Time, e *endpoint, sequence uint64) {
	e.leaving = true
	e.sequence = max(e.sequence, sequence)
	g.remove(now, e)
}

// refresh takes in a newer report of the same incarnation.
func (g *Group) refresh(now time.Time, e *endpoint, a Announcement) {
	e.heard = now
	e.update(a, g.cfg)
	if e.gone && !e.leaving {
		e.gone = false
		e.chill(g.cfg)
		g.insert(e)
	}
}
