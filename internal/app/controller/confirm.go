package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sassafrasreach/internal/core/quorum"
)

const (
	// catchUpDelay is how long a later value may be in transit before the
	// distinguished proposer reads the register for it.
	catchUpDelay = 400 * time.Millisecond
	// catchUpDelayOthers is the same for the other controllers, so that the
	// distinguished proposer reads first.
	catchUpDelayOthers = 1500 * time.Millisecond
)

// confirmed returns the latest time since boot, of now or before, at which a majority of
// the voters had accepted nothing later than the value that this controller knows to be
// chosen; false if there is none. Must hold mu.
func (c *Controller) confirmed(now time.Duration) (time.Duration, bool) {
	if c.chosen.Value == nil || c.chosenEpoch != c.epoch.Number || c.chosen.Ballot == (quorum.Ballot{}) {
		return 0, false
	}
	if _, _, sealed := quorum.NextEpoch(c.epoch, c.chosen.Value); sealed {
		return 0, false // the voters of the next epoch decide
	}
	var moments []time.Duration
	for _, v := range c.epoch.Voters {
		if at, ok := c.voterConfirmed(now, v); ok {
			moments = append(moments, at)
		}
	}
	majority := c.epoch.Majority()
	if len(moments) < majority {
		return 0, false
	}
	slices.SortFunc(moments, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return moments[majority-1], true
}

// voterConfirmed returns when a voter was last known to have accepted nothing
// later than the chosen value. Must hold mu.
func (c *Controller) voterConfirmed(now time.Duration, v quorum.Voter) (time.Duration, bool) {
	if v.Address == c.config.Address {
		s := c.voter.savedState()
		return now, v.ID == s.ID && c.notLater(s.Epoch.Number, s.Accepted.Ballot)
	}
	p := c.peers[v.Address]
	if p == nil || p.Disk != v.ID {
		return 0, false
	}
	return p.sentAt, c.notLater(p.epoch, p.accepted)
}

// notLater reports whether the ballot that a voter accepted isn't later than
// the one of the chosen value. Must hold mu.
func (c *Controller) notLater(epoch uint64, accepted quorum.Ballot) bool {
	return epoch < c.chosenEpoch || epoch == c.chosenEpoch && !c.chosen.Ballot.Less(accepted)
}

// catchUp reads the register when this controller has been behind for longer
// than an update takes to arrive: a voter has reported a later value, or no
// value is known to be chosen in the newest epoch.
func (c *Controller) catchUp(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	behind := c.behind(now)
	if !behind {
		c.behindSince = time.Time{}
	} else if c.behindSince.IsZero() {
		c.behindSince = now.Add(jitter(catchUpDelay) - catchUpDelay)
	}
	delay := catchUpDelay
	switch {
	case c.distinguishedProposer(now) != c.config.Address:
		delay = catchUpDelayOthers
	case c.chosen.Value == nil:
		delay = 0 // at a start no other controller can be expected to send the value
	}
	due := behind && now.Sub(c.behindSince) >= delay
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// An empty register or a missing quorum is retried in the next round.
	_, _, _ = c.propose(ctx, keepValue)
}

// behind reports whether a later value than the known one may have been
// chosen. Must hold mu.
func (c *Controller) behind(now time.Time) bool {
	if c.epoch.Number == 0 {
		return false
	}
	if c.chosenEpoch != c.epoch.Number || c.chosen.Ballot == (quorum.Ballot{}) {
		return c.epoch.Number > 1 || c.chosen.Value != nil || c.acceptedAnywhere()
	}
	for _, v := range c.epoch.Voters {
		p := c.peers[v.Address]
		if p != nil && live(now, p.LastSeen) && p.Disk == v.ID && !c.notLater(p.epoch, p.accepted) {
			return true
		}
	}
	return false
}

// acceptedAnywhere reports whether any voter, this one included, is known to
// have accepted a value. Must hold mu.
func (c *Controller) acceptedAnywhere() bool {
	for _, p := range c.peers {
		if p.accepted != (quorum.Ballot{}) {
			return true
		}
	}
	return c.voter.savedState().Accepted.Value != nil
}
