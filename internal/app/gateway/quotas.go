package gateway

import (
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// first reports whether the request hasn't been granted a slot yet. Only its first slot
// request counts for the quota of its account.
func (x *inFlightRequest) first() bool { return x.tries+x.unreachable+x.heldOff == 0 }

// refuseBeyondQuota returns the answer of a request whose account was far beyond its quota
// a short time ago, and true.
func (x *inFlightRequest) refuseBeyondQuota() (port.ClientAnswer, bool) {
	g := x.gateway
	if x.request.Account == "" || !x.first() {
		return port.ClientAnswer{}, false
	}
	g.mu.Lock()
	retryAfter, holds := g.quotas.Holds(g.ports.Clock.Now(), x.request.Account)
	g.mu.Unlock()
	if !holds {
		return port.ClientAnswer{}, false
	}
	g.quotaHeld.Add(1)
	return refusal(verdict.ReasonQuota, nil, retryAfter), true
}

// recordQuotaRefusal records that a dispatcher refused the request for its account's quota.
func (x *inFlightRequest) recordQuotaRefusal(retryAfter time.Duration) {
	g := x.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.quotas.Refused(g.ports.Clock.Now(), x.request.Account, retryAfter)
}

// notRunOutcome reports whether the outcome of a request says that it didn't run.
func notRunOutcome(o dispatch.Outcome) bool {
	return o == dispatch.Unreachable || o == dispatch.Refused || o == dispatch.Unsent
}

// quotaLimits returns the quotas of the accounts that have one.
func quotaLimits(accounts []fleet.Account) []quota.Limit {
	var out []quota.Limit
	for _, a := range accounts {
		if a.RatePerSecond > 0 {
			out = append(out, quota.Limit{Account: a.Name, Rate: a.RatePerSecond, Burst: a.Burst})
		}
	}
	return out
}
