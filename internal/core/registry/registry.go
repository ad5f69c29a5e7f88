// Package registry decides what the system believes of endpoints: which
// announcement is newer, who leaves, who is cold and who was heard of lately.
//
// An endpoint's start is an incarnation: the start time orders incarnations of
// an ID, the sequence orders announcements within one. Leaving and being gone
// are final within an incarnation, whatever arrives later.
package registry

import (
	"cmp"
	"time"
)

// Endpoint is what an endpoint last said of itself.
type Endpoint struct {
	ID      string
	Address string
	Service string
	// Zone is the failure domain.
	Zone  string
	Slots int
	// Born is the time of its start in Unix milliseconds, on its own clock.
	Born     int64
	Sequence int64
	// Leaving says that it takes no new requests; Gone, that it is signed off.
	Leaving bool
	Gone    bool
	// Heard is when it was last heard of, on this VM's clock.
	Heard time.Time
	// ColdUntil is when it is warm, on this VM's clock.
	ColdUntil time.Time
}

// Registry holds the newest announcement of each endpoint. It is not safe for
// concurrent use.
type Registry struct {
	// forgetAfter is how long an endpoint that is silent or gone is remembered.
	forgetAfter time.Duration
	endpoints   map[string]*Endpoint
	// changes counts the announcements that changed what is believed; changed
	// holds the count at an endpoint's last change.
	changes uint64
	changed map[string]uint64
}

// New returns an empty registry.
func New(forgetAfter time.Duration) *Registry {
	return &Registry{
		forgetAfter: forgetAfter,
		endpoints:   make(map[string]*Endpoint),
		changed:     make(map[string]uint64),
	}
}

// Learn takes an announcement, of the endpoint itself or passed on. It reports
// whether it was news; an older one changes nothing.
func (r *Registry) Learn(e Endpoint) bool {
	old := r.endpoints[e.ID]
	if old != nil {
		switch order := cmp.Or(cmp.Compare(e.Born, old.Born), cmp.Compare(e.Sequence, old.Sequence)); {
		case e.Born == old.Born && (old.Gone || old.Leaving) && !e.Leaving:
			return false
		case e.Born == old.Born && e.Gone && !old.Gone:
			// A sign-off is news whatever its sequence.
		case order <= 0:
			return false
		}
	}
	r.displace(e)
	r.changes++
	r.endpoints[e.ID] = &e
	r.changed[e.ID] = r.changes
	return true
}

// displace ends the other endpoints at the address of a newer one.
func (r *Registry) displace(e Endpoint) {
	if e.Gone {
		return
	}
	for id, other := range r.endpoints {
		if id != e.ID && other.Address == e.Address && !other.Gone && other.Born < e.Born {
			other.Gone, other.Leaving = true, true
			r.changes++
			r.changed[id] = r.changes
		}
	}
}

// SignOff marks an endpoint as gone. It reports whether that was news.
func (r *Registry) SignOff(id string, now time.Time) (Endpoint, bool) {
	old := r.endpoints[id]
	if old == nil || old.Gone {
		return Endpoint{ID: id}, false
	}
	next := *old
	next.Gone, next.Leaving, next.Heard = true, true, now
	r.changes++
	r.endpoints[id] = &next
	r.changed[id] = r.changes
	return next, true
}

// Get returns an endpoint.
func (r *Registry) Get(id string) (Endpoint, bool) {
	e := r.endpoints[id]
	if e == nil {
		return Endpoint{}, false
	}
	return *e, true
}

// Since returns the endpoints that changed after a count, and the count now.
// A count of zero returns all.
func (r *Registry) Since(count uint64) ([]Endpoint, uint64) {
	if count == r.changes {
		return nil, count
	}
	var out []Endpoint
	for id, n := range r.changed {
		if n > count {
			out = append(out, *r.endpoints[id])
		}
	}
	return out, r.changes
}

// Sweep forgets the endpoints that were not heard of for long and returns them.
func (r *Registry) Sweep(now time.Time) []Endpoint {
	var forgotten []Endpoint
	for id, e := range r.endpoints {
		if now.Sub(e.Heard) > r.forgetAfter {
			forgotten = append(forgotten, *e)
			delete(r.endpoints, id)
			delete(r.changed, id)
		}
	}
	return forgotten
}
