package budget

import "time"

// Hold is units reserved by one request until it is known what it used. Each
// must be ended once, by Settle or Release.
type Hold struct {
	uses []use
}

// use is what a hold reserves of one bucket.
type use struct {
	b     *bucket
	units int64
	// upTo says that fewer units may be used than are reserved.
	upTo bool
}

// Admit reserves the bytes that a request needs of its link in both directions
// if its rules have room for it too, and returns nil if anything has none. A
// rule that isn't in the document has none; a link that isn't has no bound.
// The rules' units are taken later, by Take.
func (l *Ledger) Admit(now time.Time, c Charge) *Hold {
	now = l.tick(now)
	l.settleLimits(now)
	rules, known := l.rules(c.Rules)
	links := l.links(c)
	touch(now, links)
	if !known || !fit(now, rules) || !fit(now, links) {
		touch(now, rules)
		return nil
	}
	return hold(links)
}

// Take reserves one unit of each rule, or nothing and nil if one has no room.
// It is called right before a request is sent, once for each time.
func (l *Ledger) Take(now time.Time, rules []string) *Hold {
	now = l.tick(now)
	l.settleLimits(now)
	uses, known := l.rules(rules)
	touch(now, uses)
	if !known || !fit(now, uses) {
		return nil
	}
	return hold(uses)
}

// Settle ends a hold and counts what was used, from now on for a window. Up to
// now the whole hold counted, so what was used at any time since it was taken
// is in each window around that time. bytes are those that went over the link:
// of the answer if the charge bounded them apart, and of request and answer
// otherwise.
func (l *Ledger) Settle(now time.Time, h *Hold, bytes int64) {
	now = l.tick(now)
	for _, u := range h.uses {
		u.b.held -= u.units
		used := u.units
		if u.upTo {
			used = min(max(0, bytes), u.units)
		}
		u.b.use.add(now, used)
	}
}

// Release ends a hold of which nothing was used.
func (l *Ledger) Release(h *Hold) {
	for _, u := range h.uses {
		u.b.held -= u.units
	}
}

func touch(now time.Time, uses []use) {
	for _, u := range uses {
		u.b.touch(now, u.units)
	}
}

func fit(now time.Time, uses []use) bool {
	for _, u := range uses {
		if !u.b.fits(now, u.units) {
			return false
		}
	}
	return true
}

func hold(uses []use) *Hold {
	for _, u := range uses {
		u.b.held += u.units
	}
	return &Hold{uses: uses}
}

// rules returns a use of one unit of each rule; false if one is unknown.
func (l *Ledger) rules(names []string) ([]use, bool) {
	uses := make([]use, 0, len(names))
	known := true
	for _, name := range names {
		b, ok := l.buckets[ruleBucket(name)]
		if !ok {
			known = false
			continue
		}
		uses = append(uses, use{b: b, units: 1})
	}
	return uses, known
}

// links returns what a charge uses of its link in both directions.
func (l *Ledger) links(c Charge) []use {
	if c.Link == nil {
		return nil
	}
	var uses []use
	if b := l.buckets[linkBucket(*c.Link)]; b != nil && c.Bytes > 0 {
		uses = append(uses, use{b: b, units: c.Bytes, upTo: c.AnswerBytes <= 0})
	}
	back := LinkID{From: c.Link.To, To: c.Link.From}
	if b := l.buckets[linkBucket(back)]; b != nil && c.AnswerBytes > 0 {
		uses = append(uses, use{b: b, units: c.AnswerBytes, upTo: true})
	}
	return uses
}
