package controller

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"slices"
	"time"

	"sassafrasreach/internal/core/confirmation"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

const (
	// calmExchangePeriod is the time between two exchanges with a peer for which
	// there is nothing new, in calm. It is too long where calls fail or are slow: with
	// callTimeout, a single lost call would make a peer count as unreachable.
	calmExchangePeriod = 2 * exchangePeriod
	// calmAfter is the time without a failed exchange, since this controller started
	// or last went on after it stood still, from which on it is calm.
	calmAfter = 10 * time.Second
	// listPeriod is how often the known controllers are sent although they are the
	// same as before: the reply that had them may have been lost.
	listPeriod = 15 * time.Second
	// fullReplies is the number of other controllers from which one that started
	// gets all that they know. The others send what was announced to them.
	fullReplies = 2
	// beatPeriod is how often the announcement of an endpoint that hasn't changed is
	// passed on: half of endpointRetention.
	beatPeriod = endpointRetention / 2
	// beatsAfterReset is how long all announcements are passed on after a request
	// reset a connection, since they show that an endpoint is alive.
	beatsAfterReset = 10 * time.Second
	// coldTolerance is the difference of the ends of a slow start that tells
	// nothing: each announcement gives its rest anew.
	coldTolerance = 300 * time.Millisecond
)

// report is what a controller vouches for to the others: the gateways that watch
// it, and the loans of the regions that it dispatches. It is sent when it has
// changed; otherwise its version alone says that it still holds.
type report struct {
	version  uint64
	gateways []port.Gateway
	loans    []dispatch.Loan
}

func newReport(gateways []port.Gateway, loans []dispatch.Loan) report {
	slices.SortFunc(gateways, func(a, b port.Gateway) int { return cmp.Compare(a.Address, b.Address) })
	h := newVersionHash()
	for _, g := range gateways {
		h.text(g.Address, g.Zone, g.Region)
		h.number(g.Incarnation)
		h.number(uint64(g.LinkPercent))
		if g.Ready {
			h.number(1)
		}
	}
	for _, l := range loans {
		h.text(l.Lender, l.Borrower)
		h.text(l.Endpoints...)
		h.text(l.Recalled...)
		h.text(l.Scarce...)
	}
	return report{h.version(), gateways, loans}
}

// versionHash computes the version of a content. It is never 0, which stands for no
// content.
type versionHash struct {
	sum interface{ Write([]byte) (int, error) }
}

func newVersionHash() versionHash { return versionHash{fnv.New64a()} }

func (h versionHash) number(n uint64) {
	_, _ = h.sum.Write(binary.BigEndian.AppendUint64(nil, n)) // a hash takes all
}

func (h versionHash) text(all ...string) {
	h.number(uint64(len(all)))
	for _, s := range all {
		h.number(uint64(len(s)))
		_, _ = h.sum.Write([]byte(s))
	}
}

func (h versionHash) version() uint64 {
	return h.sum.(interface{ Sum64() uint64 }).Sum64() | 1
}

// controllersVersion returns the version of a list of controllers.
func controllersVersion(all []port.Controller) uint64 {
	slices.SortFunc(all, func(a, b port.Controller) int { return cmp.Compare(a.Address, b.Address) })
	h := newVersionHash()
	for _, c := range all {
		h.text(c.Address, c.Disk, c.Zone, c.Region)
		h.number(c.Incarnation)
	}
	return h.version()
}

// sentList is the last list of controllers that a peer was sent.
type sentList struct {
	version uint64
	at      time.Time
}

// due reports whether a list is to be sent, and records that it is.
func (s *sentList) due(now time.Time, version uint64) bool {
	if s.version == version && now.Sub(s.at) < listPeriod {
		return false
	}
	s.version, s.at = version, now
	return true
}

