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

// use is what a charge takes of one bucket.
type use struct {
	b     *bucket
	units int64
	// answer says that the units are bytes of the answer.
	answer bool
}

// Take uses what a request needs of every rule and of its link in both
// directions, or nothing if one of them has no room. A rule that isn't in the
// document has none; a link that isn't has no bound.
func (l *Ledger) Take(now time.Time, c Charge) bool {
	now = l.tick(now)
	l.settleLimits(now)
	rules, known := l.rules(c)
	links := l.links(c)
	fits := known
	for _, list := range [...][]use{rules, links} {
		for _, u := range list {
			u.b.touch(now, u.units)
			fits = fits && u.b.fits(now, u.units)
		}
	}
	if !fits {
		return false
	}
	for _, u := range rules {
		u.b.use.add(now, u.units)
	}
	for _, u := range links {
		u.b.held += u.units
	}
	return true
}

// Settle ends the reservation of bytes by a charge that Take has admitted, and
// counts what went over the link, at most what was reserved. Until then the
// whole reservation counts. actualBytes are those of the answer when the charge
// bounds them apart, and those of request and answer otherwise. Settle must be
// called once for each admitted charge with a link, also when nothing was sent.
func (l *Ledger) Settle(now time.Time, c Charge, actualBytes int64) {
	now = l.tick(now)
	for _, u := range l.links(c) {
		u.b.held = max(0, u.b.held-u.units)
		actual := u.units
		if u.answer || c.AnswerBytes <= 0 {
			actual = min(max(0, actualBytes), u.units)
		}
		u.b.use.add(now, actual)
	}
}

// rules returns what a charge uses of rules; false if it names an unknown one.
func (l *Ledger) rules(c Charge) ([]use, bool) {
	list := make([]use, 0, len(c.Rules))
	known := true
	for _, rule := range c.Rules {
		b, ok := l.buckets[ruleBucket(rule)]
		if !ok {
			known = false
			continue
		}
		list = append(list, use{b: b, units: 1})
	}
	return list, known
}

// links returns what a charge uses of its link in both directions.
func (l *Ledger) links(c Charge) []use {
	if c.Link == nil {
		return nil
	}
	var list []use
	if b := l.buckets[linkBucket(*c.Link)]; b != nil && c.Bytes > 0 {
		list = append(list, use{b: b, units: c.Bytes})
	}
	back := LinkID{From: c.Link.To, To: c.Link.From}
	if b := l.buckets[linkBucket(back)]; b != nil && c.AnswerBytes > 0 {
		list = append(list, use{b: b, units: c.AnswerBytes, answer: true})
	}
	return list
}
