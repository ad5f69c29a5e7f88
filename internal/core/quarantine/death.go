package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// Died records the death of an endpoint incarnation and blames the requests
// that were in flight on it, or whose end was lost lately, and those that
// the caller names besides. Further calls for the incarnation blame what they
// name and the earlier ones didn't.
func (t *Table) Died(now time.Time, endpoint string, number uint64, inFlight ...fingerprint.Fingerprint) Change {
	on := incarnation{endpoint, number}
	before := t.quarantinedHere(now)
	d := t.death(now, on)
	var blamed []fingerprint.Fingerprint
	for f, r := range t.records {
		if t.blameRuns(now, f, r, on) {
			blamed = append(blamed, f)
		}
	}
	for _, f := range inFlight {
		if !slices.Contains(d.blamed, f) && !slices.Contains(blamed, f) {
			t.blame(now, f, t.record(f), on, now)
			blamed = append(blamed, f)
		}
	}
	d.blamed = append(d.blamed, blamed...)
	return t.judge(now, death{on: on, at: d.at, blamed: blamed}, before)
}

// death returns the record of an incarnation's death, a new one if need be.
func (t *Table) death(now time.Time, on incarnation) *death {
	i := slices.IndexFunc(t.deaths, func(d death) bool { return d.on == on })
	if i < 0 {
		i = len(t.deaths)
		t.deaths = append(t.deaths, death{on: on, at: now})
	}
	return &t.deaths[i]
}

// blameRuns blames f for the death if it has a run on the incarnation, and ends
// those runs.
func (t *Table) blameRuns(now time.Time, f fingerprint.Fingerprint, r *record, on incarnation) bool {
	t.dropOldRuns(now, r)
	i := slices.IndexFunc(r.runs, func(x run) bool { return x.on == on })
	if i < 0 {
		return false
	}
	t.blame(now, f, r, on, r.runs[i].started)
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return x.on == on })
	return true
}

// blame adds a death to the record. A proven fingerprint is on trial from its
// first death on: runs that started before it don't count again.
func (t *Table) blame(now time.Time, f fingerprint.Fingerprint, r *record, on incarnation, started time.Time) {
	if !r.countFrom.IsZero() && !started.After(r.countFrom) {
		return
	}
	if t.isProven(now, f) {
		r.countFrom = now
	}
	delete(t.proven, f)
	r.deaths = append(r.deaths, blame{on: on, at: now})
	r.asked = later(r.asked, now)
}

// judge puts fingerprints with enough counted deaths into quarantine and lifts
// those whose deaths turn out to belong to a wider failure.
func (t *Table) judge(now time.Time, d death, before map[fingerprint.Fingerprint]bool) Change {
	var c Change
	for f, r := range t.records {
		if !t.near(r, d) {
			continue
		}
		counted := t.countDeaths(f, r)
		switch {
		case counted >= maxDeaths && !before[f]:
			r.until = later(r.until, now.Add(t.cfg.Hold))
			c.Quarantined = append(c.Quarantined, f)
		case counted < maxDeaths && before[f]:
			r.until = time.Time{}
			c.Lifted = append(c.Lifted, f)
		case counted == 1 && slices.Contains(d.blamed, f):
			c.Suspected = append(c.Suspected, f)
		}
	}
	return c
}

// near reports whether d is close enough to a death of the record to change how
// that one counts.
func (t *Table) near(r *record, d death) bool {
	return slices.ContainsFunc(r.deaths, func(b blame) bool {
		return d.at.Sub(b.at) <= t.cfg.Window
	})
}

// quarantinedHere returns the fingerprints in quarantine by this table's own
// judgement.
func (t *Table) quarantinedHere(now time.Time) map[fingerprint.Fingerprint]bool {
	here := make(map[fingerprint.Fingerprint]bool)
	for f, r := range t.records {
		if now.Before(r.until) && !r.spread {
			here[f] = true
		}
	}
	return here
}

// countDeaths returns the deaths of f that are no part of a wider failure.
func (t *Table) countDeaths(f fingerprint.Fingerprint, r *record) int {
	n := 0
	for _, b := range r.deaths {
		if t.othersNear(f, b.at) < t.cfg.WiderDeaths {
			n++
		}
	}
	return n
}

// othersNear returns the deaths around at that neither f nor another
// fingerprint with two deaths explains.
func (t *Table) othersNear(f fingerprint.Fingerprint, at time.Time) int {
	n := 0
	for _, d := range t.deaths {
		near := d.at.Sub(at).Abs() <= t.cfg.Window
		if near && !slices.Contains(d.blamed, f) && !t.explained(d) {
			n++
		}
	}
	return n
}

func (t *Table) explained(d death) bool {
	return slices.ContainsFunc(d.blamed, func(g fingerprint.Fingerprint) bool {
		r := t.records[g]
		return r != nil && len(r.deaths) >= maxDeaths
	})
}
