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
	// last is the latest time seen; an earlier one counts as this.
	last time.Time
	// usableFrom ends the wait after a start, in which loans that an earlier
	// incarnation gave may still be in use.
	usableFrom time.Time
	// unbroken is the version from which on no version was skipped.
	unbroken uint64
	// seen holds the versions that others are known to have.
	seen map[string]sighting
}

// sighting is the version that an entry was last seen to have.
type sighting struct {
	version uint64
	at      time.Time
}

// NewLedger returns the ledger of an entry that has just started. It admits
// nothing for one term and one lull: an earlier incarnation may have lent
// its share or used it just now.
func NewLedger(self Owner, cfg Config, now time.Time) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		self:       self,
		cfg:        cfg,
		buckets:    make(map[string]*bucket),
		last:       now,
		usableFrom: now.Add(cfg.lenderTerm(cfg.Term)),
		seen:       make(map[string]sighting),
	}
}

// lenderTerm is how long a lender doesn't use what it has lent: the term on
// the borrower's clock, and the time in which the units lie unused.
func (c Config) lenderTerm(term time.Duration) time.Duration {
	return c.slower(term) + c.lull()
}

// tick returns now, or the latest time seen if that is later.
func (l *Ledger) tick(now time.Time) time.Time {
	if now.After(l.last) {
		l.last = now
	}
	return l.last
}

// SetDocument puts a version of the document in force. A lower version than
// the one in force is ignored.
func (l *Ledger) SetDocument(now time.Time, version uint64, doc *document.Document) {
	now = l.tick(now)
	if version <= l.version {
		return
	}
	l.settleLimits(now)
	if version != l.version+1 {
		l.unbroken = version
	}
	first := l.version == 0 && version == 1
	l.version = version
	splits := splitsOf(version, doc)
	for name, s := range splits {
		b, ok := l.buckets[name]
		if !ok && s.has(l.self.Entry) {
			b = newBucket(name, l.cfg, now)
			l.buckets[name] = b
			if !first {
				b.from = version
			}
		}
		if b != nil {
			l.resplit(b, s)
		}
	}
	for name, b := range l.buckets {
		if _, ok := splits[name]; !ok {
			l.resplit(b, split{version: version})
		}
		if !b.now.has(l.self.Entry) && b.lentUnits(now) == 0 && b.held == 0 {
			delete(l.buckets, name)
		}
	}
	l.settleLimits(now)
}

// resplit puts a split in force and drops the loans from others, which were
// parts of another split.
func (l *Ledger) resplit(b *bucket, s split) {
	if b.now.same(s) {
		b.now.ramp = s.ramp
		return
	}
	if b.now.version > 0 {
		b.past = append(b.past, b.now)
	}
	if len(b.past) > l.cfg.MaxHistory {
		b.past = b.past[1:]
		b.from = max(b.from, b.past[0].version)
	}
	b.lower(s, l.self.Entry)
	clear(b.borrowed)
}

// SetVersions tells which version of the document each other entry has, as far
// as it is heard of. It is called about once a second.
func (l *Ledger) SetVersions(now time.Time, versions map[string]uint64) {
	now = l.tick(now)
	for entry, version := range versions {
		l.seen[entry] = sighting{version: version, at: now}
	}
	l.settleLimits(now)
}
