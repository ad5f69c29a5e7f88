package budget

import "time"

// Reservation is the units reserved for one request until its use is known.
// Each must be ended once, by Settle or Release.
type Reservation struct {
	parts []reservationPart
}

// reservationPart is what a reservation takes in one bucket.
type reservationPart struct {
	b     *bucket
	units int64
	// isUpperBound is set when fewer units may be used than are reserved.
	isUpperBound bool
}

// Admit reserves the bytes that a request needs of its link in both directions.
// It returns nil when the link or a rule of the request has no room. A rule
// without a bucket here, because it isn't in the document or this entry isn't
// in its destination, has no room; a link without a bucket here is unlimited.
// The rules' units are reserved later, by Take.
func (l *Ledger) Admit(now time.Time, c Charge) *Reservation {
	now = l.monotonic(now)
	l.raiseLimits(now)
	rules, known := l.ruleParts(c.Rules)
	links := l.linkParts(c)
	recordDemand(now, links)
	if !known || !allFit(now, rules) || !allFit(now, links) {
		recordDemand(now, rules)
		return nil
	}
	return newReservation(links)
}

// Take reserves one unit of each rule. It returns nil and reserves nothing when
// one of them has no room. It is called right before a request is sent, once
// per attempt.
func (l *Ledger) Take(now time.Time, rules []string) *Reservation {
	now = l.monotonic(now)
	l.raiseLimits(now)
	parts, known := l.ruleParts(rules)
	recordDemand(now, parts)
	if !known || !allFit(now, parts) {
		return nil
	}
	return newReservation(parts)
}

// Settle ends a reservation and counts its actual use at the time now, so that
// it counts for one window from now on. The units may have been used at any
// time since the reservation; until now the whole reservation counted, so every
// window that contains that time counts them. bytes is the
// number of bytes that went over the link: those of the answer if the charge
// has AnswerBytes, and those of request and answer otherwise.
func (l *Ledger) Settle(now time.Time, r *Reservation, bytes int64) {
	now = l.monotonic(now)
	for _, p := range r.parts {
		p.b.reserved -= p.units
		used := p.units
		if p.isUpperBound {
			used = min(max(0, bytes), p.units)
		}
		p.b.use.add(now, used)
	}
}

// Release ends a reservation whose units weren't used.
func (l *Ledger) Release(r *Reservation) {
	for _, p := range r.parts {
		p.b.reserved -= p.units
	}
}

func recordDemand(now time.Time, parts []reservationPart) {
	for _, p := range parts {
		p.b.recordDemand(now, p.units)
	}
}

func allFit(now time.Time, parts []reservationPart) bool {
	for _, p := range parts {
		if !p.b.fits(now, p.units) {
			return false
		}
	}
	return true
}

func newReservation(parts []reservationPart) *Reservation {
	for _, p := range parts {
		p.b.reserved += p.units
	}
	return &Reservation{parts: parts}
}

// ruleParts returns one unit of each rule's bucket; false if a rule is unknown.
func (l *Ledger) ruleParts(names []string) ([]reservationPart, bool) {
	parts := make([]reservationPart, 0, len(names))
	known := true
	for _, name := range names {
		b, ok := l.buckets[ruleBucket(name)]
		if !ok {
			known = false
			continue
		}
		parts = append(parts, reservationPart{b: b, units: 1})
	}
	return parts, known
}

// linkParts returns what a charge reserves of its link in both directions.
func (l *Ledger) linkParts(c Charge) []reservationPart {
	if c.Link == nil {
		return nil
	}
	var parts []reservationPart
	if b := l.buckets[linkBucket(*c.Link)]; b != nil && c.Bytes > 0 {
		parts = append(parts, reservationPart{b: b, units: c.Bytes, isUpperBound: c.AnswerBytes <= 0})
	}
	back := LinkID{From: c.Link.To, To: c.Link.From}
	if b := l.buckets[linkBucket(back)]; b != nil && c.AnswerBytes > 0 {
		parts = append(parts, reservationPart{b: b, units: c.AnswerBytes, isUpperBound: true})
	}
	return parts
}