// mayWait reports whether it is calm and nothing of the message is new to the peer, so
// that the exchange can wait. Must hold mu.
func (c *Controller) mayWait(now time.Time, p *peer, m port.ExchangeRequest) bool {
	if c.hasQuotaNews(now, p) {
		return false
	}
	return !c.stopping && !c.mustConfirm() && now.Sub(latest(c.failedAt, c.ranSince)) >= calmAfter && now.Sub(p.lastSent) < calmExchangePeriod-exchangePeriod/2 && m.ReportUnchanged && !m.FullSync && !m.EndedSync && live(now, p.LastSeen) &&
		len(m.Endpoints)+len(m.Suspicions)+len(m.Limits)+len(m.Loads)+len(m.Returns)+len(m.VoteRequests)+len(m.VoteReleases) == 0
}

// mustConfirm reports whether gateways need confirmations that are more recent than those of
// calm exchanges.
func (c *Controller) mustConfirm() bool {
	return c.config.RevocationBound > 0 && c.config.RevocationBound < confirmation.CalmBound
}

// receiveReport records what another controller vouches for. It returns the loans,
// and false if the sender refers to a report that isn't known here. Must hold mu.
func (c *Controller) receiveReport(now time.Time, m port.ExchangeRequest) ([]dispatch.Loan, bool) {
	p := c.peers[m.From.Address]
	switch {
	case p == nil || m.Report == 0:
		for _, g := range m.Gateways {
			c.recordGateway(g)
		}
		return m.Loans, true
	case !m.ReportUnchanged:
		c.withdrawGateways(now, p, m.Gateways)
		p.report, p.reportedBy = report{m.Report, m.Gateways, m.Loans}, m.From.Incarnation
		for _, g := range m.Gateways {
			c.recordGateway(g)
		}
	case p.report.version != m.Report || p.reportedBy != m.From.Incarnation:
		return nil, false
	default:
		for _, g := range p.report.gateways {
			g.LastSeen = now
			c.recordGateway(g)
		}
	}
	return p.report.loans, true
}

// withdrawGateways lets the gateways that a peer no longer vouches for count as
// unreachable, unless another one vouches for them after now. Must hold mu.
func (c *Controller) withdrawGateways(now time.Time, p *peer, still []port.Gateway) {
	for _, g := range p.report.gateways {
		isSame := func(o port.Gateway) bool { return o.Address == g.Address }
		current, known := c.gateways[g.Address]
		if _, watches := c.watchers[g.Address]; !known || watches || slices.ContainsFunc(still, isSame) || c.vouched(p, g.Address) {
			continue
		}
		current.LastSeen = now.Add(-livenessTimeout)
		c.gateways[g.Address] = current
	}
}

// vouched reports whether another live controller than p vouches for a gateway.
// Must hold mu.
func (c *Controller) vouched(p *peer, address string) bool {
	now := c.ports.Clock.Now()
	for _, other := range c.peers {
		if other != p && live(now, other.LastSeen) &&
			slices.ContainsFunc(other.report.gateways, func(g port.Gateway) bool { return g.Address == address }) {
			return true
		}
	}
	return false
}

// passesOn reports whether an announcement that followed before is passed on to the
// other controllers: what they need to know changed, or it is time to tell them that
// the endpoint still announces itself. That matters at once if another endpoint has its
// address. Must hold mu.
func (c *Controller) passesOn(now time.Time, before, e registry.Endpoint) bool {
	changed := before.StartedMillis != e.StartedMillis || before.Leaving != e.Leaving || before.Gone != e.Gone ||
		before.Address != e.Address || before.Service != e.Service || before.Zone != e.Zone || before.Slots != e.Slots ||
		(now.Before(e.ColdUntil) || now.Before(before.ColdUntil)) && e.ColdUntil.Sub(before.ColdUntil).Abs() > coldTolerance
	return changed || c.endpoints.Replaced(e.ID) || now.Sub(c.sharedAt[e.ID]) >= beatPeriod || now.Sub(c.suspicions.changedAt) < beatsAfterReset
}
