package controller

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quota"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// quotaLogPeriod is the time between two records of the accounts that were refused
	// requests for their quota, and maxQuotasLogged the number of accounts in each.
	quotaLogPeriod  = 10 * time.Second
	maxQuotasLogged = 4
	// maxQuotaMetrics bounds the accounts that have their own metrics.
	maxQuotaMetrics = 16
	// maxRate bounds the rates and bursts of quotas, so that they can be counted; beyond it
	// an account has no limit.
	maxRate = 1e8
)

// quotas is what a controller keeps of client accounts' quotas besides the book.
type quotas struct {
	book *quota.Book
	// wake wakes askOwners.
	wake chan struct{}
	// logged holds the number of refusals of each account in the last record of it, and
	// loggedAt is when the last records were written.
	logged   map[string]int64
	loggedAt time.Time
	// metered are the accounts that have their own metrics, maxQuotaMetrics at most.
	metered map[string]bool
}

func newQuotas(zones map[string]string, bounds quota.Bounds) quotas {
	if bounds == (quota.Bounds{}) {
		bounds = quota.DefaultBounds
	}
	var regions []string
	for _, region := range zones {
		if !slices.Contains(regions, region) {
			regions = append(regions, region)
		}
	}
	return quotas{
		book: quota.NewBook(regions, bounds), wake: make(chan struct{}, 1),
		logged: make(map[string]int64), metered: make(map[string]bool),
	}
}

// bootTime returns the time that the book counts in, which includes the time for which the
// VM was suspended: its tokens have then expired.
func (c *Controller) bootTime() time.Time { return atBoot(c.ports.Boot.SinceBoot()) }

// atBoot converts a time since the boot.
func atBoot(since time.Duration) time.Time { return time.Unix(0, 0).Add(since) }

// applyQuotas takes the quotas from a state. Must hold mu.
func (c *Controller) applyQuotas(state *fleet.State) {
	var limits []quota.Limit
	for _, a := range state.Config.Accounts {
		if a.RatePerSecond > 0 && a.RatePerSecond <= maxRate {
			limits = append(limits, quota.Limit{Account: a.Name, Rate: a.RatePerSecond, Burst: min(a.Burst, maxRate)})
		}
	}
	c.quotas.book.SetLimits(c.bootTime(), limits)
}

// updateQuotaLease tells the book until when this controller holds the lease of a region.
// Only new votes extend it: the time until then, which is measured by another clock, is
// right only shortly after they came. Must hold mu.
func (c *Controller) updateQuotaLease(r *region, hasMajority bool) {
	until := time.Time{}
	if hasMajority {
		until = r.candidate.Until(c.voterAddresses())
	}
	if until.Equal(r.quotaLease) {
		return
	}
	r.quotaLease = until
	boot := c.bootTime()
	if until.IsZero() {
		c.quotas.book.SetLease(boot, r.name, boot)
		return
	}
	c.quotas.book.SetLease(boot, r.name, boot.Add(until.Sub(c.ports.Clock.Now())))
}

// waiter is a slot request that waits for its decision, with the token that it took.
type waiter struct {
	decision chan dispatch.Decision
	token    quota.Token
}

// knowsQuotas reports whether this controller can tell the quota of a slot request's account:
// one that has just started hasn't learned the newest state. Must hold mu.
func (c *Controller) knowsQuotas(req port.SlotRequest) bool {
	return req.Account == "" || c.chosen.Value != nil
}

// takeToken takes a token for a slot request, unless it is for a further attempt. It returns
// false with the refusal if the account is beyond its quota. Must hold mu.
func (c *Controller) takeToken(req port.SlotRequest) (quota.Token, dispatch.Decision, bool) {
	if req.Retry || req.Account == "" {
		return quota.Token{}, dispatch.Decision{}, true
	}
	wasUrgent := c.quotas.book.IsUrgent()
	token, after, ok := c.quotas.book.Take(c.bootTime(), req.Region, req.Account)
	after = (after + time.Millisecond - 1).Truncate(time.Millisecond) // it is sent in milliseconds
	if !wasUrgent && c.quotas.book.IsUrgent() {
		c.wakeAsking()
	}
	if !ok {
		return token, dispatch.Decision{Request: req.SlotRequest, Reason: dispatch.ReasonQuota, RetryAfter: after}, false
	}
	return token, dispatch.Decision{}, true
}

// settle spends the token of a slot request that was granted, and returns that of one that
// was refused. Must hold mu.
func (c *Controller) settle(token quota.Token, granted bool) {
	if granted {
		c.quotas.book.Spend(token)
	} else {
		c.quotas.book.GiveBack(c.bootTime(), token)
	}
}

func (c *Controller) wakeAsking() {
	select {
	case c.quotas.wake <- struct{}{}:
	default:
	}
}

// ownerID identifies the incarnation of a controller to the book.
func ownerID(p port.Controller) string { return fmt.Sprintf("%s/%d", p.Address, p.Incarnation) }

