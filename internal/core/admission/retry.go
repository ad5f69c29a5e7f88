package admission

import "time"

const (
	// retryRatio is the number of retries that one success permits.
	retryRatio = 0.1
	// retryBurst bounds the retries that are saved up.
	retryBurst = 20
	// retryTrickle is the number of retries a second that are permitted without
	// successes, so that an idle entry may retry at all.
	retryTrickle = 0.5
)

// RetryBudget bounds retries and hedged requests to about a tenth of the
// successes, so that retries can't multiply a failure. It is not safe for
// concurrent use.
type RetryBudget struct {
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget that permits a few retries at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: 1} }

// Deposit records a success of a first attempt.
func (b *RetryBudget) Deposit() { b.balance = min(retryBurst, b.balance+retryRatio) }

// Withdraw takes one retry and says whether it is permitted.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.trickle(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// trickle adds what time permits, up to a single retry.
func (b *RetryBudget) trickle(now time.Time) {
	if elapsed := now.Sub(b.last); !b.last.IsZero() && elapsed > 0 && b.balance < 1 {
		b.balance = min(1, b.balance+elapsed.Seconds()*retryTrickle)
	}
	b.last = now
}
