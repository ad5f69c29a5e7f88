package holdoff

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/registry"
)

const (
	// leavingKept is how long an endpoint that leaves is remembered after it last
	// said so. It has ended long before.
	leavingKept = 10 * time.Minute
	// maxEntries bounds the remembered endpoints. The one whose time ends first is
	// dropped for a new one.
	maxEntries = 4096
)

// Table holds the endpoints that get nothing from this gateway. It is not safe for
// concurrent use.
type Table struct {
	entries map[incarnation]entry
}

type incarnation struct {
	id            string
	startedMillis int64
}

type entry struct {
	service string
	// leavingUntil is until when the endpoint is remembered as leaving, and
	// pausedUntil when it may get requests again.
	leavingUntil, pausedUntil time.Time
}

// until is the time after which the entry holds nothing.
func (e entry) until() time.Time {
	if e.pausedUntil.After(e.leavingUntil) {
		return e.pausedUntil
	}
	return e.leavingUntil
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[incarnation]entry)} }

// Record records what an endpoint said about itself.
func (t *Table) Record(now time.Time, e registry.Endpoint, s registry.Signals) {
	if !s.Leaving && s.Pause <= 0 {
		return
	}
	key := incarnation{e.ID, e.StartedMillis}
	held, known := t.entries[key]
	if !known && len(t.entries) >= maxEntries {
		t.makeRoom(now)
	}
	held.service = e.Service
	if s.Leaving {
		held.leavingUntil = now.Add(leavingKept)
	}
	if until := now.Add(s.Pause); until.After(held.pausedUntil) {
		held.pausedUntil = until
	}
	t.entries[key] = held
}

// makeRoom drops the expired entries, or the one that expires first.
func (t *Table) makeRoom(now time.Time) {
	var first incarnation
	for key, e := range t.entries {
		if !now.Before(e.until()) {
			delete(t.entries, key)
		} else if old, ok := t.entries[first]; !ok || e.until().Before(old.until()) {
			first = key
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, first)
	}
}

// Holds reports whether the endpoint must get nothing now.
func (t *Table) Holds(now time.Time, e registry.Endpoint) bool {
	return now.Before(t.entries[incarnation{e.ID, e.StartedMillis}].until())
}

// Leaves reports whether the endpoint said that it leaves.
func (t *Table) Leaves(now time.Time, e registry.Endpoint) bool {
	return now.Before(t.entries[incarnation{e.ID, e.StartedMillis}].leavingUntil)
}

// Paused returns the sorted IDs of a service's endpoints that get nothing for a
// time.
func (t *Table) Paused(now time.Time, service string) []string {
	var out []string
	for key, e := range t.entries {
		if e.service == service && now.Before(e.pausedUntil) {
			out = append(out, key.id)
		}
	}
	slices.Sort(out)
	return out
}
