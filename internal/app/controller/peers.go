package controller

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// forgetAfter is how long a controller that is out of reach and doesn't vote is
// asked for news.
const forgetAfter = 20 * time.Second

// peer is another controller.
type peer struct {
	link port.ControllerPeer
	port.Controller
	// asked is when the last news that it answered was sent.
	asked time.Time
	// epoch and accepted are where its voter stood then.
	epoch    uint64
	accepted quorum.Ballot
	// told counts the announcements that it was told of; a peer of a new
	// incarnation is told all.
	told uint64
	// way is the moving average of the time that news and its answer take.
	way time.Duration
	// tried is when it first was to be reached without success.
	tried time.Time
	busy  bool
	lost  bool
}

// wayWeight is the weight of a new sample of a peer's way, as a divisor.
const wayWeight = 8

func (p *peer) noteWay(took time.Duration) {
	if p.way == 0 {
		p.way = took
	}
	p.way += (took - p.way) / wayWeight
}

// peerAt returns the way to a controller, this one included.
func (c *Controller) peerAt(address string) (port.ControllerPeer, error) {
	if address == c.config.Address {
		return c, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, err := c.meet(address)
	if err != nil {
		return nil, err
	}
	return p.link, nil
}

// meet returns the peer at an address. Must hold mu.
func (c *Controller) meet(address string) (*peer, error) {
	if p := c.peers[address]; p != nil {
		return p, nil
	}
	link, err := c.ports.Dial(address)
	if err != nil {
		return nil, err
	}
	p := &peer{link: link, tried: c.ports.Clock.Now(), lost: true}
	p.Address = address
	c.peers[address] = p
	return p, nil
}

// livePeers returns the other controllers that were heard of lately.
func (c *Controller) livePeers() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.ports.Clock.Now()
	var out []string
	for address, p := range c.peers {
		if live(now, p.Heard) {
			out = append(out, address)
		}
	}
	return out
}

// exchangeRound tells all controllers the news. It doesn't wait for the answers.
func (c *Controller) exchangeRound(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	c.meetAll(now)
	c.settleRegions(now)
	loads, loans := c.shareOut(now)
	type sending struct {
		p    *peer
		news port.News
		told uint64
	}
	var sendings []sending
	for _, p := range c.peers {
		if p.busy {
			continue
		}
		p.busy = true
		news := c.news(now, p)
		news.Loads, news.Loans = loads, loans
		sendings = append(sendings, sending{p, news, c.heardSeq})
	}
	c.dropped()
	c.forgetEndpoints(now)
	c.mu.Unlock()
	for _, s := range sendings {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			_, _ = c.tell(ctx, s.p, s.news, s.told)
		}()
	}
}

