package gateway

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/confirmation"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// leaseRetry is the retry delay given to a client while this gateway has no valid lease: a
// watch call that is answered renews it within this time. Clients may try other gateways.
const leaseRetry = 500 * time.Millisecond

// strict reports whether a request with a key needs a valid confirmation lease.
func (c Config) strict() bool { return c.RevocationBound > 0 }

// holdOf returns how long the calls of a watcher may wait for a change.
func (c Config) holdOf(watcher int) time.Duration {
	hold := nearHold
	if watcher > 0 {
		hold = farHold
	}
	if c.strict() {
		return min(hold, confirmation.MaxHold(c.RevocationBound))
	}
	return hold
}

// confirmed reports whether the lease is valid now, if one is needed. The caller must have read the request
// before, and load the table after: the table then is the state that the lease confirms, or a
// later one.
func (g *Gateway) confirmed() bool {
	if !g.config.strict() {
		return false
	}
	now := g.ports.Boot.SinceBoot()
	lease := g.lease.Load()
	return lease != nil && lease.Valid(now, g.config.RevocationBound)
}

// renew renews the lease by the answer of a watch call that was sent and received at the
// given times since boot. It comes after the update's state was applied. Must hold mu.
func (g *Gateway) renew(sent, received time.Duration, u port.Update) {
	if !g.config.strict() || u.Confirmed.IsZero() || u.Sequence > g.sequence {
		return
	}
	var lease confirmation.Lease
	if last := g.lease.Load(); last != nil {
		lease = *last
	}
	lease = lease.Renewed(confirmation.Answer{Sent: sent, Received: received, Held: u.Held, Age: u.Age})
	g.lease.Store(&lease)
	if lease.Valid(received, g.config.RevocationBound) && g.refusing.CompareAndSwap(true, false) {
		event.Log(context.Background(), g.ports.Logger, event.LeaseRenewed, slog.Uint64("sequence", g.sequence),
			slog.Int64("age_ms", (received-lease.Since).Milliseconds()))
	}
}

// needsLease reports whether the request needs a lease that wasn't valid when the request was
// read.
func (x *inFlightRequest) needsLease() bool {
	return x.gateway.config.strict() && !x.confirmed && x.table.Config().Authenticate && !x.route.Public
}

// refuseUnconfirmed returns the answer of a request that lacks a lease.
func (x *inFlightRequest) refuseUnconfirmed() port.ClientAnswer {
	g := x.gateway
	if g.refusing.CompareAndSwap(false, true) {
		event.Log(context.Background(), g.ports.Logger, event.LeaseEnded, slog.Int64("age_ms", g.leaseAge()))
	}
	return refusal(verdict.ReasonLease, nil, leaseRetry)
}

// leaseAge returns the time since the confirmation of the lease in milliseconds; -1 if there
// is none.
func (g *Gateway) leaseAge() int64 {
	lease := g.lease.Load()
	if lease == nil {
		return -1
	}
	return (g.ports.Boot.SinceBoot() - lease.Since).Milliseconds()
}
