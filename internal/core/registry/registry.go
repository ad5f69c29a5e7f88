// Package registry decides which announcement of an endpoint is the newest, and
// when an endpoint is removed.
//
// Each start of an endpoint is an incarnation. The start time orders the
// incarnations of an ID, the sequence orders the announcements within one. An
// endpoint that announced that it is leaving, or that is gone, takes no new
// requests for the rest of its incarnation, whatever arrives until it is removed.
//
// An endpoint whose address a later one announces is replaced. That is no part of
// its record: it is derived from the announcements and the configuration in force,
// since the later announcement may turn out to be of no use or false.
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
	// deregistered.
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
	// services are the services that the configuration in force names; nil while none is
	// known, which then counts as naming all.
	services  map[string]bool
	endpoints map[string]*record
	// byAddress holds the IDs of the endpoints at each address.
	byAddress map[string]map[string]bool
	// replacements are the changes since the last TakeReplacements.
	replacements []Replacement
	// revision increases with each change of an endpoint; changedAt holds the
	// revision of each endpoint's last change.
	revision  uint64
	changedAt map[string]uint64
}

// record is an endpoint with what the registry derives from other endpoints.
type record struct {
	Endpoint
	// firstSeen is when the incarnation was first announced.
	firstSeen time.Time
	// announcedStart is the start time that the endpoint announced last; a deregistration
	// leaves it as it is.
	announcedStart int64
	// replacedBy is the ID of the endpoint that has its address; empty if it is in use.
	replacedBy string
}

// New returns an empty registry that keeps an endpoint for the retention after its
// last announcement or deregistration.
func New(retention time.Duration) *Registry {
	return &Registry{
		retention: retention,
		endpoints: make(map[string]*record),
		byAddress: make(map[string]map[string]bool),
		changedAt: make(map[string]uint64),
	}
}

// SetServices sets the services that the configuration in force names, and decides again
// which endpoints are replaced.
func (r *Registry) SetServices(names []string) {
	r.services = make(map[string]bool, len(names))
	for _, name := range names {
		r.services[name] = true
	}
	for address, ids := range r.byAddress {
		if len(ids) > 1 {
			r.updateReplaced(address)
		}
	}
}

// Names reports whether the configuration in force names a service, so that its endpoints can be
// used.
func (r *Registry) Names(service string) bool { return r.services == nil || r.services[service] }

// Record records an announcement that the endpoint sent or another VM
// forwarded. It returns false, and changes nothing, if the announcement isn't
// newer than the recorded one, would make a leaving or gone endpoint ready
// again, or is refused by Refuses. That the recorded incarnation leaves or is gone
// applies whatever the sequence.
func (r *Registry) Record(e Endpoint) bool {
	old := r.endpoints[e.ID]
	if old != nil && !r.isNewer(e, old) {
		return false
	}
	next := &record{Endpoint: e, firstSeen: e.LastSeen, announcedStart: e.StartedMillis}
	if old != nil {
		if e.Gone {
			next.announcedStart = old.announcedStart
		}
		if old.announcedStart == next.announcedStart && old.Address == e.Address {
			next.firstSeen, next.replacedBy = old.firstSeen, old.replacedBy
		}
		if old.Address != e.Address {
			r.removeAddress(old.Address, e.ID)
		}
	}
	r.revision++
	r.endpoints[e.ID] = next
	r.changedAt[e.ID] = r.revision
	if e.Address != "" {
		if r.byAddress[e.Address] == nil {
			r.byAddress[e.Address] = make(map[string]bool)
		}
		r.byAddress[e.Address][e.ID] = true
		r.updateReplaced(e.Address)
	}
	return true
}

