package entry

import (
	"sync"
	"time"

	"sassafrasreach/internal/core/admission"
)

// retryBudget guards the entry's budget of retries and hedged attempts.
type retryBudget struct {
	mu     sync.Mutex
	budget *admission.RetryBudget
}

func newRetryBudget() *retryBudget {
	return &retryBudget{budget: admission.NewRetryBudget()}
}

func (b *retryBudget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Deposit()
}

func (b *retryBudget) withdraw(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.Withdraw(now)
}
