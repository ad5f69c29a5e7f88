package dispatch

import "time"

// RetryBudget limits the retries of a service's requests. All dispatchers
// together stay within the limit, because each counts only its own requests
// and a fixed share of Extra.
type RetryBudget struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Extra is the number of retries allowed per window in addition.
	Extra float64
	// Window is the time over which requests and retries are counted.
	Window time.Duration
}

const (
	// retryBuckets is the number of buckets in a window.
	retryBuckets = 10
	// retryBudgetUse is the part of the budget that is used. A request that
	// is counted here may be counted one bucket later at the endpoint.
	retryBudgetUse = 0.8
)

// retries counts the requests and retries of one service over the last
// window, in a ring of buckets.
type retries struct {
	bucketStart time.Time
	requests    [retryBuckets]int
	retried     [retryBuckets]int
	current     int
}

// advance moves to the bucket of the current time and clears the buckets that
// have left the window.
func (r *retries) advance(now time.Time, b RetryBudget) {
	step := b.Window / retryBuckets
	if r.bucketStart.IsZero() || step <= 0 {
		r.bucketStart = now
		return
	}
	for range retryBuckets {
		if now.Sub(r.bucketStart) < step {
			return
		}
		r.bucketStart = r.bucketStart.Add(step)
		r.current = (r.current + 1) % retryBuckets
		r.requests[r.current], r.retried[r.current] = 0, 0
	}
	r.bucketStart = now // no request for a whole window
}

// countRequest counts a request that is no retry.
func (r *retries) countRequest(now time.Time, b RetryBudget) {
	r.advance(now, b)
	r.requests[r.current]++
}

// take counts a retry and returns true if the budget allows it.
func (r *retries) take(now time.Time, b RetryBudget) bool {
	r.advance(now, b)
	requests, retried := 0, 0
	for i := range retryBuckets {
		requests += r.requests[i]
		retried += r.retried[i]
	}
	if float64(retried+1) > retryBudgetUse*(b.Ratio*float64(requests)+b.Extra) {
		return false
	}
	r.retried[r.current]++
	return true
}
