// Package registry decides which announcement of an endpoint is the newest, and
// when an endpoint is removed.
//
// Each start of an endpoint is an incarnation. The start time orders the
// incarnations of an ID, the sequence orders the announcements within one. An
// endpoint that announced that it is leaving, or that is gone, takes no new
// requests for the rest of its incarnation, whatever arrives until it is removed.
package registry

import (
	"cmp"
	"time"
)

// Endpoint is the newest announcement of an endpoint.
type Endpoint struct {
	ID      string
	Address string
	Service string
	// Zone is the failure domain.
	Zone  string
	Slots int
	// StartedMillis is the start time of the incarnation, in Unix milliseconds on
	// the endpoint's clock. Of a deregistered endpoint it is the latest start that the
	// deregistration ends.
	StartedMillis int64
	// Sequence increases with each announcement of the incarnation.
	Sequence int64
	// Leaving says that the endpoint takes no new requests; Gone, that it was
	// deregistered or that a newer endpoint has its address.
	Leaving bool
	Gone    bool
	// LastSeen is the time of the announcement or deregistration, on this VM's
	// clock.
	LastSeen time.Time
	// ColdUntil is when the slow start of the endpoint ends, on this VM's clock.
	ColdUntil time.Time
}

// Signals is what an endpoint says about itself in an answer to a request.
type Signals struct {
	// Limited means that the endpoint named the rate that it takes from all VMs
	// together, Limit, in requests per second.
	Limited bool
	Limit   float64
	// Leaving means that the endpoint takes no new requests.
	Leaving bool
	// Pause is the time for which the endpoint wants nothing from the VM that it
	// answered; 0 if it didn't say so.
	Pause time.Duration
	// Load is the load that the endpoint reported.
	Load Load
}

// Load is what an endpoint reports of its load.
type Load struct {
	// Known is false if it reported none.
	Known bool
	// Running and Waiting count its requests, and Slots those that it runs at a time.
	Running, Waiting, Slots int
	// Pace is how long work takes on the endpoint's machine at the moment, as a multiple
	// of the usual time.
	Pace float64
}

// Registry holds the newest announcement of each endpoint. It is not safe for
// concurrent use.
type Registry struct {
	// retention is how long an endpoint is kept after its last announcement or
	// deregistration.
	retention time.Duration
	endpoints map[string]*Endpoint
	// revision increases with each change of an endpoint; changedAt holds the
	// revision of each endpoint's last change.
	revision  uint64
	changedAt map[string]uint64
}

// New returns an empty registry that keeps an endpoint for the retention after its
// last announcement or deregistration.
func New(retention time.Duration) *Registry {
	return &Registry{
		retention: retention,
		endpoints: make(map[string]*Endpoint),
		changedAt: make(map[string]uint64),
	}
}

// Record records an announcement that the endpoint sent or another VM
// forwarded. It returns false, and changes nothing, if the announcement isn't
// newer than the recorded one or would make a leaving or gone endpoint ready
// again. That the recorded incarnation leaves or is gone applies whatever the
// sequence.
func (r *Registry) Record(e Endpoint) bool {
	old := r.endpoints[e.ID]
	if old != nil {
		switch order := cmp.Or(cmp.Compare(e.StartedMillis, old.StartedMillis), cmp.Compare(e.Sequence, old.Sequence)); {
		case e.StartedMillis == old.StartedMillis && (old.Gone || old.Leaving) && !e.Leaving:
			return false
		case e.StartedMillis == old.StartedMillis && (e.Gone && !old.Gone || e.Leaving && !old.Leaving):
			// An endpoint doesn't return from leaving, so that it leaves or is gone
			// is accepted with any sequence.
		case order <= 0:
			return false
		}
	}
	r.endReplaced(e)
	r.revision++
	r.endpoints[e.ID] = &e
	r.changedAt[e.ID] = r.revision
	return true
}

// ReplacedBy returns the recorded endpoints that have ended if e's announcement
// is true: an earlier incarnation of e, and other endpoints at e's address that
// started before e.
func (r *Registry) ReplacedBy(e Endpoint) []Endpoint {
	if e.Gone {
		return nil
	}
	var out []Endpoint
	for id, other := range r.endpoints {
		if (id == e.ID || other.Address == e.Address) && !other.Gone && other.StartedMillis < e.StartedMillis {
			out = append(out, *other)
		}
	}
	return out
}

// endReplaced marks the other endpoints at e's address that started before e as
// gone.
func (r *Registry) endReplaced(e Endpoint) {
	for _, other := range r.ReplacedBy(e) {
		if other.ID != e.ID {
			ended := r.endpoints[other.ID]
			ended.Gone, ended.Leaving = true, true
			r.revision++
			r.changedAt[other.ID] = r.revision
		}
	}
}

// Deregistered returns the record by which all incarnations of an ID that started until
// startedUntil, in Unix milliseconds, are gone, whether the ID is known or not. A later
// incarnation may use the ID again. Record stores it.
func (r *Registry) Deregistered(id string, startedUntil int64, now time.Time) Endpoint {
	e, _ := r.Get(id)
	e.ID, e.Leaving, e.Gone, e.LastSeen = id, true, true, now
	e.StartedMillis = max(e.StartedMillis, startedUntil)
	return e
}

// Ended returns the endpoints that leave or are gone.
func (r *Registry) Ended() []Endpoint {
	var out []Endpoint
	for _, e := range r.endpoints {
		if e.Leaving || e.Gone {
			out = append(out, *e)
		}
	}
	return out
}

// UnknownCount returns the number of deregistered IDs of which no announcement is known.
func (r *Registry) UnknownCount() int {
	n := 0
	for _, e := range r.endpoints {
		if e.Gone && e.Service == "" {
			n++
		}
	}
	return n
}

// MarkLeaving marks the endpoint's incarnation as leaving and returns it. It
// returns false if the incarnation isn't the recorded one or already leaves.
func (r *Registry) MarkLeaving(id string, startedMillis int64, now time.Time) (Endpoint, bool) {
	old := r.endpoints[id]
	if old == nil || old.StartedMillis != startedMillis || old.Leaving {
		return Endpoint{ID: id}, false
	}
	next := *old
	next.Leaving, next.LastSeen = true, now
	r.Record(next)
	return next, true
}

// Get returns an endpoint by its ID; false if it is unknown.
func (r *Registry) Get(id string) (Endpoint, bool) {
	e := r.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// Since returns the endpoints that changed after a revision, and the current
// revision. Zero returns all endpoints. Removals by Sweep are not reported.
func (r *Registry) Since(after uint64) ([]Endpoint, uint64) {
	if after == r.revision {
		return nil, after
	}
	var out []Endpoint
	for id, n := range r.changedAt {
		if n > after {
			out = append(out, *r.endpoints[id])
		}
	}
	return out, r.revision
}

// Sweep removes the endpoints whose last announcement or deregistration is
// older than the retention, and returns them.
func (r *Registry) Sweep(now time.Time) []Endpoint {
	var removed []Endpoint
	for id, e := range r.endpoints {
		if now.Sub(e.LastSeen) > r.retention {
			removed = append(removed, *e)
			delete(r.endpoints, id)
			delete(r.changedAt, id)
		}
	}
	return removed
}
