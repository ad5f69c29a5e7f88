package port

import (
	"context"
	"fmt"
	"io"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/registry"
)

// ClientRequest is a client's request received by a gateway.
type ClientRequest struct {
	// Request is the request for the endpoint; its ID is the one that the
	// client gave this attempt.
	Request
	// RouteHost, which has no port, and Path select the route.
	RouteHost string
	Path      string
	// Affinity names the object that the request concerns; empty if none.
	Affinity string
	// Key is the key of the client's account; empty if KeyFault says why there is none.
	Key      Key
	KeyFault KeyFault
	// BodyDone is called once the body is no longer used; nil if nothing is held for it.
	BodyDone func()
	// IdempotentOnly means that the request must not run unless its route is idempotent,
	// because earlier requests of its connection are unanswered.
	IdempotentOnly bool
}

// Key is the key of a client account. It hides itself from logs and error texts.
type Key string

// hiddenKey stands for a key in texts.
const hiddenKey = "(key)"

// Format implements fmt.Formatter.
func (Key) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, hiddenKey) }

// MarshalText implements encoding.TextMarshaler, which log handlers use.
func (Key) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }

// KeyFault says why a request has no valid key. Its text is part of the names of metrics.
type KeyFault string

// The faults of keys.
const (
	KeyMissing   KeyFault = "missing"
	KeyRepeated  KeyFault = "repeated"
	KeyMalformed KeyFault = "malformed"
	KeyUnknown   KeyFault = "unknown"
)

// ClientAnswer is the result of a client's request.
type ClientAnswer struct {
	// Response is the endpoint's answer; nil when Err is set.
	Response *Response
	// Err is a *verdict.Error.
	Err error
	// RetryAfter is the retry delay for a client whose request didn't run;
	// zero if none is known.
	RetryAfter time.Duration
}

// GatewayService is the service that a gateway offers to clients.
type GatewayService interface {
	// Serve carries one request to an endpoint. It returns early when the
	// client disconnects, which ends ctx.
	Serve(ctx context.Context, r *ClientRequest) ClientAnswer
	// Refuse returns the answer of a request that is refused whatever its body is, and
	// true; false if Serve decides. It needs only what the head of the request says.
	Refuse(ctx context.Context, r *ClientRequest) (ClientAnswer, bool)
	// Limits returns the bounds of clients' requests; false before a
	// configuration is known.
	Limits() (fleet.Limits, bool)
	// Idempotent reports whether the route of a host and a path allows that a request
	// runs more than once; false if there is none.
	Idempotent(host, path string) bool
	// Ready reports whether clients may use this gateway.
	Ready() bool
	// Stopping reports whether a planned stop has begun.
	Stopping() bool
}

// OperatorService is the service that a controller offers to operators.
type OperatorService interface {
	// Configure makes a change of the configuration durable. The error wraps
	// fleet.ErrInvalid, fleet.ErrConflict or ErrUnconfirmed.
	Configure(ctx context.Context, change fleet.Change) error
	// Evacuate makes the evacuation of a failure domain durable, or its end.
	Evacuate(ctx context.Context, zone string, evacuated bool) error
	// Current returns the newest state; the error wraps ErrUnconfirmed.
	Current(ctx context.Context) (*fleet.State, error)
}

// EndpointService is the service that a controller offers to endpoints.
type EndpointService interface {
	// Announce records an endpoint's announcement; the error wraps ErrUnconfirmed.
	Announce(ctx context.Context, e registry.Endpoint) error
	// Deregister records that an endpoint has ended; the error wraps
	// ErrUnconfirmed.
	Deregister(ctx context.Context, id string) error
}

// GatewayDirectory finds gateways for clients.
type GatewayDirectory interface {
	// Nearest returns the addresses of the gateways nearest to a failure
	// domain of a region; empty when no ready gateway is known to be live.
	Nearest(zone, region string) []string
}
