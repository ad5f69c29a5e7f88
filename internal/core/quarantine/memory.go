package quarantine

import (
	"slices"
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// Silent is an endpoint incarnation that lost a run and has shown no life for
// Blame.
type Silent struct {
	Endpoint string
	Number   uint64
}

// Expire forgets what is too old to matter. It is cheap enough to run once a
// second. The endpoints that it returns are to be taken for dead.
func (t *Table) Expire(now time.Time) []Silent {
	t.deaths = slices.DeleteFunc(t.deaths, func(d death) bool {
		return now.Sub(d.at) >= t.cfg.Hold
	})
	var silent []Silent
	for f, r := range t.records {
		t.dropOldRuns(now, r)
		t.forgetIdle(now, f, r)
		silent = append(silent, t.silent(now, r)...)
	}
	t.forgetEndpoints(now)
	for f, at := range t.proven {
		if now.Sub(at) >= t.cfg.Proven {
			delete(t.proven, f)
		}
	}
	return silent
}

// silent returns the endpoints of the record's runs that are likely dead.
func (t *Table) silent(now time.Time, r *record) []Silent {
	var all []Silent
	for _, x := range r.runs {
		old := !x.lost.IsZero() && now.Sub(x.lost) >= t.cfg.Blame
		if old && (x.reset || t.fellSilent(now, x.on)) {
			all = append(all, Silent{Endpoint: x.on.endpoint, Number: x.on.number})
		}
	}
	return all
}

// fellSilent reports whether an incarnation was heard of, but has neither
// reported itself nor begun to answer a request for Blame. One that said that it
// leaves isn't missed.
func (t *Table) fellSilent(now time.Time, on incarnation) bool {
	at, ok := t.heard[on]
	return ok && now.Sub(later(at, t.alive[on])) >= t.cfg.Blame
}

// forgetEndpoints forgets the signs of life that are too old to matter.
func (t *Table) forgetEndpoints(now time.Time) {
	for on, started := range t.alive {
		if now.Sub(started) >= t.cfg.Hold {
			delete(t.alive, on)
		}
	}
	for on, at := range t.heard {
		if now.Sub(at) >= t.cfg.Hold {
			delete(t.heard, on)
		}
	}
}

// dropOldRuns forgets the runs that were lost too long ago for any blame, and
// the deaths when nobody has asked for Hold.
func (t *Table) dropOldRuns(now time.Time, r *record) {
	r.runs = slices.DeleteFunc(r.runs, func(x run) bool { return t.over(now, x) })
	if !now.Before(r.until) && now.Sub(r.asked) >= t.cfg.Hold {
		r.deaths = nil
	}
}

// over reports whether a lost run can be blamed no more. One that was given up
// is forgotten early while there are many.
func (t *Table) over(now time.Time, x run) bool {
	age := now.Sub(x.lost)
	if x.lost.IsZero() || age < t.cfg.Blame {
		return false
	}
	if x.reset {
		return t.lives(x) || age >= t.cfg.Hold
	}
	return age >= t.cfg.Late || len(t.records) > t.cfg.MaxEntries/2
}

// lives reports whether the run's endpoint showed life Settle or more after the
// run was lost.
func (t *Table) lives(x run) bool {
	return t.livedOn(x) || t.heard[x.on].Sub(x.lost) >= t.cfg.Settle
}

// livedOn reports whether the run's endpoint answered a request that started
// Settle or more after the run was lost.
func (t *Table) livedOn(x run) bool { return t.alive[x.on].Sub(x.lost) >= t.cfg.Settle }

// forgetIdle drops a record that says nothing any more.
func (t *Table) forgetIdle(now time.Time, f fingerprint.Fingerprint, r *record) {
	idle := len(r.runs) == 0 && len(r.deaths) == 0
	remembered := now.Before(r.until) || now.Before(r.suspectUntil) || now.Before(r.liftKept)
	if idle && !remembered {
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
