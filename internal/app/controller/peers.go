package controller

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// peerRetention is how long exchanges with an unreachable controller are
// attempted if it is neither a voter nor a seed.
const peerRetention = 20 * time.Second

// peer is another controller, with its client and the state of the exchanges
// with it.
type peer struct {
	link port.ControllerPeer
	port.Controller
	// sentAt is when the last exchange that the peer answered was sent, since boot. A
	// clock that stands still with the VM would make the answer look too recent.
	sentAt time.Duration
	// endedAt is when the last exchange was sent whose answer had all endpoints that
	// leave or are gone, as far as the peer knew.
	endedAt time.Time
	// epoch and accepted are the state of its voter in that answer.
	epoch    uint64
	accepted quorum.Ballot
	// synced is true once the peer's incarnation has received the endpoints that
	// were announced here or have ended, and the suspicions and limits that this
	// controller knew; acked is what it has received since.
	synced bool
	acked  acknowledged
	// roundTrip is the moving average of the duration of an exchange.
	roundTrip time.Duration
	// addedAt is when it was added to the peers.
	addedAt time.Time
	// inFlight is set during a periodic exchange with the peer, and lastSent is when
	// the last one began.
	inFlight bool
	lastSent time.Time
	// reportAcked is the version of this controller's report that the peer has.
	reportAcked uint64
	// report is the peer's own, sent by its incarnation reportedBy.
	report     report
	reportedBy uint64
	// requested and replied are the lists of controllers last sent in a request and
	// in a reply.
	requested, replied sentList
	// asking is set while a request for tokens is under way to the peer: the next one reports
	// what its reply gave.
	asking bool
	// lost is set while the peer counts as unreachable.
	lost bool
}

// roundTripWeight is the divisor that gives the weight of a new sample in the
// moving average of a peer's round trip.
const roundTripWeight = 8

func (p *peer) recordRoundTrip(took time.Duration) {
	if p.roundTrip == 0 {
		p.roundTrip = took
	}
	p.roundTrip += (took - p.roundTrip) / roundTripWeight
}

// identify records who answered. A peer of a new incarnation isn't synced.
func (p *peer) identify(from port.Controller) {
	if p.Incarnation != from.Incarnation {
		p.synced, p.acked, p.reportAcked, p.requested = false, acknowledged{}, 0, sentList{}
	}
	p.Controller = from
}

// linkTo returns a client for a controller, which may be this one.
func (c *Controller) linkTo(address string) (port.ControllerPeer, error) {
	if address == c.config.Address {
		return c, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := c.ensurePeer(address)
	if err != nil {
		return nil, err
	}
	return p.link, nil
}

// ensurePeer returns the peer at an address and adds it if it is new. Must
// hold mu.
func (c *Controller) ensurePeer(address string) (*peer, error) {
	if p := c.peers[address]; p != nil {
		return p, nil
	}
	link, err := c.ports.Dial(address)
	if err != nil {
		return nil, err
	}
	p := &peer{link: link, addedAt: c.ports.Clock.Now(), lost: true}
	p.Address = address
	c.peers[address] = p
	return p, nil
}

// livePeers returns the addresses of the other controllers that are live.
func (c *Controller) livePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	var out []string
	for address, p := range c.peers {
		if live(now, p.LastSeen) {
			out = append(out, address)
		}
	}
	return out
}

// exchangeRound starts an exchange with all peers, except those whose last one
// is still in flight. It doesn't wait for the answers.
func (c *Controller) exchangeRound(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	c.refreshPeers(now)
	c.updateRegions(now)
	loads, loans, returns := c.updateLoans(now)
	type sending struct {
		p        *peer
		address  string
		exchange port.ExchangeRequest
		acked    acknowledged
	}
	var sendings []sending
	controllers := c.liveControllers(now)
	list := controllersVersion(controllers)
	mine := newReport(c.watchingGateways(now), loans)
	requests, releases := c.requestedRegions(now), c.releasedRegions()
	asksAll := c.peersAskedForAll(now)
	for address, p := range c.peers {
		if p.inFlight {
			continue
		}
		exchange := c.exchange(now, p)
		exchange.FullSync, exchange.EndedSync = slices.Contains(asksAll, p), !p.endedAt.After(c.ranSince)
		exchange.VoteRequests, exchange.VoteReleases = requests, releases
		exchange.Loads, exchange.Returns = loads, returns
		exchange.Report, exchange.ReportUnchanged = mine.version, p.reportAcked == mine.version
		if !exchange.ReportUnchanged {
			exchange.Gateways, exchange.Loans = mine.gateways, mine.loans
		}
		if c.mayWait(now, p, exchange) {
			continue
		}
		if p.requested.due(now, list) {
			exchange.Controllers = controllers
		}
		c.addQuotas(now, p, &exchange)
		p.inFlight, p.lastSent = true, now
		sendings = append(sendings, sending{p, address, exchange, acknowledged{c.announceSeq, c.suspicions.changes.seq, c.limitChanges.seq, !p.synced}})
	}
	c.clearReleased()
	c.forgetEndpoints(now)
	c.suspicions.expire(now)
	c.logQuotas(now)
	c.mu.Unlock()
	for _, s := range sendings {
		go c.sendExchange(ctx, s.p, s.address, s.exchange, s.acked)
	}
}

