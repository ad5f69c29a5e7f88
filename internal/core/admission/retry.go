package admission

import "time"

const (
	// retryRatio is the number of retries that one success allows.
	retryRatio = 0.1
	// maxRetryBalance bounds the retries that are saved up.
	maxRetryBalance = 20
	// retryRefillPerSecond is the number of retries per second that are
	// allowed without successes, so that an idle entry VM may retry at all.
	retryRefillPerSecond = 0.5
)

// RetryBudget is a token bucket that limits retries and hedged requests to
// about a tenth of the successes, so that retries can't amplify a failure. It
// is not safe for concurrent use.
type RetryBudget struct {
	balance float64
	last    time.Time
}

// NewRetryBudget returns a budget that allows one retry at once.
func NewRetryBudget() *RetryBudget { return &RetryBudget{balance: 1} }

// Deposit records one success.
func (b *RetryBudget) Deposit() { b.balance = min(maxRetryBalance, b.balance+retryRatio) }

// Withdraw takes one retry and reports whether it is allowed.
func (b *RetryBudget) Withdraw(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// refill adds what the elapsed time allows, up to one retry.
func (b *RetryBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.last); !b.last.IsZero() && elapsed > 0 && b.balance < 1 {
		b.balance = min(1, b.balance+elapsed.Seconds()*retryRefillPerSecond)
	}
	b.last = now
}
