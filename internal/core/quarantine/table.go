package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// maxDeaths is the number of endpoint incarnations that one fingerprint may
// crash.
const maxDeaths = 2

// Table records runs, deaths and the fingerprints to which they are attributed.
// It isn't safe for concurrent use.
type Table struct {
	cfg     Config
	records map[fingerprint.Fingerprint]*record
	proven  map[fingerprint.Fingerprint]time.Time
	// answeredRunStart holds the latest start of an answered run by endpoint
	// incarnation.
	answeredRunStart map[incarnation]time.Time
	// lastAnswer holds when an endpoint incarnation last answered.
	lastAnswer map[incarnation]time.Time
	// lastReport holds when an endpoint incarnation last reported itself.
	lastReport map[incarnation]time.Time
	// lastReset holds when a run on an endpoint incarnation was last recorded as reset.
	lastReset map[incarnation]time.Time
	// left holds when an endpoint incarnation announced that it leaves.
	left   map[incarnation]time.Time
	deaths []death
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{
		cfg:              cfg,
		records:          make(map[fingerprint.Fingerprint]*record),
		proven:           make(map[fingerprint.Fingerprint]time.Time),
		answeredRunStart: make(map[incarnation]time.Time),
		lastAnswer:       make(map[incarnation]time.Time),
		lastReport:       make(map[incarnation]time.Time),
		lastReset:        make(map[incarnation]time.Time),
		left:             make(map[incarnation]time.Time),
	}
}

// Check reports whether f is in quarantine, and the time that is left of it.
// Each call with a positive result extends the quarantine to Hold from now, so
// that it lasts while callers keep sending the request.
func (t *Table) Check(now time.Time, f fingerprint.Fingerprint) (remaining time.Duration, quarantined bool) {
	r := t.records[f]
	if r == nil || !now.Before(r.quarantinedUntil) {
		return 0, false
	}
	remaining = r.quarantinedUntil.Sub(now)
	r.quarantinedUntil = later(r.quarantinedUntil, now.Add(t.cfg.Hold))
	r.lastRequested = now
	return remaining, true
}

// StartRun decides whether a run of f on an endpoint may start, and records it
// if admitted. Like Check, it extends the time for which the deaths of f are
// remembered, except while f is refused because another entry suspects it.
func (t *Table) StartRun(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint, service string) Admission {
	if _, quarantined := t.Check(now, f); quarantined || t.suspectedByPeer(now, f) {
		return Refused
	}
	r := t.record(f)
	t.dropOldRuns(now, r)
	r.lastRequested = now
	if !t.isProven(now, f) || len(r.deaths) > 0 {
		if a := r.admission(t.countDeaths(f, r) + t.unresolvedRuns(now, r)); a != Admitted {
			return a
		}
	}
	t.addRun(now, endpoint, number, r, service)
	return Admitted
}

func (t *Table) addRun(now time.Time, endpoint string, number uint64, r *record, service string) {
	r.service = service
	r.runs = append(r.runs, run{on: incarnation{endpoint, number}, started: now})
}

// MayStart reports whether a run of f may start, for owners that don't limit the
// runs of requests without an answer: it is false in quarantine, and while the
// deaths of f and the endpoints that reset a connection of f and have shown no
// evidence of liveness since amount to maxDeaths. A proven fingerprint without deaths is
// allowed one such endpoint more, and those don't count that were lost with others.
// Like Check, it extends a quarantine.
func (t *Table) MayStart(now time.Time, f fingerprint.Fingerprint) bool {
	if _, quarantined := t.Check(now, f); quarantined {
		return false
	}
	r := t.records[f]
	if r == nil {
		return true
	}
	t.dropOldRuns(now, r)
	r.lastRequested = now
	unresolved := len(t.unresolvedResets(now, r, f))
	if t.isProven(now, f) && len(r.deaths) == 0 {
		return unresolved <= maxDeaths
	}
	return t.countDeaths(f, r)+unresolved < maxDeaths
}

// unresolvedResets returns the endpoints that reset a connection of f and have shown no evidence
// of liveness since, with the time of the reset. Those of a proven f without deaths that were
// lost with others are left out.
func (t *Table) unresolvedResets(now time.Time, r *record, f fingerprint.Fingerprint) map[incarnation]time.Time {
	proven := t.isProven(now, f) && len(r.deaths) == 0
	out := make(map[incarnation]time.Time)
	for _, x := range r.runs {
		if !x.reset || t.endpointAlive(x) || t.lastAnswer[x.on].Sub(x.lost) >= t.cfg.AnswerMargin || proven && t.resetWithOthers(r, x) {
			continue
		}
		out[x.on] = x.lost
	}
	return out
}

