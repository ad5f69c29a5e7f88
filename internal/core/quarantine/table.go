package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// maxDeaths is the number of endpoint incarnations that one fingerprint may
// take down.
const maxDeaths = 2

// Table remembers runs, deaths and blame. It isn't safe for concurrent use.
type Table struct {
	cfg     Config
	records map[fingerprint.Fingerprint]*record
	proven  map[fingerprint.Fingerprint]time.Time
	// alive holds the latest start of an answered run by endpoint incarnation.
	alive map[incarnation]time.Time
	// heard holds when an incarnation last said something of itself.
	heard  map[incarnation]time.Time
	deaths []death
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:     cfg,
		records: make(map[fingerprint.Fingerprint]*record),
		proven:  make(map[fingerprint.Fingerprint]time.Time),
		alive:   make(map[incarnation]time.Time),
		heard:   make(map[incarnation]time.Time),
	}
}

// Check reports whether f is in quarantine and for how long it still would be.
// Each call with a positive result lengthens the quarantine to Hold: it lasts
// while callers go on asking.
func (t *Table) Check(now time.Time, f fingerprint.Fingerprint) (remaining time.Duration, quarantined bool) {
	r := t.records[f]
	if r == nil || !now.Before(r.until) {
		return 0, false
	}
	remaining = r.until.Sub(now)
	r.until = later(r.until, now.Add(t.cfg.Hold))
	r.asked = now
	return remaining, true
}

// Started asks for a run of f on an endpoint and records it when admitted. Like
// Check it lengthens the memory of f's deaths.
func (t *Table) Started(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint, service string) Admission {
	if _, quarantined := t.Check(now, f); quarantined || t.held(now, f) {
		return Refused
	}
	r := t.record(f)
	t.dropOldRuns(now, r)
	r.asked = now
	if !t.isProven(now, f) || len(r.deaths) > 0 {
		if a := r.admission(t.countDeaths(f, r) + t.harmful(now, r)); a != Admitted {
			return a
		}
	}
	r.service = service
	r.runs = append(r.runs, run{on: incarnation{endpoint, number}, started: now})
	return Admitted
}

// held reports whether another entry's suspicion keeps f from starting here.
func (t *Table) held(now time.Time, f fingerprint.Fingerprint) bool {
	r := t.records[f]
	return r != nil && now.Before(r.suspectUntil) && !t.isProven(now, f)
}

// harmful returns the runs that may yet turn out to end their endpoint: those
// under way, and those lost on an endpoint that hasn't shown since that it lives.
// One that was given up counts for Blame at most.
func (t *Table) harmful(now time.Time, r *record) int {
	n := 0
	for _, x := range r.runs {
		givenUp := !x.lost.IsZero() && !x.reset
		if givenUp && (t.livedOn(x) || now.Sub(x.lost) >= t.cfg.Blame) {
			continue
		}
		n++
	}
	return n
}

// admission decides from the number of deaths, those that may come included.
func (r *record) admission(deaths int) Admission {
	if deaths < maxDeaths {
		return Admitted
	}
	if r.underWay() > 0 {
		return Wait
	}
	return Refused
}

func (r *record) underWay() int {
	n := 0
	for _, x := range r.runs {
		if x.lost.IsZero() {
			n++
		}
	}
	return n
}

// Ended records the end of an admitted run. An answer clears f of all blame
// that is no quarantine yet.
func (t *Table) Ended(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint, end End) Change {
	r := t.records[f]
	on := incarnation{endpoint, number}
	if r == nil {
		return Change{}
	}
	i := slices.IndexFunc(r.runs, func(x run) bool { return x.on == on && x.lost.IsZero() })
	if i < 0 {
		return Change{}
	}
	if (end == Lost || end == Reset) && len(t.records) <= t.cfg.MaxEntries {
		r.runs[i].lost = now
		r.runs[i].reset = end == Reset
		return t.suspected(now, f, end)
	}
	started := r.runs[i].started
	r.runs = slices.Delete(r.runs, i, i+1)
	var c Change
	if end == Answered {
		t.alive[on] = later(t.alive[on], started)
		c = t.answered(now, f, r)
	}
	t.forgetIdle(now, f, r)
	return c
}

// Heard notes that an endpoint incarnation said something of itself just now.
func (t *Table) Heard(now time.Time, endpoint string, number uint64) {
	t.heard[incarnation{endpoint, number}] = now
}

// Left notes that an endpoint incarnation leaves: its silence is no death.
func (t *Table) Left(endpoint string, number uint64) {
	delete(t.heard, incarnation{endpoint, number})
}

// suspected tells the other entries of a reset; fingerprints that are only
// given up are too many under overload.
func (t *Table) suspected(now time.Time, f fingerprint.Fingerprint, end End) Change {
	if end != Reset || t.isProven(now, f) {
		return Change{}
	}
	return Change{Suspected: []fingerprint.Fingerprint{f}}
}

// answered takes the blame from f, unless it is in quarantine already.
func (t *Table) answered(now time.Time, f fingerprint.Fingerprint, r *record) Change {
	if now.Before(r.until) {
		return Change{}
	}
	t.prove(now, f)
	reset := slices.ContainsFunc(r.runs, func(x run) bool { return x.reset })
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return !x.lost.IsZero() })
	suspected := len(r.deaths) > 0 || reset
	r.deaths = nil
	r.countFrom = time.Time{}
	if suspected {
		return Change{Lifted: []fingerprint.Fingerprint{f}}
	}
	return Change{}
}

// Add puts f into quarantine for d, as another entry or an operator asks.
func (t *Table) Add(now time.Time, f fingerprint.Fingerprint, d time.Duration) {
	r := t.record(f)
	r.until = later(r.until, now.Add(d))
	r.spread = true
	delete(t.proven, f)
}

// Suspect holds f back for d because an endpoint died with it at another entry,
// which alone may try it again. A fingerprint that is proven here isn't held.
func (t *Table) Suspect(now time.Time, f fingerprint.Fingerprint, d time.Duration) {
	r := t.record(f)
	r.suspectUntil = later(r.suspectUntil, now.Add(d))
}

// Lift takes f out of quarantine and forgets all blame.
func (t *Table) Lift(f fingerprint.Fingerprint) {
	r := t.records[f]
	if r == nil {
		return
	}
	r.until = time.Time{}
	r.suspectUntil = time.Time{}
	r.spread = false
	r.deaths = nil
	r.countFrom = time.Time{}
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return !x.lost.IsZero() })
}

// List returns the fingerprints in quarantine, in the order of their bytes.
func (t *Table) List(now time.Time) []Entry {
	var all []Entry
	for f, r := range t.records {
		if now.Before(r.until) {
			all = append(all, Entry{Fingerprint: f, Service: r.service, Remaining: r.until.Sub(now), Version: r.changed})
		}
	}
	slices.SortFunc(all, func(a, b Entry) int {
		return slices.Compare(a.Fingerprint[:], b.Fingerprint[:])
	})
	return all
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
