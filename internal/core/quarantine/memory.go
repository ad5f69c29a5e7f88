package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// Expire forgets what is too old to matter. It is cheap enough to run once a
// second.
func (t *Table) Expire(now time.Time) {
	t.deaths = slices.DeleteFunc(t.deaths, func(d death) bool {
		return now.Sub(d.at) >= t.cfg.Hold
	})
	for f, r := range t.records {
		t.dropOldRuns(now, r)
		t.forgetIdle(now, f, r)
	}
	for on, started := range t.alive {
		if now.Sub(started) >= t.cfg.Blame {
			delete(t.alive, on)
		}
	}
	for f, at := range t.proven {
		if now.Sub(at) >= t.cfg.Proven {
			delete(t.proven, f)
		}
	}
}

// dropOldRuns forgets the runs that were lost too long ago for any blame, and
// the deaths when nobody has asked for Hold.
func (t *Table) dropOldRuns(now time.Time, r *record) {
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool {
		return !x.lost.IsZero() && now.Sub(x.lost) >= t.cfg.Blame
	})
	if !now.Before(r.until) && now.Sub(r.asked) >= t.cfg.Hold {
		r.deaths = nil
	}
}

// forgetIdle drops a record that says nothing any more.
func (t *Table) forgetIdle(now time.Time, f fingerprint.Fingerprint, r *record) {
	idle := len(r.runs) == 0 && len(r.deaths) == 0
	if idle && !now.Before(r.until) && !now.Before(r.suspectUntil) {
		delete(t.records, f)
	}
}

// record returns the record of f, a new one if need be.
func (t *Table) record(f fingerprint.Fingerprint) *record {
	r := t.records[f]
	if r == nil {
		r = &record{}
		t.records[f] = r
	}
	return r
}

func (t *Table) isProven(now time.Time, f fingerprint.Fingerprint) bool {
	at, ok := t.proven[f]
	return ok && now.Sub(at) < t.cfg.Proven
}

// prove remembers that f was answered. A full memory forgets any other one,
// which then is held to two runs until it is answered again.
func (t *Table) prove(now time.Time, f fingerprint.Fingerprint) {
	if _, ok := t.proven[f]; !ok && len(t.proven) >= t.cfg.MaxEntries {
		for other := range t.proven {
			delete(t.proven, other)
			break
		}
	}
	t.proven[f] = now
}

// Size returns the number of fingerprints that have a record, and of those that
// are proven.
func (t *Table) Size() (records, proven int) { return len(t.records), len(t.proven) }
