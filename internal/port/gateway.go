package port

import (
	"context"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/registry"
)

// ClientRequest is a client's request at a gateway.
type ClientRequest struct {
	// Request is what is sent on; its ID is the client's own for the attempt.
	Request
	// RouteHost, without a port, and Path select the route.
	RouteHost string
	Path      string
	// Affinity names the object that the request concerns; empty if none.
	Affinity string
}

// ClientAnswer ends a client's request.
type ClientAnswer struct {
	// Response is the endpoint's answer; nil when Err is set.
	Response *Response
	// Err is a *verdict.Error.
	Err error
	// RetryAfter is when a client whose request didn't run should come back; zero
	// if nothing is known.
	RetryAfter time.Duration
}

// GatewayService is what a gateway serves to clients.
type GatewayService interface {
	// Serve carries one request. It returns when the client has gone.
	Serve(ctx context.Context, r *ClientRequest) ClientAnswer
	// Limits bound what clients may send; false before a configuration is known.
	Limits() (fleet.Limits, bool)
	// Ready says whether clients may be sent here.
	Ready() bool
	// Stopping says that a planned stop has begun.
	Stopping() bool
}

// Orders is what a controller serves to operators.
type Orders interface {
	// Configure makes a change durable. The error wraps fleet.ErrInvalid,
	// fleet.ErrConflict or ErrUnsure.
	Configure(ctx context.Context, change fleet.Change) error
	// Evacuate makes an order durable about a failure domain.
	Evacuate(ctx context.Context, zone string, evacuated bool) error
	// Current returns the newest state; the error wraps ErrUnsure.
	Current(ctx context.Context) (*fleet.State, error)
}

// Announcements is what a controller serves to endpoints.
type Announcements interface {
	// Announce takes what an endpoint says of itself; the error wraps ErrUnsure.
	Announce(ctx context.Context, e registry.Endpoint) error
	// SignOff takes that an endpoint is gone.
	SignOff(ctx context.Context, id string) error
}

// Directory names gateways to clients.
type Directory interface {
	// Nearest returns the addresses of gateways near a failure domain of a
	// region; empty when none is known to live.
	Nearest(zone, region string) []string
}
