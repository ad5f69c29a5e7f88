package endpointhttp

import (
	"context"
	"sync"

	"sassafrasreach/internal/port"
)

const (
	// resendRatio is the number of requests, for each call, that may be sent again after
	// the reset of a reused connection, and resendBurst the number in addition. When
	// endpoints reset all connections, the requests to them grow by 3%, which is well
	// below what retries may add.
	resendRatio = 0.03
	resendBurst = 5
)

// resendBudget bounds the requests that are sent again.
type resendBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newResendBudget() *resendBudget { return &resendBudget{tokens: resendBurst} }

// count counts a call.
func (b *resendBudget) count() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+resendRatio, resendBurst)
}

// take returns true if one more request may be sent again.
func (b *resendBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// mayResend reports whether a failed request may be sent again on a new connection: it may
// run twice, and its reused connection was reset before any byte of a response.
func (c *Caller) mayResend(ctx context.Context, req *port.Request, gate port.Gate, x *exchange) bool {
	return c.opts.ResendReset && !req.OnceOnly && gate == nil && x.resetBeforeResponse && ctx.Err() == nil && c.resends.take()
}

// resend sends a request again on a new connection, after it failed with an error. If it
// fails again, that error is returned and not the new one: the first run may have ended
// the endpoint's process, which a refused connection or the refusal of the next
// incarnation would hide.
func (c *Caller) resend(ctx context.Context, to port.Endpoint, req *port.Request, failure error) (*port.Response, error) {
	response, _, err := c.send(ctx, to, req, nil, true)
	if err != nil {
		return nil, failure
	}
	return response, nil
}
