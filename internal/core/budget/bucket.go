package budget

import "time"

// loan is a number of units and when it expires, by this entry's clock.
type loan struct {
	units int64
	until time.Time
}

// borrowerID identifies one incarnation of a borrowing entry.
type borrowerID struct {
	entry       string
	incarnation uint64
}

// bucket is this entry's part of one cap.
type bucket struct {
	name string
	// current is the split in force; past holds the earlier ones, oldest first.
	current split
	past    []split
	// knownFrom is the lowest version from which on all splits are known here.
	knownFrom uint64
	// weight is this entry's fraction of the cap that may be used. It is
	// lowered at once and raised only when no other entry may use more than the
	// split in force gives it, so that the weights of all entries never sum to
	// more than 1, whichever versions they have. Use therefore never exceeds
	// the highest cap in force.
	weight weight
	// limit is the number of units of this entry's share that may be used: the
	// weight's part of the cap, rounded down, or the whole share once raised is
	// set.
	limit  int64
	raised bool
	// unblockedSince is when the last obstacle to raising the weight went away;
	// zero while there is one.
	unblockedSince time.Time
	// use counts the units used, demand the units requested.
	use, demand *meter
	// reserved is the sum of the reservations of requests whose use isn't known
	// yet.
	reserved int64
	// lent and borrowed hold the unexpired loans by borrower and by lender. Of
	// several loans with one entry only the largest counts.
	lent     map[borrowerID][]loan
	borrowed map[string][]loan
	// retryAfter is the time before which a lender isn't tried again for a new
	// loan. Renewals don't wait for it.
	retryAfter map[string]time.Time
	// lastLender is the entry that nextLender returned last.
	lastLender string
	// rampStartedAt is when the present ramp started, lastDemand when units
	// were last requested.
	rampStartedAt, lastDemand time.Time
}

func newBucket(name string, cfg Config, now time.Time) *bucket {
	return &bucket{
		name:       name,
		use:        newMeter(cfg, now),
		demand:     newMeter(cfg, now),
		lent:       make(map[borrowerID][]loan),
		borrowed:   make(map[string][]loan),
		retryAfter: make(map[string]time.Time),
	}
}

// share returns this entry's share in the split in force.
func (b *bucket) share(entry string) int64 { return b.current.shares[entry] }

// lower puts a split in force without raising this entry's weight.
func (b *bucket) lower(s split, entry string) {
	b.current = s
	if own := s.weights[entry]; own.lessThan(b.weight) {
		b.weight = own
	}
	b.limit = b.weight.of(s.units)
	b.raised = false
	b.unblockedSince = time.Time{}
}

// raise makes the whole share of the split in force usable.
func (b *bucket) raise(entry string) {
	b.weight = b.current.weights[entry]
	b.limit = b.share(entry)
	b.raised = true
}

// largestLoan returns the units of the largest unexpired loan, and the list
// without the expired ones. It reuses the memory of the list.
func largestLoan(now time.Time, loans []loan) (int64, []loan) {
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

// lentUnits returns how much of this entry's share borrowers may be using.
func (b *bucket) lentUnits(now time.Time) int64 {
	sum := int64(0)
	for id, loans := range b.lent {
		units, kept := largestLoan(now, loans)
		sum += units
		b.lent[id] = kept
		if len(kept) == 0 {
			delete(b.lent, id)
		}
	}
	return sum
}

// borrowedUnits returns how much of other entries' shares may be used.
func (b *bucket) borrowedUnits(now time.Time) int64 {
	sum := int64(0)
	for lender, loans := range b.borrowed {
		units, kept := largestLoan(now, loans)
		sum += units
		b.borrowed[lender] = kept
		if len(kept) == 0 {
			delete(b.borrowed, lender)
		}
	}
	return sum
}

// usableUnits returns how much may be used in the window that ends now, before
// the ramp is applied.
func (b *bucket) usableUnits(now time.Time) int64 {
	return max(0, b.limit-b.lentUnits(now)) + b.borrowedUnits(now)
}

// rampInitialDivisor gives the part of the usable units at which a ramp starts:
// one in rampInitialDivisor.
const rampInitialDivisor = 10

// rampedUnits returns the usable units, limited by the present ramp. The limit
// grows linearly over the ramp.
func (b *bucket) rampedUnits(now time.Time) int64 {
	full := b.usableUnits(now)
	ramp := b.current.ramp
	age := now.Sub(b.rampStartedAt)
	if ramp <= 0 || age >= ramp || full == 0 {
		return full
	}
	part := full / rampInitialDivisor
	part += int64(float64(full-part) * (float64(age) / float64(ramp)))
	return max(1, part)
}

// recordDemand counts units that are requested now. The ramp starts again after
// a time without demand that is longer than both the ramp and one second.
func (b *bucket) recordDemand(now time.Time, units int64) {
	if b.lastDemand.IsZero() || now.Sub(b.lastDemand) > max(b.current.ramp, time.Second) {
		b.rampStartedAt = now
	}
	b.lastDemand = now
	b.demand.add(now, units)
}

// fits reports whether units may be used now.
func (b *bucket) fits(now time.Time, units int64) bool {
	return b.use.used(now)+b.reserved+units <= b.rampedUnits(now)
}
