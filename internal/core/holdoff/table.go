package holdoff

import (
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
	until time.Time
}

// New returns an empty table.
func New() *Table { return &Table{entries: make(map[incarnation]entry)} }

// Record records what an endpoint said about itself.
func (t *Table) Record(now time.Time, e registry.Endpoint, s registry.Signals) {
	if s.Leaving {
		t.hold(now, e, leavingKept)
	}
}

func (t *Table) hold(now time.Time, e registry.Endpoint, d time.Duration) {
	key := incarnation{e.ID, e.StartedMillis}
	old, known := t.entries[key]
	if !known && len(t.entries) >= maxEntries {
		t.makeRoom(now)
	}
	until := now.Add(d)
	if old.until.After(until) {
		until = old.until
	}
	t.entries[key] = entry{until}
}

// makeRoom drops the expired entries, or the one that expires first.
func (t *Table) makeRoom(now time.Time) {
	var first incarnation
	for key, e := range t.entries {
		if !now.Before(e.until) {
			delete(t.entries, key)
		} else if old, ok := t.entries[first]; !ok || e.until.Before(old.until) {
			first = key
		}
	}
	if len(t.entries) >= maxEntries {
		delete(t.entries, first)
	}
}

// Holds reports whether the endpoint must get nothing now.
func (t *Table) Holds(now time.Time, e registry.Endpoint) bool {
	return now.Before(t.entries[incarnation{e.ID, e.StartedMillis}].until)
}
