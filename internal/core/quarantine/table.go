package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// maxDeaths is the number of endpoint incarnations that one fingerprint may
// take down.
const maxDeaths = 2

// Config sets the times and bounds of a Table.
type Config struct {
	// Hold is how long after it was last asked for a fingerprint stays in
	// quarantine, and its deaths are remembered.
	Hold time.Duration
	// Blame is how long a lost run holds its fingerprint back. It must be longer
	// than it takes to notice that an endpoint is gone.
	Blame time.Duration
	// Late is how long after a run was given up a death is blamed on it.
	Late time.Duration
	// Settle is how long after a run was given up its endpoint must have started
	// another request, and answered it, to show that the run did not harm it.
	Settle time.Duration
	// Proven is how long after an answer a fingerprint counts as harmless.
	Proven time.Duration
	// Window is the time in which deaths belong to one wider failure.
	Window time.Duration
	// WiderDeaths is the number of deaths without the fingerprint, within
	// Window, that make a failure a wider one.
	WiderDeaths int
	// MaxEntries bounds the fingerprints that are remembered as suspects, and
	// likewise those remembered as proven.
	MaxEntries int
}

// DefaultConfig returns the settings that entries use.
func DefaultConfig() Config {
	return Config{
		Hold:        5 * time.Minute,
		Blame:       5 * time.Second,
		Late:        time.Minute,
		Settle:      time.Second,
		Proven:      time.Minute,
		Window:      2 * time.Second,
		WiderDeaths: 3,
		MaxEntries:  10_000,
	}
}

// End says how a run ended.
type End uint8

const (
	// Lost means that the run was given up, and nobody knows how it ended. It is
	// the zero value.
	Lost End = iota
	// Reset means that the endpoint's side of the connection broke.
	Reset
	// Answered means that the endpoint answered.
	Answered
	// NotStarted means that the endpoint certainly did not start the request.
	NotStarted
)

// Admission says whether a run may start.
type Admission uint8

const (
	// Refused means that the fingerprint is in quarantine or held back. It is
	// the zero value.
	Refused Admission = iota
	// Wait means that as many runs are under way as may be; when one ends the
	// request may be tried again.
	Wait
	// Admitted means that the run has started and must be ended by Ended.
	Admitted
)

// Change lists the fingerprints whose state changed and must be spread to the
// other entries.
type Change struct {
	// Suspected had their connection reset, or have their first death. Other
	// entries hold them back: for Blame after a reset and for Hold after a death.
	// They must know before the caller does, or its resend may reach an entry
	// that doesn't.
	Suspected []fingerprint.Fingerprint
	// Quarantined went into quarantine.
	Quarantined []fingerprint.Fingerprint
	// Lifted are free of blame again.
	Lifted []fingerprint.Fingerprint
}

// Entry is one fingerprint in quarantine.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Service is the service that was asked for; empty when another entry
	// reported the fingerprint.
	Service string
	// Remaining is how long the quarantine lasts, counted from the listing.
	Remaining time.Duration
	// Suspected says that the fingerprint is no more than held back.
	Suspected bool
	// Version is that of the newest change.
	Version uint64
}

// incarnation is one life of an endpoint.
type incarnation struct {
	endpoint string
	number   uint64
}

// run is one request on one endpoint.
type run struct {
	on      incarnation
	started time.Time
	// lost is when the run's end was lost; zero while it is under way. reset says
	// that the connection broke.
	lost  time.Time
	reset bool
}

// blame is a death that happened with the fingerprint in flight.
type blame struct {
	on incarnation
	at time.Time
}

// record is what is known of one fingerprint that isn't idle.
type record struct {
	service string
	runs    []run
	deaths  []blame
	// countFrom is the time after which runs must have started to be blamed;
	// zero means any.
	countFrom time.Time
	// asked is when the fingerprint was last asked for, or blamed.
	asked time.Time
	// until is the end of the quarantine; spread says that another entry asked
	// for it, and suspectUntil the end of the hold for another entry's suspect.
	until        time.Time
	spread       bool
	suspectUntil time.Time
	order
}

// death is one endpoint incarnation that died.
type death struct {
	on     incarnation
	at     time.Time
	blamed []fingerprint.Fingerprint
}

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
