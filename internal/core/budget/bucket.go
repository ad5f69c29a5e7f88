package budget

import (
	"maps"
	"time"
)

// loan is units until a moment on the own clock.
type loan struct {
	units int64
	until time.Time
}

// borrowerID is one incarnation of an entry that borrows.
type borrowerID struct {
	entry       string
	incarnation uint64
}

// bucket is this entry's part of one cap.
type bucket struct {
	name string
	// now holds the split in force; past holds those before it.
	now  split
	past []split
	// limit is the own share that may be used: never above that of the split
	// in force, and below it while others may still use more than theirs.
	limit int64
	// clear is since when nothing holds the limit down; zero while it is.
	clear time.Time
	// use and demand count the units admitted and asked for.
	use, demand *meter
	// held is reserved by requests in flight whose units aren't known yet.
	held int64
	// lent and borrowed hold the unexpired grants by borrower and lender. Of
	// several with one entry the largest counts.
	lent     map[borrowerID][]loan
	borrowed map[string][]loan
	// refused is until when a lender isn't asked again.
	refused map[string]time.Time
	// asked is the lender asked last.
	asked string
	// shifting is when the present shift began, active when units were last
	// asked for.
	shifting, active time.Time
}

func newBucket(name string, cfg Config, now time.Time) *bucket {
	return &bucket{
		name:     name,
		use:      newMeter(cfg, now),
		demand:   newMeter(cfg, now),
		lent:     make(map[borrowerID][]loan),
		borrowed: make(map[string][]loan),
		refused:  make(map[string]time.Time),
	}
}

// share is the own part of the split in force.
func (b *bucket) share(entry string) int64 { return b.now.shares[entry] }

// sameShares says whether a split divides as the one in force does.
func (b *bucket) sameShares(s split) bool { return maps.Equal(b.now.shares, s.shares) }

// largest returns the largest unexpired loan and the list without the others.
func largest(now time.Time, loans []loan) (int64, []loan) {
	units := int64(0)
	kept := loans[:0]
	for _, l := range loans {
		if now.Before(l.until) {
			units = max(units, l.units)
			kept = append(kept, l)
		}
	}
	return units, kept
}

// lentUnits is what borrowers may be using of the own share.
func (b *bucket) lentUnits(now time.Time) int64 {
	sum := int64(0)
	for id, loans := range b.lent {
		units, kept := largest(now, loans)
		sum += units
		b.lent[id] = kept
		if len(kept) == 0 {
			delete(b.lent, id)
		}
	}
	return sum
}

// borrowedUnits is what may be used of others' shares.
func (b *bucket) borrowedUnits(now time.Time) int64 {
	sum := int64(0)
	for lender, loans := range b.borrowed {
		units, kept := largest(now, loans)
		sum += units
		b.borrowed[lender] = kept
		if len(kept) == 0 {
			delete(b.borrowed, lender)
		}
	}
	return sum
}

// usable is what may be used in the window that ends now, before the ramp.
func (b *bucket) usable(now time.Time) int64 {
	return max(0, b.limit-b.lentUnits(now)) + b.borrowedUnits(now)
}

// rampStart is the part of a cap with which a shift starts: one in rampStart.
const rampStart = 10

// ramped is usable as the ramp of the present shift allows it.
func (b *bucket) ramped(now time.Time) int64 {
	whole := b.usable(now)
	ramp := b.now.ramp
	age := now.Sub(b.shifting)
	if ramp <= 0 || age >= ramp || whole == 0 {
		return whole
	}
	part := whole / rampStart
	part += int64(float64(whole-part) * (float64(age) / float64(ramp)))
	return max(1, part)
}

// touch notes that units are asked for now. A shift starts anew after as much
// time without demand as its ramp takes.
func (b *bucket) touch(now time.Time, units int64) {
	if b.active.IsZero() || now.Sub(b.active) > max(b.now.ramp, time.Second) {
		b.shifting = now
	}
	b.active = now
	b.demand.add(now, units)
}

// fits says whether units may be used now.
func (b *bucket) fits(now time.Time, units int64) bool {
	return b.use.used(now)+b.held+units <= b.ramped(now)
}