// isNewer reports whether an announcement takes the place of the recorded one of its ID.
func (r *Registry) isNewer(e Endpoint, old *record) bool {
	switch order := cmp.Or(cmp.Compare(e.StartedMillis, old.StartedMillis), cmp.Compare(e.Sequence, old.Sequence)); {
	case r.Refuses(e):
		return false
	case r.Names(e.Service) && !r.Names(old.Service) && !old.Gone:
		// An announcement of no use doesn't hold the ID.
		return true
	case e.StartedMillis == old.StartedMillis && (old.Gone || old.Leaving) && !e.Leaving:
		return false
	case e.StartedMillis == old.StartedMillis && (e.Gone && !old.Gone || e.Leaving && !old.Leaving):
		// An endpoint doesn't return from leaving, so that it leaves or is gone
		// is accepted with any sequence.
		return true
	default:
		return order > 0
	}
}

// Refuses reports whether an announcement is refused because the configuration in force
// doesn't name its service, while it names that of the recorded endpoint with this ID: an
// endpoint that can't be used doesn't end one that can. A deregistration is never refused.
func (r *Registry) Refuses(e Endpoint) bool {
	old := r.endpoints[e.ID]
	return old != nil && !e.Gone && !old.Gone && !r.Names(e.Service) && r.Names(old.Service)
}

// Covers reports whether the registry holds what an announcement says: one that the endpoint
// leaves or is gone is covered only if its incarnation is out of use.
func (r *Registry) Covers(e Endpoint) bool {
	have := r.endpoints[e.ID]
	switch {
	case have == nil || r.Refuses(e):
		return false
	case e.Leaving || e.Gone:
		return have.Leaving || have.Gone
	default:
		return true
	}
}

// Replacement is a change in whether another endpoint has an endpoint's address.
type Replacement struct {
	Endpoint Endpoint
	// By is the endpoint that has the address. Its ID is empty if the endpoint is in use
	// again.
	By Endpoint
}

// replacementProof is how long after the first announcement of a later endpoint at its
// address an endpoint must announce itself to show that it has not ended. Announcements from
// before its end arrive sooner.
const replacementProof = 5 * time.Second

// Replaced reports whether another endpoint has the endpoint's address. This follows from the
// announcements and the configuration in force, so that it may change with either.
func (r *Registry) Replaced(id string) bool {
	e := r.endpoints[id]
	return e != nil && e.replacedBy != ""
}

// TakeReplacements returns the changes in which endpoints are replaced since its last call.
func (r *Registry) TakeReplacements() []Replacement {
	out := r.replacements
	r.replacements = nil
	return out
}

// updateReplaced decides which endpoints at an address are replaced.
func (r *Registry) updateReplaced(address string) {
	for id := range r.byAddress[address] {
		e, by := r.endpoints[id], ""
		for other := range r.byAddress[address] {
			o := r.endpoints[other]
			if r.replaces(o, e) && (by == "" || o.announcedStart > r.endpoints[by].announcedStart) {
				by = other
			}
		}
		if (by == "") != (e.replacedBy == "") {
			change := Replacement{Endpoint: e.Endpoint}
			if by != "" {
				change.By = r.endpoints[by].Endpoint
			}
			r.replacements = append(r.replacements, change)
		}
		e.replacedBy = by
	}
}

// replaces reports whether o, at the same address as e, shows that e has ended: it started
// later, and e hasn't announced itself since. An endpoint of a service that the
// configuration doesn't name shows nothing about one that can be used.
func (r *Registry) replaces(o, e *record) bool {
	switch {
	case o.announcedStart <= e.announcedStart || r.Names(e.Service) && !r.Names(o.Service):
		return false
	default:
		return e.LastSeen.Sub(o.firstSeen) < replacementProof
	}
}

// removeAddress removes an endpoint from those at an address.
func (r *Registry) removeAddress(address, id string) {
	ids := r.byAddress[address]
	delete(ids, id)
	if len(ids) == 0 {
		delete(r.byAddress, address)
	} else {
		r.updateReplaced(address)
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
			out = append(out, e.Endpoint)
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
	next := old.Endpoint
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
	return e.Endpoint, true
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
			out = append(out, r.endpoints[id].Endpoint)
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
			removed = append(removed, e.Endpoint)
			delete(r.endpoints, id)
			delete(r.changedAt, id)
			r.removeAddress(e.Address, id)
		}
	}
	return removed
}
