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
	// collisionBackoff spreads proposers whose ballots collided; a round over
	// a long link takes about as long.
	collisionBackoff = 60 * time.Millisecond
	// maxBackoffSteps bounds how far the backoff grows.
	maxBackoffSteps = 5
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
		s := c.voter.savedState()
		if s.Epoch.Number != epoch.Number || s.Accepted.Ballot != chosen.Ballot {
			return errValueMissing
		}
		chosen = s.Accepted
	}
	return c.learn(epoch, chosen)
}

// learn records a value that was chosen and decodes its state.
func (c *Controller) learn(epoch quorum.Epoch, chosen quorum.Accepted) error {
	if chosen.Value == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEpoch(epoch)
	if epoch.Number < c.chosenEpoch || epoch.Number == c.chosenEpoch && !c.chosen.Ballot.Less(chosen.Ballot) {
		return nil
	}
	if c.chosen.Value == nil || chosen.Value.Sequence > c.chosen.Value.Sequence {
		state, err := fleet.Decode(chosen.Value.State)
		if err != nil {
			return err
		}
		c.completeConfig(state, chosen.Value.Sequence)
		c.state = state
		c.endpoints.SetServices(state.Config.ServiceNames())
		c.applyReplacements(c.ports.Clock.Now())
		c.refillPools()
		c.applyQuotas(state)
		event.Log(context.Background(), c.ports.Logger, event.StateLearned,
			slog.Uint64("sequence", chosen.Value.Sequence), slog.Uint64("version", state.Config.Version),
			slog.Any("evacuated", state.Evacuated), slog.Uint64("epoch", epoch.Number))
	}
	c.chosen, c.chosenEpoch = chosen, epoch.Number
	c.notifyChanged()
	return nil
}

// completeConfig decodes the configuration of a state again if a former release decoded it,
// which dropped what it didn't know. If it can't be decoded, it is left as it is, and
// gateways see that by its mark. Must hold mu.
func (c *Controller) completeConfig(state *fleet.State, sequence uint64) {
	if state.Config.Complete() || len(state.Source) == 0 || c.ports.Decoder == nil {
		return
	}
	config, err := c.ports.Decoder.Decode(state.Source)
	if err == nil && config.Version != state.Config.Version {
		err = fmt.Errorf("%w: the source has version %d, the state %d", fleet.ErrInvalid, config.Version, state.Config.Version)
	}
	if err != nil {
		event.Log(context.Background(), c.ports.Logger, event.ConfigUndecodable,
			slog.Uint64("sequence", sequence), slog.Uint64("version", state.Config.Version), slog.Any("error", err))
		return
	}
	state.Config = config
	event.Log(context.Background(), c.ports.Logger, event.ConfigCompleted,
		slog.Uint64("sequence", sequence), slog.Uint64("version", config.Version), slog.Int("accounts", len(config.Accounts)))
}

// enterEpoch records a later epoch. Must hold mu.
func (c *Controller) enterEpoch(epoch quorum.Epoch) {
	if epoch.Number <= c.epoch.Number {
		return
	}
	c.epoch = epoch
	event.Log(context.Background(), c.ports.Logger, event.EpochEntered,
		slog.Uint64("epoch", epoch.Number), slog.Any("voters", epoch.Voters))
}

// propose makes a change durable and returns the value after it and its epoch.
// The error wraps port.ErrUnconfirmed or is the one that decide returned.
// Proposals of this controller run one at a time.
func (c *Controller) propose(ctx context.Context, decide quorum.Decide) (quorum.Accepted, quorum.Epoch, error) {
	select {
	case c.proposing <- struct{}{}:
		defer func() { <-c.proposing }()
	case <-ctx.Done():
		return quorum.Accepted{}, quorum.Epoch{}, fmt.Errorf("%w: timed out behind other proposals of this controller", port.ErrUnconfirmed)
	}
	for collisions := 0; ; collisions++ {
		epoch, ballot, seed, have := c.nextBallot()
		done, value, err := c.attempt(ctx, epoch, quorum.NewAttempt(epoch, ballot, seed, have, decide))
		if done {
			return value, epoch, err
		}
		if !wait.For(ctx, jitter(collisionBackoff*time.Duration(min(collisions, maxBackoffSteps)+1))) {
			return quorum.Accepted{}, quorum.Epoch{}, fmt.Errorf("%w: %d attempts failed", port.ErrUnconfirmed, collisions+1)
		}
	}
}

