package endpointhttp

import (
	"context"
	"errors"

	"sassafrasreach/internal/core/verdict"
)

// Origin says where the connection of a request came from: it was reused, or why a new one
// was opened. Each connection that was closed explains one that is opened later.
type Origin string

const (
	// Reused is a connection that carried a request before.
	Reused Origin = "reused"
	// First means that no connection to the endpoint was open lately.
	First Origin = "first"
	// AllInUse means that all connections to the endpoint were in use.
	AllInUse Origin = "all-in-use"
	// OnceOnlyIdle means that those that weren't in use had been idle for too long for a
	// once-only request.
	OnceOnlyIdle Origin = "once-only-idle"
	// Idle means that a connection was closed because it was idle for IdleTimeout or for
	// the time that the endpoint stated.
	Idle Origin = "idle"
	// EndpointClosed means that the endpoint closed or reset one, or said that it would.
	EndpointClosed Origin = "endpoint-closed"
	// Untrusted means that one was closed because its response couldn't be trusted.
	Untrusted Origin = "untrusted"
	// ClientLeft means that one was closed with its request, whose client had left.
	ClientLeft Origin = "client-left"
	// DeadlinePassed means that one was closed after a deadline had passed at the endpoint.
	DeadlinePassed Origin = "deadline"
	// OverLimit means that one was closed to stay within the limit of the endpoint or of
	// the process.
	OverLimit Origin = "over-limit"
	// Resent means that the request is sent again since its reused connection was reset.
	Resent Origin = "resent"
	// NotAgain means that the endpoint had refused the request on the idle connections.
	NotAgain Origin = "not-again"
)

// origins counts the connections to an endpoint that were closed and not replaced, by
// cause. Its zero value is empty.
type origins struct {
	closed map[Origin]int
	// last holds the causes in the order of their last use, the newest at the end.
	last []Origin
}

func (o *origins) add(cause Origin) {
	if o.closed == nil {
		o.closed = make(map[Origin]int)
	}
	o.closed[cause]++
	for i, other := range o.last {
		if other == cause {
			o.last = append(o.last[:i], o.last[i+1:]...)
			break
		}
	}
	o.last = append(o.last, cause)
}

// take returns the cause that was added last and removes one connection of it; false if
// there is none.
func (o *origins) take() (Origin, bool) {
	for i := len(o.last) - 1; i >= 0; i-- {
		if cause := o.last[i]; o.closed[cause] > 0 {
			o.closed[cause]--
			return cause, true
		}
	}
	return "", false
}

// causeOf returns why the connection of a failed exchange is closed.
func causeOf(ctx context.Context, reason verdict.Reason, err error) Origin {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return DeadlinePassed
	case ctx.Err() != nil, errors.Is(err, errClosedEarly):
		return ClientLeft
	case reason == verdict.ReasonConnection, ConnectionReset(err):
		return EndpointClosed
	default:
		return Untrusted
	}
}
