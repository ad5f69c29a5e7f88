package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// collisionPause spreads proposers that got in each other's way; a round over
	// a long link takes about as long.
	collisionPause = 60 * time.Millisecond
	// maxCollisions bounds how far the pause grows.
	maxCollisions = 5
)

// Prepare implements port.ControllerPeer.
func (c *Controller) Prepare(_ context.Context, m quorum.Prepare) (quorum.Promise, error) {
	return vote(c.voter, func(a *quorum.Acceptor) (quorum.Promise, bool) { return a.Prepare(m) })
}

// Accept implements port.ControllerPeer.
func (c *Controller) Accept(_ context.Context, m quorum.Accept) (*quorum.Refusal, error) {
	return vote(c.voter, func(a *quorum.Acceptor) (*quorum.Refusal, bool) { return a.Accept(m) })
}

// Learn implements port.ControllerPeer.
func (c *Controller) Learn(_ context.Context, epoch quorum.Epoch, chosen quorum.Accepted) error {
	if chosen.Value == nil {
		s := c.voter.standing()
		if s.Epoch.Number != epoch.Number || s.Accepted.Ballot != chosen.Ballot {
			return errValueMissing
		}
		chosen = s.Accepted
	}
	return c.learn(epoch, chosen)
}

// learn takes over a value that was chosen.
func (c *Controller) learn(epoch quorum.Epoch, chosen quorum.Accepted) error {
	if chosen.Value == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(epoch)
	if epoch.Number < c.chosenIn || epoch.Number == c.chosenIn && !c.chosen.Ballot.Less(chosen.Ballot) {
		return nil
	}
	if c.chosen.Value == nil || chosen.Value.Sequence > c.chosen.Value.Sequence {
		state, err := fleet.Decode(chosen.Value.State)
		if err != nil {
			return err
		}
		c.state = state
		c.refill()
		event.Log(context.Background(), c.ports.Logger, event.StateLearned,
			slog.Uint64("sequence", chosen.Value.Sequence), slog.Uint64("version", state.Config.Version),
			slog.Any("evacuated", state.Evacuated), slog.Uint64("epoch", epoch.Number))
	}
	c.chosen, c.chosenIn = chosen, epoch.Number
	c.wake()
	return nil
}

// enter takes note of a later epoch. Must hold mu.
func (c *Controller) enter(epoch quorum.Epoch) {
	if epoch.Number <= c.epoch.Number {
		return
	}
	c.epoch = epoch
	event.Log(context.Background(), c.ports.Logger, event.EpochEntered,
		slog.Uint64("epoch", epoch.Number), slog.Any("voters", epoch.Voters))
}

// propose makes a change durable and returns the value after it and its epoch.
// The error wraps port.ErrUnsure, or is of decide. Proposals of this controller
// go one after the other.
func (c *Controller) propose(ctx context.Context, decide quorum.Decide) (quorum.Accepted, quorum.Epoch, error) {
	select {
	case c.proposing <- struct{}{}:
		defer func() { <-c.proposing }()
	case <-ctx.Done():
		return quorum.Accepted{}, quorum.Epoch{}, fmt.Errorf("%w: other proposals took the time", port.ErrUnsure)
	}
	for collisions := 0; ; collisions++ {
		epoch, ballot, seed, have := c.nextBallot()
		done, value, err := c.attempt(ctx, epoch, quorum.NewAttempt(epoch, ballot, seed, have, decide))
		if done {
			return value, epoch, err
		}
		if !wait.For(ctx, jitter(collisionPause*time.Duration(min(collisions, maxCollisions)+1))) {
			return quorum.Accepted{}, quorum.Epoch{}, fmt.Errorf("%w after %d attempts", port.ErrUnsure, collisions+1)
		}
	}
}