// meetAll makes peers of all controllers that should be asked, and forgets the
// others. Must hold mu.
func (c *Controller) meetAll(now time.Time) {
	wanted := slices.Clone(c.seeds)
	for _, v := range c.epoch.Voters {
		wanted = append(wanted, v.Address)
	}
	for _, address := range wanted {
		if address != c.config.Address {
			// The address is well formed: settings were checked, voters are their own.
			_, _ = c.meet(address)
		}
	}
	for address, p := range c.peers {
		if now.Sub(latest(p.Heard, p.tried)) > forgetAfter && !slices.Contains(wanted, address) {
			delete(c.peers, address)
		}
		if lost := !live(now, p.Heard); lost != p.lost {
			p.lost = lost
			c.unsettle(now)
			e := event.ControllerFound
			if lost {
				e = event.ControllerLost
			}
			event.Log(context.Background(), c.ports.Logger, e, slog.String("address", address),
				slog.Int64("heard_ms_ago", now.Sub(p.Heard).Milliseconds()))
		}
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// news gathers what a peer is to be told. Must hold mu.
func (c *Controller) news(now time.Time, p *peer) port.News {
	n := port.News{
		From: c.self(now), Controllers: c.controllers(now), Gateways: c.ownGateways(now),
		Asks: c.asks(now), Drops: c.drops(), Whole: p.told == 0,
	}
	if p.told == 0 {
		n.Endpoints, _ = c.endpoints.Since(0)
		return n
	}
	for id, seq := range c.heardHere {
		if seq <= p.told {
			continue
		}
		if e, ok := c.endpoints.Get(id); ok {
			n.Endpoints = append(n.Endpoints, e)
		}
	}
	return n
}

// controllers returns the controllers that were heard of lately. Must hold mu.
func (c *Controller) controllers(now time.Time) []port.Controller {
	var out []port.Controller
	for _, p := range c.peers {
		if live(now, p.Heard) {
			out = append(out, p.Controller)
		}
	}
	return out
}

// tell sends news to a peer and takes its answer.
func (c *Controller) tell(ctx context.Context, p *peer, n port.News, told uint64) (port.NewsReply, error) {
	asked := c.ports.Clock.Now()
	reply, err := p.link.Exchange(ctx, n)
	c.mu.Lock()
	defer c.mu.Unlock()
	p.busy = false
	if err != nil {
		return reply, err
	}
	if p.Incarnation != 0 && p.Incarnation != reply.From.Incarnation {
		told = 0
	}
	p.Controller = reply.From
	p.asked, p.told = asked, told
	p.noteWay(c.ports.Clock.Now().Sub(asked))
	p.epoch, p.accepted = reply.Epoch.Number, reply.Accepted
	c.enter(reply.Epoch)
	c.hear(reply.Controllers)
	for _, e := range reply.Endpoints {
		c.learnEndpoint(e)
	}
	for name, r := range c.regions {
		r.candidate.Voted(p.Address, asked, slices.Contains(reply.Grants, name))
	}
	for _, l := range reply.Known {
		c.heardOf(l)
	}
	return reply, nil
}

// hear takes other controllers' word of controllers. Must hold mu.
func (c *Controller) hear(controllers []port.Controller) {
	for _, other := range controllers {
		if other.Address != c.config.Address && c.peers[other.Address] == nil {
			_, _ = c.meet(other.Address)
		}
	}
}

// Exchange implements port.ControllerPeer.
func (c *Controller) Exchange(_ context.Context, n port.News) (port.NewsReply, error) {
	now := c.ports.Clock.Now()
	standing := c.voter.standing()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hear(append(n.Controllers, n.From))
	for _, g := range n.Gateways {
		c.learnGateway(g)
	}
	for _, e := range n.Endpoints {
		c.learnEndpoint(e)
	}
	c.hearShares(now, n)
	reply := port.NewsReply{
		From: c.self(now), Epoch: standing.Epoch, Accepted: standing.Accepted.Ballot,
		Controllers: c.controllers(now), Known: c.held(now),
	}
	for _, name := range n.Drops {
		c.ballots.Drop(name, n.From.Address)
	}
	for _, name := range n.Asks {
		if c.ballots.Ask(now, name, n.From.Address) {
			reply.Grants = append(reply.Grants, name)
		}
	}
	if n.Whole {
		reply.Endpoints, _ = c.endpoints.Since(0)
	}
	return reply, nil
}

// pollVoters asks all voters where they stand, until a majority has answered.
func (c *Controller) pollVoters(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	epoch := c.epoch
	from := c.self(now)
	var asked []*peer
	for _, v := range epoch.Voters {
		if p := c.peers[v.Address]; p != nil {
			asked = append(asked, p)
		}
	}
	c.mu.Unlock()
	var group sync.WaitGroup
	answered := make(chan struct{}, len(asked))
	for _, p := range asked {
		group.Go(func() {
			_, err := c.poll(ctx, p, from)
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

// poll asks one voter where it stands.
func (c *Controller) poll(ctx context.Context, p *peer, from port.Controller) (port.NewsReply, error) {
	asked := c.ports.Clock.Now()
	reply, err := p.link.Exchange(ctx, port.News{From: from})
	if err != nil {
		return reply, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if asked.After(p.asked) {
		p.asked, p.epoch, p.accepted = asked, reply.Epoch.Number, reply.Accepted
		p.Controller = reply.From
	}
	return reply, nil
}
