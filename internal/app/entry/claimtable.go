package entry

import (
	"sync"
	"time"

	"sassafrasreach/internal/core/claims"
)

const (
	// claimRetention is how long after the look-up that issued its token a key
	// that may have run is kept, so that a resend finds the outcome.
	claimRetention = 10 * time.Minute
	// claimClockSkew bounds the difference between the clocks of two entries.
	claimClockSkew = 5 * time.Second
	// maxClaims and maxClaimBytes bound the number and the memory of the claims
	// of one entry.
	maxClaims     = 50_000
	maxClaimBytes = 32 << 20
	// claimMemoryDivisor gives the part of the process's memory that claims may take.
	claimMemoryDivisor = 16
)

// claimBytes returns the bound on the memory of the claims.
func claimBytes(memoryBytes int64) int64 {
	if memoryBytes <= 0 {
		return maxClaimBytes
	}
	return min(maxClaimBytes, memoryBytes/claimMemoryDivisor)
}

// claimTable guards the claims of this incarnation and wakes resends that wait
// for the outcome of the attempt in flight.
type claimTable struct {
	self claims.Coordinator

	mu      sync.Mutex
	table   *claims.Table
	waiting map[string]chan struct{} // closed when the attempt ends
}

// newClaimTable returns an empty table. memoryBytes is the memory of the process, 0 if it
// isn't known.
func newClaimTable(self claims.Coordinator, memoryBytes int64) *claimTable {
	config := claims.Config{
		MaxEntries: maxClaims,
		MaxBytes:   claimBytes(memoryBytes),
		Retention:  claimRetention,
		ClockSkew:  claimClockSkew,
	}
	return &claimTable{
		self:    self,
		table:   claims.NewTable(self, config),
		waiting: make(map[string]chan struct{}),
	}
}

// begin decides on an attempt; for Wait the channel is closed when the attempt
// in flight ends and begin may be called again.
func (t *claimTable) begin(now time.Time, k claims.Key, f claims.Fingerprint) (claims.Decision, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	decision := t.table.Begin(now, k, f)
	switch decision.Kind {
	case claims.Start:
		t.waiting[k.String()] = make(chan struct{})
	case claims.Wait:
		return decision, t.waiting[k.String()]
	}
	return decision, nil
}

// finish stores the outcome of an attempt and wakes the resends that wait for
// it.
func (t *claimTable) finish(now time.Time, k claims.Key, o claims.Outcome) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Finish(now, k, o)
	close(t.waiting[k.String()])
	delete(t.waiting, k.String())
}

func (t *claimTable) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Expire(now)
}

// seal makes the table refuse unknown keys.
func (t *claimTable) seal() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Seal()
}

func (t *claimTable) handOvers(now time.Time) []claims.HandOver {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.HandOvers(now)
}

func (t *claimTable) importHandOver(now time.Time, h claims.HandOver) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Import(now, h.From, h.Rows, h.Complete)
}