// attempt runs one attempt; done is false when another one has to follow.
func (c *Controller) attempt(ctx context.Context, epoch quorum.Epoch, a *quorum.Attempt) (done bool, value quorum.Accepted, err error) {
	if epoch.Number == 0 {
		return false, quorum.Accepted{}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	c.runAttempt(ctx, epoch, a)
	c.observe(epoch.Number, a)
	switch a.Phase() {
	case quorum.Declined:
		return true, quorum.Accepted{}, a.Err()
	case quorum.Chosen:
		c.announceChosen(epoch, a.Result())
		return !a.EpochSealed(), a.Result(), a.Err()
	default:
		return false, quorum.Accepted{}, nil
	}
}

// nextBallot returns the epoch, ballot and known values of the next attempt.
func (c *Controller) nextBallot() (epoch quorum.Epoch, ballot quorum.Ballot, seed *quorum.Value, have quorum.Accepted) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round++
	ballot = quorum.Ballot{Round: c.round, Proposer: fmt.Sprintf("%s/%d", c.config.Address, c.incarnation)}
	if c.chosenEpoch == c.epoch.Number {
		return c.epoch, ballot, c.chosen.Value, c.chosen
	}
	if c.seedEpoch == c.epoch.Number {
		return c.epoch, ballot, c.seed, quorum.Accepted{}
	}
	return c.epoch, ballot, nil, quorum.Accepted{}
}

// observe records the ballots, seed and epoch that an attempt's answers
// contained.
func (c *Controller) observe(epoch uint64, a *quorum.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.round = max(c.round, a.Seen().Round)
	if seed := a.Seed(); seed != nil && epoch >= c.seedEpoch {
		c.seed, c.seedEpoch = seed, epoch
	}
	c.enterEpoch(a.Newer())
}

// answer is one voter's answer in an attempt; it is empty when the call
// failed.
type answer struct {
	from    string
	promise *quorum.Promise
	refusal *quorum.Refusal
}

// runAttempt sends the attempt's messages until its value is chosen, the
// attempt is outdated or declined, no more answers will come, or ctx ends.
func (c *Controller) runAttempt(ctx context.Context, epoch quorum.Epoch, a *quorum.Attempt) {
	answers := make(chan answer, 2*len(epoch.Voters))
	left := c.broadcast(epoch, answers, func(p port.ControllerPeer, to string) (answer, error) {
		m := a.Prepare(to)
		if c.hasEntered(to, epoch) {
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
			left += c.broadcast(epoch, answers, func(p port.ControllerPeer, to string) (answer, error) {
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

// hasEntered reports whether a voter is known to have entered an epoch, so
// that it needs no seed.
func (c *Controller) hasEntered(disk string, epoch quorum.Epoch) bool {
	if disk == c.voter.id {
		return c.voter.savedState().Epoch.Number == epoch.Number
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

// broadcast sends a message to each voter and returns the number of answers
// that will come; a failed call yields an empty answer.
func (c *Controller) broadcast(epoch quorum.Epoch, answers chan<- answer, send func(p port.ControllerPeer, to string) (answer, error)) int {
	for _, v := range epoch.Voters {
		peer, err := c.linkTo(v.Address)
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

// announceChosen sends a chosen value to all live controllers; a voter is sent
// its ballot alone, and the value only if that call fails. A value that seals
// the epoch isn't sent: it opens the next epoch here.
func (c *Controller) announceChosen(epoch quorum.Epoch, chosen quorum.Accepted) {
	if next, seed, sealed := quorum.NextEpoch(epoch, chosen.Value); sealed {
		c.openEpoch(epoch, next, seed, chosen)
		return
	}
	if err := c.learn(epoch, chosen); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StateUnreadable, slog.Any("error", err))
	}
	for _, address := range c.livePeers() {
		peer, err := c.linkTo(address)
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
			// A controller that misses it detects that by the next exchange.
			_ = peer.Learn(ctx, epoch, chosen)
		}()
	}
}

// openEpoch records the next epoch and its first value here; the next attempt
// sends them to the voters.
func (c *Controller) openEpoch(epoch, next quorum.Epoch, seed *quorum.Value, sealed quorum.Accepted) {
	if err := c.learn(epoch, sealed); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StateUnreadable, slog.Any("error", err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enterEpoch(next)
	if c.chosenEpoch < next.Number {
		c.chosen, c.chosenEpoch = quorum.Accepted{Value: seed}, next.Number
	}
}

// keepValue is the quorum.Decide function of a read.
func keepValue(current *quorum.Value) (*quorum.Value, error) {
	if current == nil {
		return nil, errRegisterEmpty
	}
	return current, nil
}

// errValueMissing means that a value was reported as chosen by its ballot
// alone to a controller that hasn't accepted it.
var errValueMissing = errors.New("value of the chosen ballot was not accepted by this controller")

// errRegisterEmpty means that no value was ever accepted.
var errRegisterEmpty = errors.New("register is empty")
