package controller

import (
	"context"
	"slices"
	"time"

	"sassafrasreach/internal/core/quorum"
)

const (
	// doubtFor is how long a later value may be on its way before it is asked for.
	doubtFor = 400 * time.Millisecond
	// doubtOthersFor is the same for a controller that doesn't preside: first the
	// one that does may settle it.
	doubtOthersFor = 1500 * time.Millisecond
)

// confirmed returns the latest moment at which a majority of the voters hadn't
// accepted anything later than what this controller knows to be chosen; zero if
// there is none. Must hold mu.
func (c *Controller) confirmed(now time.Time) time.Time {
	if c.chosen.Value == nil || c.chosenIn != c.epoch.Number || c.chosen.Ballot == (quorum.Ballot{}) {
		return time.Time{}
	}
	var moments []time.Time
	for _, v := range c.epoch.Voters {
		if at, ok := c.agreed(now, v); ok {
			moments = append(moments, at)
		}
	}
	majority := c.epoch.Majority()
	if len(moments) < majority {
		return time.Time{}
	}
	slices.SortFunc(moments, func(a, b time.Time) int { return b.Compare(a) })
	return moments[majority-1]
}

// agreed returns when a voter was last known to hold nothing later. Must hold mu.
func (c *Controller) agreed(now time.Time, v quorum.Voter) (time.Time, bool) {
	if v.Address == c.config.Address {
		s := c.voter.standing()
		return now, v.ID == s.ID && c.notLater(s.Epoch.Number, s.Accepted.Ballot)
	}
	p := c.peers[v.Address]
	if p == nil || p.Disk != v.ID {
		return time.Time{}, false
	}
	return p.asked, c.notLater(p.epoch, p.accepted)
}

// notLater says whether what a voter accepted isn't later than the chosen value.
// Must hold mu.
func (c *Controller) notLater(epoch uint64, accepted quorum.Ballot) bool {
	return epoch < c.chosenIn || epoch == c.chosenIn && !c.chosen.Ballot.Less(accepted)
}

// catchUp reads the register when a voter has reported a later value, or no
// value is known of the newest epoch, for longer than news takes to arrive.
func (c *Controller) catchUp(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	behind := c.behind(now)
	if !behind {
		c.doubted = time.Time{}
	} else if c.doubted.IsZero() {
		c.doubted = now.Add(jitter(doubtFor) - doubtFor)
	}
	patience := doubtFor
	switch {
	case c.presiding(now) != c.config.Address:
		patience = doubtOthersFor
	case c.chosen.Value == nil:
		patience = 0 // a start: nobody can be expected to tell
	}
	due := behind && now.Sub(c.doubted) >= patience
	c.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	// An empty register or no quorum is looked at again in the next round.
	_, _, _ = c.propose(ctx, keep)
}

// behind must hold mu.
func (c *Controller) behind(now time.Time) bool {
	if c.epoch.Number == 0 {
		return false
	}
	if c.chosenIn != c.epoch.Number || c.chosen.Ballot == (quorum.Ballot{}) {
		return c.epoch.Number > 1 || c.chosen.Value != nil || c.acceptedElsewhere()
	}
	for _, v := range c.epoch.Voters {
		p := c.peers[v.Address]
		if p != nil && live(now, p.Heard) && p.Disk == v.ID && !c.notLater(p.epoch, p.accepted) {
			return true
		}
	}
	return false
}

// acceptedElsewhere says whether a voter reported an accepted value. Must hold mu.
func (c *Controller) acceptedElsewhere() bool {
	for _, p := range c.peers {
		if p.accepted != (quorum.Ballot{}) {
			return true
		}
	}
	return c.voter.standing().Accepted.Value != nil
}