// resetWithOthers reports whether CorrelatedDeaths endpoints or more, on which no run of the
// record was reset, reset connections within CorrelationWindow of the run's reset.
func (t *Table) resetWithOthers(r *record, x run) bool {
	n := 0
	for on, at := range t.lastReset {
		isOwn := slices.ContainsFunc(r.runs, func(y run) bool { return y.on == on && y.reset })
		if !isOwn && at.Sub(x.lost).Abs() <= t.cfg.CorrelationWindow {
			n++
		}
	}
	return n >= t.cfg.CorrelatedDeaths
}

// KnowsReset reports whether a run of f on an endpoint incarnation is recorded as
// reset.
func (t *Table) KnowsReset(endpoint string, number uint64, f fingerprint.Fingerprint) bool {
	r, on := t.records[f], incarnation{endpoint, number}
	return r != nil && slices.ContainsFunc(r.runs, func(x run) bool { return x.on == on && x.reset })
}

// BeginRun records a run that starts after MayStart allowed it. Its end must be
// recorded by EndRun.
func (t *Table) BeginRun(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint, service string) {
	r := t.record(f)
	r.lastRequested = now
	t.addRun(now, endpoint, number, r, service)
}

// RecordReset records a run of another table's owner whose connection was reset.
// If the endpoint's death is known, it is attributed to f.
func (t *Table) RecordReset(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint) Change {
	on := incarnation{endpoint, number}
	if slices.ContainsFunc(t.deaths, func(d death) bool { return d.on == on }) {
		return t.RecordDeath(now, endpoint, number, f)
	}
	t.lastReset[on] = now
	r := t.record(f)
	r.lastRequested = later(r.lastRequested, now)
	known := slices.ContainsFunc(r.runs, func(x run) bool { return x.on == on && x.reset })
	if !known && len(t.records) <= t.cfg.MaxEntries {
		r.runs = append(r.runs, run{on: on, started: now, lost: now, reset: true})
	}
	return Change{}
}

// suspectedByPeer reports whether another entry's suspicion keeps f from
// starting here.
func (t *Table) suspectedByPeer(now time.Time, f fingerprint.Fingerprint) bool {
	r := t.records[f]
	return r != nil && now.Before(r.suspectedUntil) && !t.isProven(now, f)
}

// unresolvedRuns returns the number of runs that may still crash their
// endpoint, or may have crashed it: those in flight and those that were lost. A
// run that was given up counts for DetectionTimeout at most, and no longer once
// its endpoint has answered a later run. A run whose connection was reset
// counts until dropOldRuns removes it.
func (t *Table) unresolvedRuns(now time.Time, r *record) int {
	n := 0
	for _, x := range r.runs {
		if x.givenUp() && (t.answeredLaterRun(x) || now.Sub(x.lost) >= t.cfg.DetectionTimeout) {
			continue
		}
		n++
	}
	return n
}

// admission decides from the number of deaths, including those that may still
// follow.
func (r *record) admission(deaths int) Admission {
	if deaths < maxDeaths {
		return Admitted
	}
	if r.inFlight() > 0 {
		return Wait
	}
	return Refused
}

func (r *record) inFlight() int {
	n := 0
	for _, x := range r.runs {
		if x.lost.IsZero() {
			n++
		}
	}
	return n
}

// EndRun records the end of an admitted run. Unless f is in quarantine, an
// answer marks f as proven and removes its deaths and lost runs. While more
// than MaxEntries fingerprints have a record, a lost run isn't remembered.
//
// An endpoint that is Down has lost its process: the runs that were given up on it count
// as reset.
func (t *Table) EndRun(now time.Time, endpoint string, number uint64, f fingerprint.Fingerprint, end End) Change {
	on := incarnation{endpoint, number}
	c := t.endRun(now, on, f, end)
	if end == Down {
		c.Suspected = append(c.Suspected, t.resetGivenUp(on)...)
	}
	return c
}

func (t *Table) endRun(now time.Time, on incarnation, f fingerprint.Fingerprint, end End) Change {
	r := t.records[f]
	if r == nil {
		return Change{}
	}
	i := slices.IndexFunc(r.runs, func(x run) bool { return x.on == on && x.lost.IsZero() })
	if i < 0 {
		return Change{}
	}
	if (end == Abandoned || end == Reset) && len(t.records) <= t.cfg.MaxEntries {
		r.runs[i].lost = now
		r.runs[i].reset = end == Reset
		if end == Reset {
			t.lastReset[on] = now
		}
		return t.suspectChange(now, f, end)
	}
	started := r.runs[i].started
	r.runs = slices.Delete(r.runs, i, i+1)
	var c Change
	if end == Answered {
		t.answeredRunStart[on] = later(t.answeredRunStart[on], started)
		t.lastAnswer[on] = now
		c = t.clearSuspicion(now, f, r)
	}
	t.dropIdle(now, f, r)
	return c
}