// regionsHeldBy returns the regions of which a controller is the last known holder. Must hold
// mu.
func (c *Controller) regionsHeldBy(now time.Time, address string) []string {
	var out []string
	for _, r := range c.regions {
		if r.holder == address && now.Before(r.until) {
			out = append(out, r.name)
		}
	}
	return out
}

// hasQuotaNews reports whether an exchange with a peer shouldn't wait because of quotas.
// Must hold mu.
func (c *Controller) hasQuotaNews(now time.Time, p *peer) bool {
	return c.quotas.book.HasNews(c.bootTime(), ownerID(p.Controller), c.regionsHeldBy(now, p.Address))
}

// addQuotas adds to a message for a peer what the accounts need that it owns, unless another
// message to it with such a request is under way. Must hold mu.
func (c *Controller) addQuotas(now time.Time, p *peer, m *port.ExchangeRequest) bool {
	if p.asking {
		return false
	}
	request, returns, ok := c.quotas.book.Request(c.bootTime(), ownerID(p.Controller), c.regionsHeldBy(now, p.Address))
	if !ok {
		return false
	}
	m.Quota, m.QuotaReturns, p.asking = &request, returns, true
	return true
}

// recordGrants records a peer's reply to a request for tokens that was sent at sentAt, in
// boot time. One of a peer that isn't the owner any more is dropped. Must hold mu.
func (c *Controller) recordGrants(sentAt time.Time, p *peer, request *quota.Request, grants *quota.Grants) {
	book := c.quotas.book
	held := book.Set(c.regionsHeldBy(c.ports.Clock.Now(), p.Address))
	switch {
	case request == nil || request.Owners&^held != 0:
	case grants == nil:
		book.ReceiveNothing(c.bootTime(), *request)
	default:
		book.Receive(c.bootTime(), sentAt, ownerID(p.Controller), *request, *grants)
	}
}

// endAsking ends the wait for a peer's reply to a request for tokens. Must hold mu.
func (c *Controller) endAsking(p *peer) {
	p.asking = false
	if c.quotas.book.IsUrgent() {
		c.wakeAsking()
	}
}

// askOwners requests tokens from the owners that are to be asked at once.
func (c *Controller) askOwners(ctx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	for _, name := range c.quotas.book.Urgent() {
		p := c.peers[c.regions[name].holder]
		if p == nil {
			continue
		}
		// The peer knows all else about this controller.
		from := port.Controller{Address: c.config.Address, Incarnation: c.incarnation, LastSeen: now, Stopping: c.stopping}
		m := port.ExchangeRequest{From: from, EpochNumber: c.epoch.Number}
		if c.addQuotas(now, p, &m) {
			go c.sendQuotas(ctx, p, m)
		}
	}
}

// sendQuotas sends a message that holds nothing but a request for tokens, and records the
// grants.
func (c *Controller) sendQuotas(ctx context.Context, p *peer, m port.ExchangeRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := c.bootTime()
	reply, err := p.link.Exchange(ctx, m)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil {
		c.recordGrants(sentAt, p, m.Quota, reply.QuotaGrants)
	}
	c.endAsking(p)
}

// logQuotas logs the accounts with the most refusals that were refused requests since the
// last record of them. Must hold mu.
func (c *Controller) logQuotas(now time.Time) {
	if now.Sub(c.quotas.loggedAt) < quotaLogPeriod {
		return
	}
	c.quotas.loggedAt = now
	c.quotas.book.Expire(c.bootTime())
	most, _ := c.quotas.book.Usage(c.bootTime(), maxQuotasLogged)
	for _, u := range most {
		before := c.quotas.logged[u.Account]
		if u.Refused == before {
			continue
		}
		c.quotas.logged[u.Account] = u.Refused
		event.Log(context.Background(), c.ports.Logger, event.QuotaExceeded, slog.String("account", u.Account),
			slog.Int64("refused", u.Refused-before), slog.Int64("taken", u.Taken), slog.Int64("floor", u.Floor), slog.String("owner", u.Owner), slog.Bool("owned", u.Owned))
	}
}

// quotaGauges adds the gauges of quotas: sums, and the figures of the first maxQuotaMetrics
// accounts that were among those with the most refusals. Must hold mu.
func (c *Controller) quotaGauges(out map[string]int64) {
	most, all := c.quotas.book.Usage(c.bootTime(), maxQuotaMetrics)
	out["quota.taken"], out["quota.floor"], out["quota.refused"] = all.Taken, all.Floor, all.Refused
	for _, u := range most {
		if !c.quotas.metered[u.Account] && len(c.quotas.metered) < maxQuotaMetrics && u.Refused > 0 {
			c.quotas.metered[u.Account] = true
		}
		if c.quotas.metered[u.Account] {
			out["quota.refused."+u.Account], out["quota.level."+u.Account] = u.Refused, int64(u.Level)
		}
	}
}
