package quarantine

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

const (
	// clockSkew bounds the difference between the clocks of two entries. The
	// version of an operator's lift is that far in the future, so that it is
	// above those of all changes that were made before it.
	clockSkew = 5 * time.Second
	// liftRepeat is how long after a lift an operator's order to lift counts as
	// a repetition of it.
	liftRepeat = 11 * time.Second
)

// changeVersions holds the versions that order the changes of one fingerprint.
// They are times in microseconds, raised above all known versions where clocks
// differ.
type changeVersions struct {
	// changed is the version of the newest change that isn't a lift, lifted
	// that of the newest lift.
	changed, lifted uint64
	// liftedAt is when the newest lift was applied here. Until
	// liftRememberedUntil the record is kept, so that older changes don't undo
	// the lift.
	liftedAt, liftRememberedUntil time.Time
}

// nextVersion returns a version for a change that is made now.
func (v *changeVersions) nextVersion(now time.Time) uint64 {
	return max(uint64(now.UnixMicro()), v.changed+1, v.lifted+1)
}

// NewChangeVersion assigns a version to a change of f that was just made here, and
// returns it.
func (t *Table) NewChangeVersion(now time.Time, f fingerprint.Fingerprint) uint64 {
	r := t.record(f)
	r.changed = r.nextVersion(now)
	return r.changed
}

// NewLiftVersion assigns a version to a lift of f that was just made here, records
// the lift and returns its version.
func (t *Table) NewLiftVersion(now time.Time, f fingerprint.Fingerprint) uint64 {
	r := t.record(f)
	t.recordLift(now, r, r.nextVersion(now))
	return r.lifted
}

// LiftByOperator lifts the quarantine of f for an operator and returns the
// lift's version. An order within liftRepeat after any lift of f, also one by
// another entry, counts as a repetition: again is set and nothing changes.
func (t *Table) LiftByOperator(now time.Time, f fingerprint.Fingerprint) (version uint64, again bool) {
	r := t.record(f)
	if !r.liftedAt.IsZero() && now.Sub(r.liftedAt) < liftRepeat {
		return 0, true
	}
	t.Lift(f)
	t.recordLift(now, r, r.nextVersion(now.Add(clockSkew)))
	return r.lifted, false
}

// recordLift records a lift. While more than MaxEntries fingerprints have a
// record, the record isn't kept for the lift alone.
func (t *Table) recordLift(now time.Time, r *record, version uint64) {
	r.lifted = version
	r.liftedAt = now
	if len(t.records) <= t.cfg.MaxEntries {
		r.liftRememberedUntil = now.Add(t.cfg.Hold)
	}
}

// ApplyLift applies another entry's lift of f, unless a newer change is known.
func (t *Table) ApplyLift(now time.Time, f fingerprint.Fingerprint, version uint64) {
	r := t.record(f)
	if version <= r.lifted {
		return
	}
	if version > r.changed {
		t.Lift(f)
	}
	t.recordLift(now, r, version)
}

// AcceptChange records the version of a change made by another entry and
// reports whether the change is to be applied; one that isn't newer than the
// newest lift isn't.
func (t *Table) AcceptChange(f fingerprint.Fingerprint, version uint64) bool {
	r := t.records[f]
	if r != nil && version <= r.lifted {
		return false
	}
	r = t.record(f)
	r.changed = max(r.changed, version)
	return true
}

// ActiveEntries returns the fingerprints that other entries are to refuse:
// those in quarantine, and those that are held back because of a death or a
// reset.
func (t *Table) ActiveEntries(now time.Time) []Entry {
	all := t.List(now)
	for f, r := range t.records {
		if now.Before(r.quarantinedUntil) || r.changed <= r.lifted {
			continue
		}
		hold := r.suspectedUntil.Sub(now)
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
