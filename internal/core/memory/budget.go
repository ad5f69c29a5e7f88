// Package memory bounds the bytes that the requests of a process hold together, where
// each of them alone is within its own limit.
package memory

import "sync"

// Budget is a number of bytes that accounts share. It is safe for concurrent use; a nil
// Budget has no bound.
type Budget struct {
	mu          sync.Mutex
	limit, held int64
}

// NewBudget returns a budget of so many bytes.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// take takes bytes from the budget. It returns false, and takes nothing, if fewer are
// left.
func (b *Budget) take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > b.limit-b.held {
		return false
	}
	b.held += n
	return true
}

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Account is the part of a budget that one request holds. It is safe for concurrent use.
type Account struct {
	budget *Budget

	mu     sync.Mutex
	held   int64
	closed bool
}

// Open returns an empty account.
func (b *Budget) Open() *Account { return &Account{budget: b} }

// Take adds bytes to the account. It returns false, and adds nothing, if the budget
// doesn't have them or the account is closed.
func (a *Account) Take(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.budget != nil && !a.budget.take(n) {
		return false
	}
	a.held += n
	return true
}

// Return gives bytes of the account back to the budget.
func (a *Account) Return(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give(min(n, a.held))
}

// Close gives back all bytes of the account; nothing can be taken any more.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	a.give(a.held)
}

func (a *Account) give(n int64) {
	a.held -= n
	if a.budget == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.held -= n
}