// refreshPeers adds the seeds and voters as peers, removes other peers that
// have been unreachable for peerRetention, and logs peers that became
// unreachable or reachable again. Must hold mu.
func (c *Controller) refreshPeers(now time.Time) {
	wanted := slices.Clone(c.seeds)
	for _, v := range c.epoch.Voters {
		wanted = append(wanted, v.Address)
	}
	for _, address := range wanted {
		if address != c.config.Address {
			// The address is well formed: seeds were checked with the
			// settings, and a voter reports its own.
			_, _ = c.ensurePeer(address)
		}
	}
	for address, p := range c.peers {
		if now.Sub(latest(p.LastSeen, p.addedAt)) > peerRetention && !slices.Contains(wanted, address) {
			delete(c.peers, address)
		}
		if lost := !live(now, p.LastSeen); lost != p.lost {
			p.lost = lost
			c.suspendShiftLimit(now, p.Region)
			e := event.ControllerFound
			if lost {
				e = event.ControllerLost
			}
			event.Log(context.Background(), c.ports.Logger, e, slog.String("address", address),
				slog.Int64("heard_ms_ago", now.Sub(p.LastSeen).Milliseconds()))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// peersAskedForAll returns the peers that are asked for all that they know, until
// fullReplies of them have answered with something: those that answered before come
// first, then those of the own region. Must hold mu.
func (c *Controller) peersAskedForAll(now time.Time) []*peer {
	missing := fullReplies - c.fullReplies
	if missing <= 0 {
		return nil
	}
	var out []*peer
	for _, address := range sortedKeys(c.peers) {
		out = append(out, c.peers[address])
	}
	rank := func(p *peer) int {
		n := 0
		if !live(now, p.LastSeen) {
			n += 2
		}
		if p.Region != c.config.Region {
			n++
		}
		return n
	}
	slices.SortStableFunc(out, func(a, b *peer) int { return rank(a) - rank(b) })
	return out[:min(missing, len(out))]
}

// exchange returns the part of the message for a peer that depends on what it has
// acknowledged. It contains the endpoints that were announced here, and the changes made here, that the peer hasn't acknowledged,
// or all of these and the endpoints that have ended if the peer isn't synced.
// Must hold mu.
func (c *Controller) exchange(now time.Time, p *peer) port.ExchangeRequest {
	m := port.ExchangeRequest{From: c.self(now), EpochNumber: c.epoch.Number}
	if !p.synced {
		all, _ := c.endpoints.Since(0)
		for _, e := range all {
			if _, local := c.localAnnounceSeq[e.ID]; local || e.Leaving || e.Gone {
				m.Endpoints = append(m.Endpoints, e)
			}
		}
		m.Suspicions, m.Limits = c.suspicions.all(now), c.allLimits()
		return m
	}
	m.Suspicions, m.Limits = c.suspicions.changes.since(p.acked.suspicions), c.limitChanges.since(p.acked.limits)
	for id, seq := range c.localAnnounceSeq {
		if seq <= p.acked.announcements {
			continue
		}
		if e, ok := c.endpoints.Get(id); ok {
			m.Endpoints = append(m.Endpoints, e)
		}
	}
	return m
}

// liveControllers returns the other controllers that are live. Must hold mu.
func (c *Controller) liveControllers(now time.Time) []port.Controller {
	var out []port.Controller
	for _, p := range c.peers {
		if live(now, p.LastSeen) {
			out = append(out, p.Controller)
		}
	}
	return out
}

// acknowledged is what a peer has received when it answers an exchange: the numbers
// of the last announcement that was made here, and of the last changes. all is set if
// the message had whatever a peer that isn't synced needs.
type acknowledged struct {
	announcements, suspicions, limits uint64
	all                               bool
}

// sendExchange sends a message to a peer and records its answers. If the peer rejects the
// message, it gets the changes in it apart, so that one of them costs neither the others
// nor what else the message carries.
func (c *Controller) sendExchange(ctx context.Context, p *peer, address string, m port.ExchangeRequest, acked acknowledged) {
	err := c.sendOnce(ctx, p, m)
	if errors.Is(err, port.ErrRejected) && m.ChangeCount() > 0 {
		event.Log(ctx, c.ports.Logger, event.ExchangeRejected, slog.String("address", address),
			slog.Int("changes", m.ChangeCount()), slog.Any("error", err))
		if err = c.sendOnce(ctx, p, m.WithoutChanges()); err == nil {
			err = c.sendApart(ctx, p, address, m.OnlyChanges())
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight = false
	if m.Quota != nil {
		c.endAsking(p)
	}
	switch {
	case err != nil:
		p.requested = sentList{}
		c.failedAt = c.ports.Clock.Now()
	case acked.all || p.synced:
		p.synced, p.acked = true, acked
	}
}

// sendApart sends the changes of a message in halves, and those of a half that the peer
// rejects again in halves. A change that is rejected alone is dropped.
func (c *Controller) sendApart(ctx context.Context, p *peer, address string, m port.ExchangeRequest) error {
	if m.ChangeCount() == 1 {
		err := c.sendOnce(ctx, p, m)
		if errors.Is(err, port.ErrRejected) {
			c.logDropped(ctx, address, m)
			return nil
		}
		return err
	}
	for _, half := range m.Halves() {
		err := c.sendOnce(ctx, p, half)
		if errors.Is(err, port.ErrRejected) {
			err = c.sendApart(ctx, p, address, half)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// logDropped logs and counts the only change of a message, which the controller at the
// address rejects.
func (c *Controller) logDropped(ctx context.Context, address string, m port.ExchangeRequest) {
	kind, item := m.FirstChange()
	c.ports.Meter.RecordItemDropped(kind)
	event.Log(ctx, c.ports.Logger, event.ItemDropped, slog.String("kind", kind), slog.String("item", item), slog.String("address", address))
}

// sendOnce sends a message to a peer and records the answer.
func (c *Controller) sendOnce(ctx context.Context, p *peer, m port.ExchangeRequest) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt, sentSinceBoot := c.ports.Clock.Now(), c.ports.Boot.SinceBoot()
	reply, err := p.link.Exchange(ctx, m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.FullSync && len(reply.Endpoints) > 0 {
		c.fullReplies++
	}
	if m.EndedSync {
		p.endedAt = sentAt
	}
	p.identify(reply.From)
	p.sentAt = sentSinceBoot
	p.recordRoundTrip(c.ports.Clock.Now().Sub(sentAt))
	p.epoch, p.accepted, p.reportAcked = reply.Epoch.Number, reply.Accepted, reply.Report
	c.enterEpoch(reply.Epoch)
	c.addPeers(reply.Controllers)
	for _, e := range reply.Endpoints {
		c.recordShared(e)
	}
	for _, x := range reply.Suspicions {
		c.suspicions.apply(c.ports.Clock.Now(), x)
	}
	c.learnReportedState(c.ports.Clock.Now(), reply.Loads, reply.Loans)
	for name, r := range c.regions {
		r.candidate.RecordReply(p.Address, sentAt, slices.Contains(reply.Grants, name))
	}
	for _, l := range reply.HeldLeases {
		c.recordLease(l)
	}
	c.recordGrants(atBoot(sentSinceBoot), p, m.Quota, reply.QuotaGrants)
	return nil
}

// addPeers adds the controllers that another controller reported. Must hold
// mu.
func (c *Controller) addPeers(controllers []port.Controller) {
	for _, other := range controllers {
		if other.Address != c.config.Address && c.peers[other.Address] == nil {
			_, _ = c.ensurePeer(other.Address)
		}
	}
}

// Exchange implements port.ControllerPeer.
func (c *Controller) Exchange(_ context.Context, m port.ExchangeRequest) (port.ExchangeReply, error) {
	reply := c.receiveExchange(m)
	if m.Durable {
		if err := c.saveEnded(); err != nil {
			return port.ExchangeReply{}, err
		}
	}
	if m.Durable && len(m.Suspicions) > 0 {
		if err := c.saveEvidence(); err != nil {
			return port.ExchangeReply{}, err
		}
	}
	return reply, nil
}

// receiveExchange records what another controller sent and returns the answer.
func (c *Controller) receiveExchange(m port.ExchangeRequest) port.ExchangeReply {
	now := c.ports.Clock.Now()
	savedState := c.voter.savedState()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addPeers(m.Controllers)
	c.addPeers([]port.Controller{m.From})
	if p := c.peers[m.From.Address]; p != nil && p.Incarnation == m.From.Incarnation {
		p.Stopping = m.From.Stopping
	}
	loans, known := c.receiveReport(now, m)
	for _, e := range m.Endpoints {
		c.recordShared(e)
	}
	for _, s := range m.Suspicions {
		c.suspicions.apply(now, s)
		if m.Durable && !s.Cleared {
			c.suspicions.table.Keep(s.Fingerprint)
		}
	}
	for _, l := range m.Limits {
		c.recordLimit(now, l)
	}
	c.recordLoadsAndLoans(now, m, loans, known)
	reply := port.ExchangeReply{
		From: c.self(now), Epoch: savedState.Epoch, Accepted: savedState.Accepted.Ballot, HeldLeases: c.heldLeases(now),
	}
	if m.EpochNumber == savedState.Epoch.Number {
		reply.Epoch.Voters = nil // the sender knows them
	}
	controllers := c.liveControllers(now)
	if p := c.peers[m.From.Address]; p == nil || m.FullSync || p.replied.due(now, controllersVersion(controllers)) {
		reply.Controllers = controllers
	}
	if known {
		reply.Report = m.Report
	}
	for _, name := range m.VoteReleases {
		c.grantedVotes.ReleaseVote(name, m.From.Address)
	}
	for _, name := range m.VoteRequests {
		if c.grantedVotes.RequestVote(now, name, m.From.Address) {
			reply.Grants = append(reply.Grants, name)
		}
	}
	if m.Quota != nil {
		grants := c.quotas.book.Grant(c.bootTime(), ownerID(m.From), *m.Quota, m.QuotaReturns)
		reply.QuotaGrants = &grants
	}
	if m.FullSync || m.EndedSync {
		reply.Suspicions = c.suspicions.known(now)
	}
	switch {
	case m.FullSync:
		reply.Endpoints, _ = c.endpoints.Since(0)
		reply.Loads, reply.Loans = c.reportedState(now)
	case m.EndedSync:
		reply.Endpoints = c.endpoints.Ended()
	}
	return reply
}

// pollVoters requests the voting state of the other voters and waits until as
// many of them as make a majority have answered, all calls have ended, or ctx
// ends.
func (c *Controller) pollVoters(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	epoch := c.epoch
	request := port.ExchangeRequest{From: c.self(now), EpochNumber: epoch.Number}
	var polled []*peer
	for _, v := range epoch.Voters {
		if p := c.peers[v.Address]; p != nil {
			polled = append(polled, p)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	answered := make(chan struct{}, len(polled))
	for _, p := range polled {
		group.Go(func() {
			_, err := c.poll(ctx, p, request)
			if err == nil {
				answered <- struct{}{}
			}
		})
	}
	all := make(chan struct{})
	go func() { group.Wait(); close(all) }()
	for range epoch.Majority() {
		select {
		case <-answered:
		case <-all:
			return
		case <-ctx.Done():
			return
		}
	}
}

// poll requests the voting state of one voter.
func (c *Controller) poll(ctx context.Context, p *peer, request port.ExchangeRequest) (port.ExchangeReply, error) {
	sentAt := c.ports.Boot.SinceBoot()
	reply, err := p.link.Exchange(ctx, request)
	if err != nil {
		return reply, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if sentAt > p.sentAt {
		p.sentAt, p.epoch, p.accepted = sentAt, reply.Epoch.Number, reply.Accepted
		p.identify(reply.From)
	}
	return reply, nil
}
