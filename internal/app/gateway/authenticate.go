package gateway

import (
	"context"
	"crypto/rand"
	"slices"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// keySecretBytes is the length of the secret under which keys are looked up, that of
	// the hash.
	keySecretBytes = 32
	// noRegionRetry is the retry delay given to a client none of whose regions the route
	// allows. Only another configuration helps, which takes some seconds to be in force.
	noRegionRetry = 5 * time.Second
)

// newKeySecret returns the random secret of this process.
func newKeySecret() []byte {
	secret := make([]byte, keySecretBytes)
	_, _ = rand.Read(secret) // never fails
	return secret
}

// Refuse implements port.GatewayService.
func (g *Gateway) Refuse(ctx context.Context, r *port.ClientRequest) (port.ClientAnswer, bool) {
	x := &inFlightRequest{gateway: g, request: r, began: g.ports.Clock.Now()}
	answer, refused := x.admit()
	if refused {
		x.log(ctx, answer)
		x.recordMetrics(answer)
	}
	return answer, refused
}

// admit looks up the route of the request and the account of its client, and sets what
// both say about it. It returns true with the answer of a request that is refused.
func (x *inFlightRequest) admit() (port.ClientAnswer, bool) {
	x.confirmed = x.gateway.confirmed()
	x.table = x.gateway.table.Load()
	if x.table == nil {
		return refusal(verdict.ReasonNoDocument, nil, noDispatcherRetry), true
	}
	x.version = x.table.Config().Version
	if x.gateway.config.strict() && !x.table.Config().Complete() {
		return refusal(verdict.ReasonFormerState, nil, noDispatcherRetry), true
	}
	x.route = x.table.Route(x.request.RouteHost, x.request.Path)
	if x.route == nil {
		return refusal(verdict.ReasonNoRoute, nil, 0), true
	}
	x.priority, x.regions = x.route.Priority, x.route.Regions
	// The configuration may be another one than when the head was read.
	x.request.Identify, x.request.Account = false, ""
	if !x.table.Config().Authenticate {
		return port.ClientAnswer{}, false
	}
	return x.authenticate()
}

// authenticate finds the account of the request. It returns true with the answer of a
// request that is refused.
func (x *inFlightRequest) authenticate() (port.ClientAnswer, bool) {
	fault := x.request.KeyFault
	if fault == "" {
		x.account = x.table.AccountOfKey(string(x.request.Key))
	}
	if fault == "" && x.account == nil {
		fault = port.KeyUnknown
	}
	if fault == port.KeyUnknown && x.needsLease() {
		return x.refuseUnconfirmed(), true // the key may be a new one
	}
	if fault != "" && !x.route.Public {
		x.gateway.ports.Meter.RecordKeyRefused(fault)
		return refusal(verdict.ReasonUnauthenticated, &keyError{fault}, 0), true
	}
	x.request.Identify, x.weight = true, x.table.Weight(x.account)
	if x.account == nil {
		return port.ClientAnswer{}, false
	}
	x.request.Account = x.account.Name
	if x.account.Priority != nil {
		x.priority = *x.account.Priority
	}
	var possible bool
	if x.regions, possible = commonRegions(x.route.Regions, x.account.Regions); !possible {
		return refusal(verdict.ReasonNoRegion, nil, noRegionRetry), true
	}
	return port.ClientAnswer{}, false
}

// keyError says why a request has no valid key.
type keyError struct{ fault port.KeyFault }

// Error implements error.
func (e *keyError) Error() string { return "key is " + string(e.fault) }

// commonRegions returns the regions that both lists name, where an empty list names all;
// false if there are none.
func commonRegions(a, b []string) ([]string, bool) {
	if len(a) == 0 {
		return b, true
	}
	if len(b) == 0 {
		return a, true
	}
	common := slices.DeleteFunc(slices.Clone(a), func(region string) bool { return !slices.Contains(b, region) })
	return common, len(common) > 0
}
