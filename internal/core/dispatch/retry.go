package dispatch

import "time"

// RetryBudget bounds the second sends of a service's requests. All dispatchers
// together keep within the bound, since each uses its own requests and a fixed
// share of the extra.
type RetryBudget struct {
	// Ratio is the number of second sends for each request.
	Ratio float64
	// Extra is added to them in each window.
	Extra float64
	// Window is the time over which both count.
	Window time.Duration
}

const (
	// retryBuckets divide a window.
	retryBuckets = 10
	// retryUse is the part of the budget that is used: requests that are counted
	// here may be counted a bucket later at the endpoint.
	retryUse = 0.8
)

// retries counts the requests and second sends of one service in the buckets of
// the last window.
type retries struct {
	began    time.Time
	requests [retryBuckets]int
	sends    [retryBuckets]int
	current  int
}

// turn moves on to the bucket of a moment.
func (r *retries) turn(now time.Time, b RetryBudget) {
	step := b.Window / retryBuckets
	if r.began.IsZero() || step <= 0 {
		r.began = now
		return
	}
	for range retryBuckets {
		if now.Sub(r.began) < step {
			return
		}
		r.began = r.began.Add(step)
		r.current = (r.current + 1) % retryBuckets
		r.requests[r.current], r.sends[r.current] = 0, 0
	}
	r.began = now // nothing was asked for a whole window
}

// request counts a request.
func (r *retries) request(now time.Time, b RetryBudget) {
	r.turn(now, b)
	r.requests[r.current]++
}

// take counts a second send if the budget allows it.
func (r *retries) take(now time.Time, b RetryBudget) bool {
	r.turn(now, b)
	requests, sends := 0, 0
	for i := range retryBuckets {
		requests += r.requests[i]
		sends += r.sends[i]
	}
	if float64(sends+1) > retryUse*(b.Ratio*float64(requests)+b.Extra) {
		return false
	}
	r.sends[r.current]++
	return true
}