// resetGivenUp lets the runs that were given up on an endpoint count as reset, unless it
// has shown evidence of liveness since or leaves, and returns their fingerprints.
func (t *Table) resetGivenUp(on incarnation) []fingerprint.Fingerprint {
	if _, leaves := t.left[on]; leaves {
		return nil
	}
	var out []fingerprint.Fingerprint
	for f, r := range t.records {
		for i := range r.runs {
			if x := &r.runs[i]; x.on == on && x.givenUp() && !t.endpointAlive(*x) {
				x.reset = true
				out = append(out, f)
			}
		}
	}
	return out
}

// GivenUp returns the fingerprints of the remembered runs that were given up on an endpoint
// incarnation, or are in flight on it.
func (t *Table) GivenUp(endpoint string, number uint64) []fingerprint.Fingerprint {
	on := incarnation{endpoint, number}
	var out []fingerprint.Fingerprint
	for f, r := range t.records {
		if slices.ContainsFunc(r.runs, func(x run) bool { return x.on == on && !x.reset }) {
			out = append(out, f)
		}
	}
	return out
}

// RecordReport records that an endpoint incarnation reported itself just now.
func (t *Table) RecordReport(now time.Time, endpoint string, number uint64) {
	t.lastReport[incarnation{endpoint, number}] = now
}

// RecordLeaving records that an endpoint incarnation leaves; missing reports
// don't mean that it died.
func (t *Table) RecordLeaving(now time.Time, endpoint string, number uint64) {
	on := incarnation{endpoint, number}
	delete(t.lastReport, on)
	t.left[on] = now
}

// suspectChange returns the change for the other entries after a run was lost.
// Only resets are reported: under overload too many runs are given up.
func (t *Table) suspectChange(now time.Time, f fingerprint.Fingerprint, end End) Change {
	if end != Reset || t.isProven(now, f) {
		return Change{}
	}
	return Change{Suspected: []fingerprint.Fingerprint{f}}
}

// clearSuspicion marks f as proven and removes its deaths and lost runs, unless
// f is in quarantine already. The suspicion of other entries stays recorded, but
// doesn't hold f back while f is proven.
func (t *Table) clearSuspicion(now time.Time, f fingerprint.Fingerprint, r *record) Change {
	if now.Before(r.quarantinedUntil) {
		return Change{}
	}
	t.markProven(now, f)
	r.kept = false
	reset := slices.ContainsFunc(r.runs, func(x run) bool { return x.reset })
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return !x.lost.IsZero() })
	suspected := len(r.deaths) > 0 || reset
	r.deaths = nil
	r.countRunsAfter = time.Time{}
	if suspected {
		return Change{Lifted: []fingerprint.Fingerprint{f}}
	}
	return Change{}
}

// Add puts f into quarantine for d, on behalf of another entry or an operator.
func (t *Table) Add(now time.Time, f fingerprint.Fingerprint, d time.Duration) {
	r := t.record(f)
	r.quarantinedUntil = later(r.quarantinedUntil, now.Add(d))
	r.external = true
	delete(t.proven, f)
}

// Suspect holds f back for d because an endpoint died or its connection broke
// during a run from another entry; only that entry may try f again. A
// fingerprint that is proven here isn't held back.
func (t *Table) Suspect(now time.Time, f fingerprint.Fingerprint, d time.Duration) {
	r := t.record(f)
	r.suspectedUntil = later(r.suspectedUntil, now.Add(d))
}

// Lift ends the quarantine of f and the suspicion of other entries, and removes
// its deaths and lost runs.
func (t *Table) Lift(f fingerprint.Fingerprint) {
	r := t.records[f]
	if r == nil {
		return
	}
	r.quarantinedUntil = time.Time{}
	r.suspectedUntil = time.Time{}
	r.external = false
	r.deaths = nil
	r.countRunsAfter = time.Time{}
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return !x.lost.IsZero() })
}

// List returns the fingerprints in quarantine, sorted by their bytes.
func (t *Table) List(now time.Time) []Entry {
	var all []Entry
	for f, r := range t.records {
		if now.Before(r.quarantinedUntil) {
			all = append(all, Entry{Fingerprint: f, Service: r.service, Remaining: r.quarantinedUntil.Sub(now), Version: r.changed})
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
