// Package memory bounds the bytes that a process holds for clients, endpoints and other
// VMs together, where each of them alone is within its own limit.
package memory

import (
	"sync"
	"sync/atomic"
)

// Kind says what bytes are held for.
type Kind uint8

const (
	// Responses are those of endpoints, until they are written to their clients. It is
	// the kind of an account that was opened without one.
	Responses Kind = iota
	// Connections are those of clients, with the heads of their requests.
	Connections
	// Bodies are those of clients' requests, until they were sent.
	Bodies
	// Orders are those of operators and endpoints at a controller.
	Orders
	// ReadAhead are those of requests that were read while earlier ones of their
	// connections are unanswered.
	ReadAhead
	// Messages are those of other VMs, while they are handled.
	Messages
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [kinds]string{"responses", "connections", "bodies", "orders", "read-ahead", "messages"}[k]
}

// fairPart divides what is left of a budget: an account that is to be fair holds that part
// at most.
const fairPart = 4

// SmallBytes is what an account for bodies or orders may hold of the reserved part of a
// budget.
const SmallBytes = 16 << 10

// reliefBytes is how many bytes are taken between two calls of the relief.
const reliefBytes = 256 << 10

// Budget is a number of bytes that accounts share. A part of it is reserved for small
// bodies and orders, for responses and for connections: large bodies and orders get only
// the rest. It is safe for concurrent use; a nil Budget has no bound.
type Budget struct {
	mu                    sync.Mutex
	limit, reserved, held int64
	// caps bounds the bytes of a kind; 0 sets no bound but the limit.
	caps    [kinds]int64
	byKind  [kinds]int64
	refused [kinds]int64
	// relief is called for each reliefBytes that are taken; nil if there is none.
	relief func()
	// unrelieved counts the bytes that were taken since.
	unrelieved atomic.Int64
}

// NewBudget returns a budget of so many bytes without a reserved part.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit} }

// NewReservedBudget returns a budget of so many bytes, of which a part is reserved.
func NewReservedBudget(limit, reserved int64) *Budget {
	return &Budget{limit: limit, reserved: reserved}
}

// SetRelief sets a function that is called, with no lock held, before bytes are taken, about
// once for each 256 KiB. It may wait until the process has memory for them. It must be set
// before the budget is used.
func (b *Budget) SetRelief(relief func()) { b.relief = relief }

// relieve calls the relief if it is due before n more bytes are taken.
func (b *Budget) relieve(n int64) {
	if b == nil || b.relief == nil || b.unrelieved.Add(n) < reliefBytes {
		return
	}
	b.unrelieved.Store(0)
	b.relief()
}

// take takes bytes for an account that holds as many of its kind already. It returns
// false, and takes nothing, if fewer are left.
func (b *Budget) take(n, holds int64, kind Kind) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.limit - b.held
	if (kind == Bodies || kind == Orders) && holds+n > SmallBytes {
		left -= b.reserved
	}
	if most := b.caps[kind]; most > 0 {
		left = min(left, most-b.byKind[kind])
	}
	if n > left {
		b.refused[kind]++
		return false
	}
	b.held += n
	b.byKind[kind] += n
	return true
}

// force takes bytes even if fewer are left.
func (b *Budget) force(n int64, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held += n
	b.byKind[kind] += n
}

func (b *Budget) give(n int64, kind Kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= n
	b.byKind[kind] -= n
}

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Gauges returns the limit, the bytes held by kind, and how often bytes of a kind were
// refused, by the names of the metrics.
func (b *Budget) Gauges() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int64{"memory.limit": b.limit, "memory.reserved": b.reserved, "memory.held": b.held}
	for k := range kinds {
		out["memory.held."+k.String()] = b.byKind[k]
		out["memory.refused."+k.String()] = b.refused[k]
	}
	return out
}

// left returns the bytes that may still be taken for a kind.
func (b *Budget) left(kind Kind) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.limit - b.held
	if most := b.caps[kind]; most > 0 {
		left = min(left, most-b.byKind[kind])
	}
	return left
}

// Account is the part of a budget that one request or connection holds. It is safe for
// concurrent use.
type Account struct {
	budget *Budget
	kind   Kind

	mu     sync.Mutex
	held   int64
	closed bool
	// retained counts the calls of Close that are still to come before the one that
	// closes the account.
	retained int
}

// Open returns an empty account for a response.
func (b *Budget) Open() *Account { return b.OpenFor(Responses) }

// OpenFor returns an empty account.
func (b *Budget) OpenFor(kind Kind) *Account { return &Account{budget: b, kind: kind} }

// Take adds bytes to the account. It returns false, and adds nothing, if the budget
// doesn't have them or the account is closed.
func (a *Account) Take(n int64) bool {
	a.budget.relieve(n)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed || a.budget != nil && !a.budget.take(n, a.held, a.kind) {
		return false
	}
	a.held += n
	return true
}

// Force adds bytes to the account even if the budget doesn't have them: others get less
// until they are given back.
func (a *Account) Force(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return
	}
	a.held += n
	if a.budget != nil {
		a.budget.force(n, a.kind)
	}
}

// Fair reports whether the account may grow to so many bytes and leave the others as much
// each: what it holds then is at most a part of what is left. So those that came first and
// give nothing back don't take all.
func (a *Account) Fair(n int64) bool {
	return a.budget == nil || n <= a.budget.left(a.kind)/fairPart
}

// Held returns the bytes of the account.
func (a *Account) Held() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// Return gives bytes of the account back to the budget.
func (a *Account) Return(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.give(min(n, a.held))
}

// Retain keeps the account open beyond the next call of Close: each call needs one more of
// these.
func (a *Account) Retain() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.retained++
}

// Close gives back all bytes of the account, unless it is retained; nothing can be taken any
// more then.
func (a *Account) Close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.retained > 0 {
		a.retained--
		return
	}
	a.closed = true
	a.give(a.held)
}

func (a *Account) give(n int64) {
	a.held -= n
	if a.budget != nil {
		a.budget.give(n, a.kind)
	}
}
