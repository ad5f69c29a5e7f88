package budget

import "time"

// raiseLimits raises the shares that have been unblocked for a quiet period.
func (l *Ledger) raiseLimits(now time.Time) {
	if now.Before(l.usableFrom) {
		return
	}
	for _, b := range l.buckets {
		if b.raised {
			continue
		}
		if l.raiseBlocked(now, b) {
			b.unblockedSince = time.Time{}
			continue
		}
		if b.unblockedSince.IsZero() {
			b.unblockedSince = now
		}
		if now.Sub(b.unblockedSince) >= l.cfg.quietPeriod() {
			b.raise(l.self.Entry)
		}
	}
}

// raiseBlocked reports whether some other entry may still use more of a bucket
// than the split in force gives it.
func (l *Ledger) raiseBlocked(now time.Time, b *bucket) bool {
	for entry := range b.current.weights {
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

// mayExceed reports whether an entry may still use more of a bucket than the
// split in force gives it: it isn't known to have this version, and either it
// had more under an earlier one, or it may have versions whose splits aren't
// known here. An entry whose last report is stale no longer counts.
func (l *Ledger) mayExceed(now time.Time, b *bucket, entry string) bool {
	if entry == l.self.Entry {
		return false
	}
	reported := l.reported[entry]
	if reported.version == l.version {
		return false
	}
	if l.reportStale(now, reported) {
		return false
	}
	if reported.version > l.version || reported.version < max(l.contiguousFrom, b.knownFrom) {
		return true
	}
	allotted := b.current.weights[entry]
	for i, s := range b.past {
		next := b.current.version
		if i+1 < len(b.past) {
			next = b.past[i+1].version
		}
		if next > reported.version && allotted.lessThan(s.weights[entry]) {
			return true
		}
	}
	return false
}

// reportStale reports whether an entry's last report is so old that the entry
// no longer blocks the raising of shares.
func (l *Ledger) reportStale(now time.Time, report versionReport) bool {
	if l.cfg.ReportTimeout < 0 {
		return false
	}
	reportedAt := report.at
	if reportedAt.IsZero() {
		reportedAt = l.usableFrom
	}
	return now.Sub(reportedAt) >= l.cfg.ReportTimeout
}
