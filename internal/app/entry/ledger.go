package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// loanPeriod is the time between checks whether loans are needed.
	loanPeriod = 250 * time.Millisecond
	// versionsPeriod is the time between updates of the other entries' document
	// versions in the ledger.
	versionsPeriod = time.Second
)

// ledger guards this entry's share of all caps.
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

func (l *ledger) admit(now time.Time, c budget.Charge) *budget.Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Admit(now, c)
}

func (l *ledger) take(now time.Time, rules []string) *budget.Reservation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Take(now, rules)
}

func (l *ledger) settle(now time.Time, r *budget.Reservation, bytes int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Settle(now, r, bytes)
}

func (l *ledger) release(r *budget.Reservation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.Release(r)
}

func (l *ledger) loanRequests(now time.Time) []budget.LoanRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.LoanRequests(now)
}

func (l *ledger) lend(now time.Time, r budget.LoanRequest) budget.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Lend(now, r)
}

func (l *ledger) recordLoan(now time.Time, r budget.LoanRequest, sentAt time.Time, g budget.Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.table.RecordLoan(now, r, sentAt, g)
}

// loanLoop borrows unused shares of other entries while this entry's own are
// insufficient, and updates the document versions of the others in the ledger.
func (e *Entry) loanLoop(ctx context.Context) {
	var updated time.Time
	wait.Every(ctx, loanPeriod, func() {
		now := e.clock.Now()
		if now.Sub(updated) >= versionsPeriod {
			updated = now
			e.ledger.setVersions(now, e.peerVersions(now))
		}
		for _, request := range e.ledger.loanRequests(now) {
			e.inBackground(ctx, func(ctx context.Context) { e.borrow(ctx, request) })
		}
	})
}

// peerVersions returns the document version of each other live entry.
func (e *Entry) peerVersions(now time.Time) map[string]uint64 {
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

func (e *Entry) borrow(ctx context.Context, request budget.LoanRequest) {
	address, ok := e.snapshot.Load().entries[request.Lender]
	if !ok {
		return
	}
	sentAt := e.clock.Now()
	grant, err := e.peers.Borrow(ctx, address.peer, port.LoanRequest{
		Bucket:              request.Bucket,
		Borrower:            request.Borrower,
		BorrowerIncarnation: request.BorrowerIncarnation,
		Units:               uint64(request.Units),
		Term:                request.Term,
		DocumentVersion:     request.DocumentVersion,
	})
	if err != nil {
		return
	}
	e.ledger.recordLoan(e.clock.Now(), request, sentAt, budget.Grant{Units: int64(grant.Units), Term: grant.Term})
}

// HandleBorrow implements port.PeerHandler.
func (e *Entry) HandleBorrow(r port.LoanRequest) port.LoanGrant {
	grant := e.ledger.lend(e.clock.Now(), budget.LoanRequest{
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
