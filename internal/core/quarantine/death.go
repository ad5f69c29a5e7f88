package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// RecordDeath records the death of an endpoint incarnation. It attributes the
// death to the requests that were in flight on it, to those lost on it that are
// still remembered, and to those in inFlight. Further calls for the same
// incarnation attribute it to a request in inFlight only if the earlier calls
// did not.
func (t *Table) RecordDeath(now time.Time, endpoint string, number uint64, inFlight ...fingerprint.Fingerprint) Change {
	on := incarnation{endpoint, number}
	before := t.quarantinedLocally(now)
	d := t.death(now, on)
	var attributedTo []fingerprint.Fingerprint
	for f, r := range t.records {
		if t.attributeToRuns(now, f, r, on) {
			attributedTo = append(attributedTo, f)
		}
	}
	for _, f := range inFlight {
		if !slices.Contains(d.attributedTo, f) && !slices.Contains(attributedTo, f) {
			t.attribute(now, f, t.record(f), on, now)
			attributedTo = append(attributedTo, f)
		}
	}
	d.attributedTo = append(d.attributedTo, attributedTo...)
	return t.updateQuarantine(now, death{on: on, at: d.at, attributedTo: attributedTo}, before)
}

// death returns the record of an incarnation's death and adds one if there is
// none.
func (t *Table) death(now time.Time, on incarnation) *death {
	i := slices.IndexFunc(t.deaths, func(d death) bool { return d.on == on })
	if i < 0 {
		i = len(t.deaths)
		t.deaths = append(t.deaths, death{on: on, at: now})
	}
	return &t.deaths[i]
}

// attributeToRuns attributes the death to f if f has a run on the incarnation,
// and removes those runs.
func (t *Table) attributeToRuns(now time.Time, f fingerprint.Fingerprint, r *record, on incarnation) bool {
	t.dropOldRuns(now, r)
	i := slices.IndexFunc(r.runs, func(x run) bool { return x.on == on })
	if i < 0 {
		return false
	}
	t.attribute(now, f, r, on, r.runs[i].started)
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return x.on == on })
	return true
}

// attribute adds a death to the record. After the first death of a proven
// fingerprint, further deaths count only for runs that started after it.
func (t *Table) attribute(now time.Time, f fingerprint.Fingerprint, r *record, on incarnation, started time.Time) {
	if !r.countRunsAfter.IsZero() && !started.After(r.countRunsAfter) {
		return
	}
	if t.isProven(now, f) {
		r.countRunsAfter = now
	}
	delete(t.proven, f)
	r.deaths = append(r.deaths, attributedDeath{on: on, at: now})
	r.lastRequested = later(r.lastRequested, now)
}

// updateQuarantine quarantines fingerprints with enough counted deaths, and
// lifts the quarantine of those whose deaths turn out to belong to a correlated
// failure.
func (t *Table) updateQuarantine(now time.Time, d death, before map[fingerprint.Fingerprint]bool) Change {
	var c Change
	for f, r := range t.records {
		if !t.mayAffect(r, d) {
			continue
		}
		counted := t.countDeaths(f, r)
		switch {
		case counted >= maxDeaths && !before[f]:
			r.quarantinedUntil = later(r.quarantinedUntil, now.Add(t.cfg.Hold))
			c.Quarantined = append(c.Quarantined, f)
		case counted < maxDeaths && before[f]:
			r.quarantinedUntil = time.Time{}
			c.Lifted = append(c.Lifted, f)
		case counted == 1 && slices.Contains(d.attributedTo, f):
			c.Suspected = append(c.Suspected, f)
		}
	}
	return c
}

// mayAffect reports whether d is close enough to a death of the record to
// change whether that one counts.
func (t *Table) mayAffect(r *record, d death) bool {
	return slices.ContainsFunc(r.deaths, func(a attributedDeath) bool {
		return d.at.Sub(a.at) <= t.cfg.CorrelationWindow
	})
}

// quarantinedLocally returns the fingerprints in quarantine by this table's own
// decision.
func (t *Table) quarantinedLocally(now time.Time) map[fingerprint.Fingerprint]bool {
	local := make(map[fingerprint.Fingerprint]bool)
	for f, r := range t.records {
		if now.Before(r.quarantinedUntil) && !r.external {
			local[f] = true
		}
	}
	return local
}

// countDeaths returns the number of deaths of f that aren't part of a
// correlated failure.
func (t *Table) countDeaths(f fingerprint.Fingerprint, r *record) int {
	n := 0
	for _, a := range r.deaths {
		if t.counts(f, a) {
			n++
		}
	}
	return n
}

// counts reports whether a death of f isn't part of a correlated failure.
func (t *Table) counts(f fingerprint.Fingerprint, a attributedDeath) bool {
	return t.unrelatedDeathsNear(f, a.at) < t.cfg.CorrelatedDeaths
}

// unrelatedDeathsNear returns the number of deaths around the time at that are
// explained neither by f nor by another fingerprint with two deaths.
func (t *Table) unrelatedDeathsNear(f fingerprint.Fingerprint, at time.Time) int {
	n := 0
	for _, d := range t.deaths {
		near := d.at.Sub(at).Abs() <= t.cfg.CorrelationWindow
		if near && !slices.Contains(d.attributedTo, f) && !t.explained(d) {
			n++
		}
	}
	return n
}

func (t *Table) explained(d death) bool {
	return slices.ContainsFunc(d.attributedTo, func(g fingerprint.Fingerprint) bool {
		r := t.records[g]
		return r != nil && len(r.deaths) >= maxDeaths
	})
}
