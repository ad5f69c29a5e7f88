package budget

import (
	"time"

	"sassafrasreach/internal/core/document"
)

// Ledger is one entry's part of all caps. It isn't safe for concurrent use.
type Ledger struct {
	self    Owner
	cfg     Config
	version uint64
	buckets map[string]*bucket
	// latest is the latest time passed in; an earlier time is replaced by it.
	latest time.Time
	// usableFrom is the end of the wait after a start, during which loans given
	// by an earlier incarnation may still be in use.
	usableFrom time.Time
	// contiguousFrom is the version from which on no version was skipped.
	contiguousFrom uint64
	// reported holds the latest version report of each other entry.
	reported map[string]versionReport
}

// versionReport is the document version that an entry had when last reported.
type versionReport struct {
	version uint64
	at      time.Time
}

// NewLedger returns the ledger of an entry that has just started. For one term
// and one quiet period it raises no share and so admits no request that a cap
// limits: an earlier incarnation may have lent its share or used it just
// before. The shares become usable one more quiet period later at the earliest.
func NewLedger(self Owner, cfg Config, now time.Time) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		self:       self,
		cfg:        cfg,
		buckets:    make(map[string]*bucket),
		latest:     now,
		usableFrom: now.Add(cfg.lenderTerm(cfg.Term)),
		reported:   make(map[string]versionReport),
	}
}

// lenderTerm returns how long a lender doesn't use what it has lent: the term
// by the borrower's clock, and the quiet period after it.
func (c Config) lenderTerm(term time.Duration) time.Duration {
	return c.withDrift(term) + c.quietPeriod()
}

// monotonic returns now, or the latest time passed in if that is later.
func (l *Ledger) monotonic(now time.Time) time.Time {
	if now.After(l.latest) {
		l.latest = now
	}
	return l.latest
}

// SetDocument puts a version of the document in force. A version that isn't
// above the one in force is ignored.
func (l *Ledger) SetDocument(now time.Time, version uint64, doc *document.Document) {
	now = l.monotonic(now)
	if version <= l.version {
		return
	}
	l.raiseLimits(now)
	if version != l.version+1 {
		l.contiguousFrom = version
	}
	first := l.version == 0 && version == 1
	l.version = version
	splits := splitsOf(version, doc)
	for name, s := range splits {
		b, ok := l.buckets[name]
		if !ok && s.includes(l.self.Entry) {
			b = newBucket(name, l.cfg, now)
			l.buckets[name] = b
			if !first {
				b.knownFrom = version
			}
		}
		if b != nil {
			l.applySplit(b, s)
		}
	}
	for name, b := range l.buckets {
		if _, ok := splits[name]; !ok {
			l.applySplit(b, split{version: version})
		}
		if !b.current.includes(l.self.Entry) && b.lentUnits(now) == 0 && b.reserved == 0 {
			delete(l.buckets, name)
		}
	}
	l.raiseLimits(now)
}

// applySplit puts a split in force and drops the borrowed loans, which were
// parts of another split. When the split divides the cap as before, only the
// ramp changes.
func (l *Ledger) applySplit(b *bucket, s split) {
	if b.current.equal(s) {
		b.current.ramp = s.ramp
		return
	}
	if b.current.version > 0 {
		b.past = append(b.past, b.current)
	}
	if len(b.past) > l.cfg.MaxHistory {
		b.past = b.past[1:]
		b.knownFrom = max(b.knownFrom, b.past[0].version)
	}
	b.lower(s, l.self.Entry)
	clear(b.borrowed)
}

// SetVersions records which version of the document other entries have, as far
// as they have reported it. It is called about once a second.
func (l *Ledger) SetVersions(now time.Time, versions map[string]uint64) {
	now = l.monotonic(now)
	for entry, version := range versions {
		l.reported[entry] = versionReport{version: version, at: now}
	}
	l.raiseLimits(now)
}
