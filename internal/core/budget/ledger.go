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
// nothing for one term and one window: an earlier incarnation may have lent
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
// the borrower's clock, and a window in which the units lie unused.
func (c Config) lenderTerm(term time.Duration) time.Duration {
	return c.slower(term) + c.slower(c.Window)
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
	if version != l.version+1 {
		l.unbroken = version
	}
	l.version = version
	splits := splitsOf(version, doc)
	for name, s := range splits {
		b, ok := l.buckets[name]
		if !ok {
			b = newBucket(name, l.cfg, now)
			l.buckets[name] = b
		}
		l.resplit(b, s)
	}
	for name, b := range l.buckets {
		if _, ok := splits[name]; !ok {
			l.resplit(b, split{version: version})
		}
	}
	l.settleLimits(now)
}

// resplit lowers the limit of a bucket to a new split and drops its loans.
func (l *Ledger) resplit(b *bucket, s split) {
	if b.sameShares(s) {
		b.now.ramp = s.ramp
		return
	}
	if b.now.version > 0 {
		b.past = append(b.past, b.now)
	}
	if len(b.past) > l.cfg.MaxHistory {
		b.past = b.past[1:]
	}
	b.now = s
	b.limit = min(b.limit, b.share(l.self.Entry))
	b.clear = time.Time{}
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

// Take uses what a request needs of every rule and of its link, or nothing if
// one of them has no room. A rule that isn't in the document has none; a link
// that isn't has no bound.
func (l *Ledger) Take(now time.Time, c Charge) bool {
	now = l.tick(now)
	l.settleLimits(now)
	fits := true
	for _, rule := range c.Rules {
		b, ok := l.buckets[ruleBucket(rule)]
		if !ok {
			return false
		}
		b.touch(now, 1)
		fits = fits && b.fits(now, 1)
	}
	link := l.link(c)
	if link != nil {
		link.touch(now, c.Bytes)
		fits = fits && link.fits(now, c.Bytes)
	}
	if !fits {
		return false
	}
	for _, rule := range c.Rules {
		l.buckets[ruleBucket(rule)].use.add(now, 1)
	}
	if link != nil {
		link.held += c.Bytes
	}
	return true
}

// Settle ends the reservation of a charge that Take has admitted and counts
// the bytes that went over the link, at most those reserved. Until then the
// whole reservation counts. It must be called once for each charge with a link.
func (l *Ledger) Settle(now time.Time, c Charge, actualBytes int64) {
	now = l.tick(now)
	link := l.link(c)
	if link == nil {
		return
	}
	link.held = max(0, link.held-c.Bytes)
	link.use.add(now, min(max(0, actualBytes), c.Bytes))
}

// link returns the bucket of a charge's link, or nil.
func (l *Ledger) link(c Charge) *bucket {
	if c.Link == nil || c.Bytes <= 0 {
		return nil
	}
	return l.buckets[linkBucket(*c.Link)]
}
