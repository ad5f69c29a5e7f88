package budget

import "time"

// settleLimits raises the shares that nothing holds down any more.
func (l *Ledger) settleLimits(now time.Time) {
	if now.Before(l.usableFrom) {
		return
	}
	for _, b := range l.buckets {
		if b.whole {
			continue
		}
		if l.heldDown(now, b) {
			b.clear = time.Time{}
			continue
		}
		if b.clear.IsZero() {
			b.clear = now
		}
		if now.Sub(b.clear) >= l.cfg.lull() {
			b.raise(l.self.Entry)
		}
	}
}

// heldDown says whether some other entry may still use more of a bucket than
// the split in force gives it.
func (l *Ledger) heldDown(now time.Time, b *bucket) bool {
	for entry := range b.now.weights {
		if l.mayExceed(now, b, entry) {
			return true
		}
	}
	for _, s := range b.past {
		for entry := range s.weights {
			if l.mayExceed(now, b, entry) {
				return true
			}
		}
	}
	return false
}

// mayExceed says whether an entry may still use more of a bucket than the
// split in force gives it: it isn't known to have this version, and either it
// had more under an earlier one, or versions in between aren't known here.
func (l *Ledger) mayExceed(now time.Time, b *bucket, entry string) bool {
	if entry == l.self.Entry {
		return false
	}
	seen := l.seen[entry]
	if seen.version == l.version {
		return false
	}
	if l.forgotten(now, seen) {
		return false
	}
	if seen.version > l.version || seen.version < max(l.unbroken, b.from) {
		return true
	}
	given := b.now.weights[entry]
	for i, s := range b.past {
		next := b.now.version
		if i+1 < len(b.past) {
			next = b.past[i+1].version
		}
		if next > seen.version && given.below(s.weights[entry]) {
			return true
		}
	}
	return false
}

// forgotten says whether an entry hasn't been heard of for so long that it
// holds nothing down.
func (l *Ledger) forgotten(now time.Time, seen sighting) bool {
	if l.cfg.Forget < 0 {
		return false
	}
	since := seen.at
	if since.IsZero() {
		since = l.usableFrom
	}
	return now.Sub(since) >= l.cfg.Forget
}
