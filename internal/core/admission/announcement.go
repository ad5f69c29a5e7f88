package admission

import "time"

// State is the state that an endpoint announces.
type State uint8

const (
	// Starting means that the endpoint takes no requests yet.
	Starting State = iota
	// Ready means that the endpoint takes requests.
	Ready
	// Leaving means that the endpoint takes no new requests and will end.
	Leaving
)

// Announcement is one report of an endpoint on itself.
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
	// State says whether the endpoint takes requests.
	State State
	// Load is the load that the endpoint reports, from 0 to 1. It is a hint.
	Load float64
}

// Announce applies an announcement. Announcements of earlier incarnations,
// and stale ones of the same incarnation, are ignored. Leaving is the
// exception: it holds for the rest of its incarnation in whatever order the
// announcements arrive.
func (g *Group) Announce(now time.Time, a Announcement) {
	e := g.byID[a.ID]
	switch {
	case e == nil:
		g.add(now, a)
	case a.Incarnation > e.incarnation:
		g.takeOut(e)
		g.add(now, a)
	case a.Incarnation < e.incarnation:
		return
	case a.State == Leaving:
		g.leave(now, e, a.Sequence)
	case a.Sequence > e.sequence:
		g.refresh(now, e, a)
	}
}

// MarkLost retires an endpoint whose process was found to have ended. A later
// announcement of the same incarnation puts it back into use, cold.
func (g *Group) MarkLost(now time.Time, id string, incarnation uint64) {
	e := g.byID[id]
	if e != nil && e.incarnation == incarnation {
		g.retire(now, e)
	}
}

// add records a new endpoint or a new incarnation of one.
func (g *Group) add(now time.Time, a Announcement) {
	e := newEndpoint(a, g.cfg)
	e.lastAnnounced = now
	if g.firstAnnounced.IsZero() {
		g.firstAnnounced = now
	}
	if now.Sub(g.firstAnnounced) < g.cfg.UnresponsiveAfter {
		e.warm = 1 // the first endpoints of a new owner are assumed to have run long
	}
	g.byID[a.ID] = e
	g.insert(e)
	if e.leaving {
		g.retire(now, e)
	}
}

// leave retires an endpoint for the rest of its incarnation.
func (g *Group) leave(now time.Time, e *endpoint, sequence uint64) {
	e.leaving = true
	e.sequence = max(e.sequence, sequence)
	g.retire(now, e)
}

// refresh applies a newer announcement of the same incarnation.
func (g *Group) refresh(now time.Time, e *endpoint, a Announcement) {
	e.lastAnnounced = now
	e.update(a, g.cfg)
	if e.gone && !e.leaving {
		e.gone = false
		e.restartSlowStart(g.cfg)
		g.insert(e)
	}
}
