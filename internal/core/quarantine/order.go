package quarantine

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

const (
	// clockSkew bounds the difference between the clocks of two entries. The
	// version of an operator's lift is that much ahead, so that it is above those
	// of all changes that were made before it.
	clockSkew = 5 * time.Second
	// liftRepeat is how long an operator's lift may be repeated.
	liftRepeat = 11 * time.Second
)

// order holds the versions that order the news of one fingerprint. They are
// times in microseconds, raised above what is known where clocks differ.
type order struct {
	// changed is the version of the newest change that isn't a lift, lifted that
	// of the newest lift.
	changed, lifted uint64
	// liftedAt is when the newest lift was applied here, and liftKept how long it
	// is remembered so that older news don't undo it.
	liftedAt, liftKept time.Time
}

// next returns a version for a change that is made now.
func (o *order) next(now time.Time) uint64 {
	return max(uint64(now.UnixMicro()), o.changed+1, o.lifted+1)
}

// Changed returns the version of a change of f that was just made here.
func (t *Table) Changed(now time.Time, f fingerprint.Fingerprint) uint64 {
	r := t.record(f)
	r.changed = r.next(now)
	return r.changed
}

// Lifted returns the version of a lift of f that was just made here.
func (t *Table) Lifted(now time.Time, f fingerprint.Fingerprint) uint64 {
	r := t.record(f)
	t.noteLift(now, r, r.next(now))
	return r.lifted
}

// LiftByOrder lifts f for an operator and returns the lift's version. An order
// that comes again within liftRepeat is the same one: again is set.
func (t *Table) LiftByOrder(now time.Time, f fingerprint.Fingerprint) (version uint64, again bool) {
	r := t.record(f)
	if !r.liftedAt.IsZero() && now.Sub(r.liftedAt) < liftRepeat {
		return 0, true
	}
	t.Lift(f)
	t.noteLift(now, r, r.next(now.Add(clockSkew)))
	return r.lifted, false
}

// noteLift remembers a lift; once the memory is full, only of fingerprints that
// are remembered besides.
func (t *Table) noteLift(now time.Time, r *record, version uint64) {
	r.lifted = version
	r.liftedAt = now
	if len(t.records) <= t.cfg.MaxEntries {
		r.liftKept = now.Add(t.cfg.Hold)
	}
}

// TakeLift lifts f when another entry did, unless something newer is known.
func (t *Table) TakeLift(now time.Time, f fingerprint.Fingerprint, version uint64) {
	r := t.record(f)
	if version <= r.lifted {
		return
	}
	if version > r.changed {
		t.Lift(f)
	}
	t.noteLift(now, r, version)
}

// TakeChange reports whether a change that another entry made is to be applied;
// one from before a lift isn't.
func (t *Table) TakeChange(f fingerprint.Fingerprint, version uint64) bool {
	r := t.records[f]
	if r != nil && version <= r.lifted {
		return false
	}
	r = t.record(f)
	r.changed = max(r.changed, version)
	return true
}

// Held returns the fingerprints that other entries are to refuse: those in
// quarantine, and those that are held back for a death or a broken connection.
func (t *Table) Held(now time.Time) []Entry {
	all := t.List(now)
	for f, r := range t.records {
		if now.Before(r.until) || r.changed <= r.lifted {
			continue
		}
		hold := r.suspectUntil.Sub(now)
		if len(r.deaths) > 0 {
			hold = t.cfg.Hold
		}
		for _, x := range r.runs {
			if x.reset {
				hold = t.cfg.Hold
			}
		}
		if hold > 0 {
			all = append(all, Entry{Fingerprint: f, Service: r.service, Remaining: hold, Suspected: true, Version: r.changed})
		}
	}
	return all
}
