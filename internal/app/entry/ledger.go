package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// loanPeriod is the time between looks for loans.
	loanPeriod = 250 * time.Millisecond
	// versionsPeriod is the time between reports of others' versions.
	versionsPeriod = time.Second
	// headBytes is charged for the header of a request and of its answer.
	headBytes = 2 << 10
)

// ledger guards this entry's part of all caps.
type ledger struct {
	mu    sync.Mutex
	table *budget.Ledger
}

func newLedger(config Config, now time.Time) *ledger {
	owner := budget.Owner{Entry: config.Name, Incarnation: config.Incarnation}
	return &ledger{table: budget.NewLedger(owner, budget.Config{}, now)}
}

func (l *ledger) setDocument(now time.Time, s *snapshot) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetDocument(now, s.config.Version, s.doc)
}

func (l *ledger) setVersions(now time.Time, versions map[string]uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.SetVersions(now, versions)
}

func (l *ledger) take(now time.Time, c budget.Charge) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Take(now, c)
}

func (l *ledger) settle(now time.Time, c budget.Charge, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Settle(now, c, bytes)
}

func (l *ledger) wants(now time.Time) []budget.BorrowRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Wants(now)
}

func (l *ledger) lend(now time.Time, r budget.BorrowRequest) budget.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Lend(now, r)
}

func (l *ledger) borrowed(now time.Time, r budget.BorrowRequest, sentAt time.Time, g budget.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Borrowed(now, r, sentAt, g)
}

// takeCap charges a request that is served outside its place of origin to every
// rule and to the link that it crosses. The charge is nil for one that is not.
func (e *Entry) takeCap(req *port.Request, key groupKey) (*budget.Charge, error) {
	if req.Origin == key.place {
		return nil, nil
	}
	crossing, ok := e.snapshot.Load().table.Crossing(req.Service, req.Origin, key.place)
	if !ok {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonCap, nil)
	}
	charge := e.chargeOf(req, crossing)
	if !e.ledger.take(e.clock.Now(), charge) {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonCap, nil)
	}
	for _, rule := range crossing.Rules {
		e.meter.Moved(rule)
	}
	return &charge, nil
}

func (e *Entry) chargeOf(req *port.Request, crossing steering.Choice) budget.Charge {
	regions := e.snapshot.Load().regions
	charge := budget.Charge{Rules: crossing.Rules}
	from, to := regions[req.Origin].name, regions[crossing.Place].name
	if from != to {
		charge.Link = &budget.LinkID{From: from, To: to}
		charge.Bytes = int64(len(req.Body)) + headBytes
		charge.AnswerBytes = req.MaxAnswerBytes + headBytes
	}
	return charge
}

// settleCap counts the bytes that an answer really took. Those of a streamed
// answer are known when its body is closed; until then its bound counts.
func (e *Entry) settleCap(charge *budget.Charge, response *port.Response) {
	if charge == nil || charge.Link == nil {
		return
	}
	if response == nil {
		// A failed request may have moved as much as it reserved.
		e.ledger.settle(e.clock.Now(), *charge, charge.AnswerBytes)
		return
	}
	if response.Rest != nil {
		response.Rest = &closer{ReadCloser: response.Rest, after: func() {
			e.ledger.settle(e.clock.Now(), *charge, charge.AnswerBytes)
		}}
		return
	}
	e.ledger.settle(e.clock.Now(), *charge, int64(len(response.Body))+headBytes)
}

// loanLoop borrows unused shares of other entries while this one lacks some.
func (e *Entry) loanLoop(ctx context.Context) {
	var told time.Time
	wait.Each(ctx, loanPeriod, func() {
		now := e.clock.Now()
		if now.Sub(told) >= versionsPeriod {
			told = now
			e.ledger.setVersions(now, e.heardVersions(now))
		}
		for _, want := range e.ledger.wants(now) {
			e.inBackground(ctx, func(ctx context.Context) { e.borrow(ctx, want) })
		}
	})
}

// heardVersions tells which version each other live entry has.
func (e *Entry) heardVersions(now time.Time) map[string]uint64 {
	versions := make(map[string]uint64)
	s := e.snapshot.Load()
	if s == nil {
		return versions
	}
	for name := range s.entries {
		if member, live := e.members.member(now, name); live && name != e.config.Name {
			versions[name] = member.Version
		}
	}
	return versions
}

func (e *Entry) borrow(ctx context.Context, want budget.BorrowRequest) {
	address, ok := e.snapshot.Load().entries[want.Lender]
	if !ok {
		return
	}
	sentAt := e.clock.Now()
	grant, err := e.peers.Borrow(ctx, address.peer, port.LoanRequest{
		Bucket:              want.Bucket,
		Borrower:            want.Borrower,
		BorrowerIncarnation: want.BorrowerIncarnation,
		Units:               uint64(want.Units),
		Term:                want.Term,
		DocumentVersion:     want.DocumentVersion,
	})
	if err != nil {
		return
	}
	e.ledger.borrowed(e.clock.Now(), want, sentAt, budget.Grant{Units: int64(grant.Units), Term: grant.Term})
}

// HandleBorrow implements port.PeerHandler.
func (e *Entry) HandleBorrow(r port.LoanRequest) port.LoanGrant {
	grant := e.ledger.lend(e.clock.Now(), budget.BorrowRequest{
		Bucket:              r.Bucket,
		Lender:              e.config.Name,
		Borrower:            r.Borrower,
		BorrowerIncarnation: r.BorrowerIncarnation,
		Units:               int64(r.Units),
		Term:                r.Term,
		DocumentVersion:     r.DocumentVersion,
	})
	return port.LoanGrant{Units: uint64(grant.Units), Term: grant.Term}
}
