package budget

import (
	"maps"
	"slices"
	"time"
)

const (
	// renewBefore is the part of a term before whose end a loan is renewed:
	// one in renewBefore.
	renewBefore = 2
	// hungryAbove is the demand, in percent of what is usable, above which an
	// entry borrows.
	hungryAbove = 80
	// firstAsk and nextAsk are how much of the demand is asked for, in percent:
	// more at first, when the demand is rising, than once there are loans.
	firstAsk = 120
	nextAsk  = 105
)

// Wants returns the requests for loans that this entry should send now. It is
// called a few times a second; the answers go to Borrowed.
func (l *Ledger) Wants(now time.Time) []BorrowRequest {
	now = l.tick(now)
	if now.Before(l.usableFrom) {
		return nil
	}
	var requests []BorrowRequest
	for _, name := range slices.Sorted(maps.Keys(l.buckets)) {
		requests = append(requests, l.wantsOf(now, l.buckets[name])...)
	}
	return requests
}

// wantsOf asks for what the demand of the last window lacks: first the loans
// that end soon, then new lenders in turn.
func (l *Ledger) wantsOf(now time.Time, b *bucket) []BorrowRequest {
	demand := b.demand.used(now)
	if demand*percent <= l.ownUsable(now, b)*hungryAbove {
		return nil
	}
	asked := int64(firstAsk)
	if len(b.borrowed) > 0 {
		asked = nextAsk
	}
	missing := demand*asked/percent - l.ownUsable(now, b)
	var requests []BorrowRequest
	for _, lender := range slices.Sorted(maps.Keys(b.borrowed)) {
		units, _ := largest(now, slices.Clone(b.borrowed[lender]))
		if units == 0 || missing <= 0 {
			continue
		}
		if l.endsSoon(now, b.borrowed[lender], units) {
			requests = append(requests, l.request(b, lender, min(units, missing)))
		}
		missing -= units
	}
	for range l.cfg.AskAtOnce {
		lender := l.nextLender(now, b)
		if missing <= 0 || lender == "" {
			break
		}
		requests = append(requests, l.request(b, lender, missing))
	}
	return requests
}

// ownUsable is what may be used without loans from others.
func (l *Ledger) ownUsable(now time.Time, b *bucket) int64 {
	return max(0, b.limit-b.lentUnits(now))
}

// endsSoon says whether no loan of these units lasts for another part of the
// term.
func (l *Ledger) endsSoon(now time.Time, loans []loan, units int64) bool {
	for _, one := range loans {
		if one.units >= units && one.until.Sub(now) > l.cfg.Term/renewBefore {
			return false
		}
	}
	return true
}

func (l *Ledger) request(b *bucket, lender string, units int64) BorrowRequest {
	return BorrowRequest{
		Bucket:              b.name,
		Lender:              lender,
		Borrower:            l.self.Entry,
		BorrowerIncarnation: l.self.Incarnation,
		Units:               units,
		Term:                l.cfg.Term,
		DocumentVersion:     l.version,
	}
}

// nextLender returns the next entry with a share that has lent nothing and
// hasn't refused just now; empty when there is none.
func (l *Ledger) nextLender(now time.Time, b *bucket) string {
	var lenders []string
	for entry, share := range b.now.shares {
		if entry == l.self.Entry || share == 0 || len(b.borrowed[entry]) > 0 {
			continue
		}
		if now.Before(b.refused[entry]) {
			continue
		}
		lenders = append(lenders, entry)
	}
	if len(lenders) == 0 {
		return ""
	}
	slices.Sort(lenders)
	i, found := slices.BinarySearch(lenders, b.asked)
	if found {
		i++
	}
	b.asked = lenders[i%len(lenders)]
	b.refused[b.asked] = now.Add(l.cfg.Window / 2)
	return b.asked
}

// Lend answers another entry's request. What is granted is taken from the own
// share at once; it has lain unused for a whole window, unless that borrower
// has it already.
func (l *Ledger) Lend(now time.Time, r BorrowRequest) Grant {
	now = l.tick(now)
	l.settleLimits(now)
	b, ok := l.buckets[r.Bucket]
	if !ok || now.Before(l.usableFrom) || r.Borrower == l.self.Entry || r.Units <= 0 {
		return Grant{}
	}
	if r.DocumentVersion > l.version || r.DocumentVersion < b.now.version {
		return Grant{}
	}
	id := borrowerID{r.Borrower, r.BorrowerIncarnation}
	has, _ := largest(now, b.lent[id])
	units := min(r.Units, max(0, has+l.spare(now, b)))
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

// spare is what the own share has left after loans, the use of the last window
// and a part that is kept. It is negative when the own demand lacks units, so
// that loans aren't renewed.
func (l *Ledger) spare(now time.Time, b *bucket) int64 {
	keep := b.limit / int64(l.cfg.KeepOneIn)
	need := max(b.use.used(now)+b.held, b.demand.used(now)) + keep
	return b.limit - b.lentUnits(now) - need
}

// Borrowed records the answer to a request that was sent at sentAt. A loan
// from before a change of the bucket's shares isn't used.
func (l *Ledger) Borrowed(now time.Time, r BorrowRequest, sentAt time.Time, g Grant) {
	now = l.tick(now)
	b, ok := l.buckets[r.Bucket]
	if !ok || r.BorrowerIncarnation != l.self.Incarnation || r.DocumentVersion < b.now.version {
		return
	}
	until := sentAt.Add(min(g.Term, r.Term))
	if g.Units <= 0 || !now.Before(until) {
		b.refused[r.Lender] = now.Add(l.cfg.Window / 2)
		return
	}
	b.borrowed[r.Lender] = append(b.borrowed[r.Lender], loan{units: min(g.Units, r.Units), until: until})
}
