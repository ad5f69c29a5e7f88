package budget

import (
	"maps"
	"slices"
	"time"
)

const (
	// renewDivisor gives the part of the term before its end in which a loan is
	// renewed: one in renewDivisor.
	renewDivisor = 2
	// borrowThresholdPercent is the demand, in percent of the usable part of an
	// entry's own share, above which it borrows.
	borrowThresholdPercent = 80
	// initialRequestPercent and followUpRequestPercent are the units an entry
	// aims to have, in percent of its demand. The first is larger because
	// demand is rising when there are no loans yet.
	initialRequestPercent  = 120
	followUpRequestPercent = 105
)

// LoanRequests returns the loan requests that this entry should send now. It is
// called a few times a second; the answers are passed to RecordLoan.
func (l *Ledger) LoanRequests(now time.Time) []LoanRequest {
	now = l.monotonic(now)
	if now.Before(l.usableFrom) {
		return nil
	}
	var requests []LoanRequest
	for _, name := range slices.Sorted(maps.Keys(l.buckets)) {
		requests = append(requests, l.loanRequests(now, l.buckets[name])...)
	}
	return requests
}

// loanRequests requests what the entry lacks for the demand of the last window:
// first it renews the loans that end soon, then it tries new lenders in
// round-robin order.
func (l *Ledger) loanRequests(now time.Time, b *bucket) []LoanRequest {
	demand := b.demand.used(now)
	if demand*percent <= l.ownUsable(now, b)*borrowThresholdPercent {
		return nil
	}
	targetPercent := int64(initialRequestPercent)
	if len(b.borrowed) > 0 {
		targetPercent = followUpRequestPercent
	}
	missing := demand*targetPercent/percent - l.ownUsable(now, b)
	var requests []LoanRequest
	for _, lender := range slices.Sorted(maps.Keys(b.borrowed)) {
		units, _ := largestLoan(now, slices.Clone(b.borrowed[lender]))
		if units == 0 || missing <= 0 {
			continue
		}
		if l.endsSoon(now, b.borrowed[lender], units) {
			requests = append(requests, l.newRequest(b, lender, min(units, missing)))
		}
		missing -= units
	}
	for range l.cfg.MaxNewLenders {
		lender := l.nextLender(now, b)
		if missing <= 0 || lender == "" {
			break
		}
		requests = append(requests, l.newRequest(b, lender, missing))
	}
	return requests
}

// ownUsable returns how much may be used without loans from others.
func (l *Ledger) ownUsable(now time.Time, b *bucket) int64 {
	return max(0, b.limit-b.lentUnits(now))
}

// endsSoon reports whether every loan of at least these units is in the last
// part of its term, in which it is renewed.
func (l *Ledger) endsSoon(now time.Time, loans []loan, units int64) bool {
	for _, ln := range loans {
		if ln.units >= units && ln.until.Sub(now) > l.cfg.Term/renewDivisor {
			return false
		}
	}
	return true
}

func (l *Ledger) newRequest(b *bucket, lender string, units int64) LoanRequest {
	return LoanRequest{
		Bucket:              b.name,
		Lender:              lender,
		Borrower:            l.self.Entry,
		BorrowerIncarnation: l.self.Incarnation,
		Units:               units,
		Term:                l.cfg.Term,
		DocumentVersion:     l.version,
	}
}

// nextLender returns the next other entry, in round-robin order, that has a
// share and no loan to this entry. It skips the entries that it returned, or
// that refused a request, within the last half window. It returns an empty name
// when there is none.
func (l *Ledger) nextLender(now time.Time, b *bucket) string {
	var lenders []string
	for entry, share := range b.current.shares {
		if entry == l.self.Entry || share == 0 || len(b.borrowed[entry]) > 0 {
			continue
		}
		if now.Before(b.retryAfter[entry]) {
			continue
		}
		lenders = append(lenders, entry)
	}
	if len(lenders) == 0 {
		return ""
	}
	slices.Sort(lenders)
	i, found := slices.BinarySearch(lenders, b.lastLender)
	if found {
		i++
	}
	b.lastLender = lenders[i%len(lenders)]
	b.retryAfter[b.lastLender] = now.Add(l.cfg.Window / 2)
	return b.lastLender
}

// Lend answers another entry's loan request. The granted units are taken from
// this entry's share at once. They have been unused for a whole window, unless
// the borrower has them on loan already.
func (l *Ledger) Lend(now time.Time, r LoanRequest) Grant {
	now = l.monotonic(now)
	l.raiseLimits(now)
	b, ok := l.buckets[r.Bucket]
	if !ok || now.Before(l.usableFrom) || r.Borrower == l.self.Entry || r.Units <= 0 {
		return Grant{}
	}
	if r.DocumentVersion > l.version || r.DocumentVersion < b.current.version {
		return Grant{}
	}
	id := borrowerID{r.Borrower, r.BorrowerIncarnation}
	alreadyLent, _ := largestLoan(now, b.lent[id])
	units := min(r.Units, max(0, alreadyLent+l.spare(now, b)))
	if units <= 0 {
		return Grant{}
	}
	term := min(r.Term, l.cfg.Term)
	if term <= 0 {
		return Grant{}
	}
	b.lent[id] = append(b.lent[id], loan{units: units, until: now.Add(l.cfg.lenderTerm(term))})
	return Grant{Units: units, Term: term}
}

// spare returns what is left of this entry's share after loans, its own need in
// the last window, and the reserve. It is negative when the entry itself lacks
// units; loans are then renewed for fewer units or not at all.
func (l *Ledger) spare(now time.Time, b *bucket) int64 {
	reserve := b.limit / int64(l.cfg.ReserveDivisor)
	need := max(b.use.used(now)+b.reserved, b.demand.used(now)) + reserve
	return b.limit - b.lentUnits(now) - need
}

// RecordLoan records the answer to a request that was sent at sentAt. A loan
// requested before the bucket's split changed is ignored.
func (l *Ledger) RecordLoan(now time.Time, r LoanRequest, sentAt time.Time, g Grant) {
	now = l.monotonic(now)
	b, ok := l.buckets[r.Bucket]
	if !ok || r.BorrowerIncarnation != l.self.Incarnation || r.DocumentVersion < b.current.version {
		return
	}
	until := sentAt.Add(min(g.Term, r.Term))
	if g.Units <= 0 || !now.Before(until) {
		b.retryAfter[r.Lender] = now.Add(l.cfg.Window / 2)
		return
	}
	b.borrowed[r.Lender] = append(b.borrowed[r.Lender], loan{units: min(g.Units, r.Units), until: until})
}