// attempt runs one attempt; it isn't done when another one is to follow.
func (c *Controller) attempt(ctx context.Context, epoch quorum.Epoch, a *quorum.Attempt) (done bool, value quorum.Accepted, err error) {
	if epoch.Number == 0 {
		return false, quorum.Accepted{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.run(ctx, epoch, a)
	c.observe(epoch.Number, a)
	switch a.Phase() {
	case quorum.Declined:
		return true, quorum.Accepted{}, a.Err()
	case quorum.Chosen:
		c.announce(epoch, a.Result())
		return !a.Kept(), a.Result(), a.Err()
	default:
		return false, quorum.Accepted{}, nil
	}
}

// nextBallot returns where the next attempt is to be made.
func (c *Controller) nextBallot() (epoch quorum.Epoch, ballot quorum.Ballot, seed *quorum.Value, have quorum.Accepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round++
	ballot = quorum.Ballot{Round: c.round, Proposer: fmt.Sprintf("%s/%d", c.config.Address, c.incarnation)}
	if c.chosenIn == c.epoch.Number {
		return c.epoch, ballot, c.chosen.Value, c.chosen
	}
	if c.seedIn == c.epoch.Number {
		return c.epoch, ballot, c.seed, quorum.Accepted{}
	}
	return c.epoch, ballot, nil, quorum.Accepted{}
}

// observe takes note of what an attempt has heard.
func (c *Controller) observe(epoch uint64, a *quorum.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round = max(c.round, a.Seen().Round)
	if seed := a.Seed(); seed != nil && epoch >= c.seedIn {
		c.seed, c.seedIn = seed, epoch
	}
	c.enter(a.Newer())
}

// answer is one voter's answer in an attempt.
type answer struct {
	from    string
	promise *quorum.Promise
	refusal *quorum.Refusal
}

// run sends the attempt's messages until it has ended one way or another.
func (c *Controller) run(ctx context.Context, epoch quorum.Epoch, a *quorum.Attempt) {
	answers := make(chan answer, 2*len(epoch.Voters))
	left := c.ask(epoch, answers, func(p port.ControllerPeer, to string) (answer, error) {
		m := a.Prepare(to)
		if c.entered(to, epoch) {
			m.Seed = nil
		}
		promise, err := p.Prepare(ctx, m)
		return answer{from: to, promise: &promise}, err
	})
	for left > 0 {
		var got answer
		select {
		case got = <-answers:
			left--
		case <-ctx.Done():
			return
		}
		switch {
		case got.promise != nil && a.Promise(got.from, *got.promise):
			left += c.ask(epoch, answers, func(p port.ControllerPeer, to string) (answer, error) {
				refusal, err := p.Accept(ctx, a.Accept(to))
				return answer{from: to, refusal: refusal}, err
			})
		case got.promise == nil && got.from != "":
			a.Accepted(got.from, got.refusal)
		}
		if a.Phase() >= quorum.Chosen {
			return
		}
	}
}

// entered says whether a voter is known to have entered an epoch, so that it
// needs no first value.
func (c *Controller) entered(disk string, epoch quorum.Epoch) bool {
	if disk == c.voter.id {
		return c.voter.standing().Epoch.Number == epoch.Number
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.peers {
		if p.Disk == disk {
			return p.epoch == epoch.Number
		}
	}
	return false
}

// ask sends a message to each voter and returns how many answers will come; a
// failed call's answer is empty.
func (c *Controller) ask(epoch quorum.Epoch, answers chan<- answer, send func(p port.ControllerPeer, to string) (answer, error)) int {
	for _, v := range epoch.Voters {
		peer, err := c.peerAt(v.Address)
		go func() {
			if err != nil {
				answers <- answer{}
				return
			}
			got, err := send(peer, v.ID)
			if err != nil {
				got = answer{}
			}
			answers <- got
		}()
	}
	return len(epoch.Voters)
}

// announce tells all controllers of a chosen value, and of the epoch that it
// opens.
func (c *Controller) announce(epoch quorum.Epoch, chosen quorum.Accepted) {
	if next, seed, sealed := quorum.Following(epoch, chosen.Value); sealed {
		c.open(epoch, next, seed, chosen)
		return
	}
	if err := c.learn(epoch, chosen); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StateUnreadable, slog.Any("error", err))
	}
	for _, address := range c.livePeers() {
		peer, err := c.peerAt(address)
		if err != nil {
			continue
		}
		votes := slices.ContainsFunc(epoch.Voters, func(v quorum.Voter) bool { return v.Address == address })
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			if votes && peer.Learn(ctx, epoch, quorum.Accepted{Ballot: chosen.Ballot}) == nil {
				return
			}
			// A controller that misses it finds out by the next round of news.
			_ = peer.Learn(ctx, epoch, chosen)
		}()
	}
}

// open makes the next epoch known here with its first value; the next attempt
// brings it to its voters.
func (c *Controller) open(epoch, next quorum.Epoch, seed *quorum.Value, sealed quorum.Accepted) {
	if err := c.learn(epoch, sealed); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StateUnreadable, slog.Any("error", err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(next)
	if c.chosenIn < next.Number {
		c.chosen, c.chosenIn = quorum.Accepted{Value: seed}, next.Number
	}
}

// keep is the Decide of a read.
func keep(current *quorum.Value) (*quorum.Value, error) {
	if current == nil {
		return nil, errEmpty
	}
	return current, nil
}

// errValueMissing means that a controller was told of a choice whose value it
// hasn't accepted.
var errValueMissing = errors.New("chosen value is missing here")

// errEmpty means that nothing was ever accepted.
var errEmpty = errors.New("register is empty")
