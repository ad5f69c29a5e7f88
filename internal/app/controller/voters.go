package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
)

const (
	// replaceAfter is how long a voter has to be unreachable before a
	// controller that doesn't vote replaces it: longer than a restart, shorter
	// than the time until another voter may be lost.
	replaceAfter = 2 * time.Second
	// retireAfter is how long a voter has to be unreachable before it is
	// removed without a replacement.
	retireAfter = 12 * time.Second
	// minVoters is the smallest number of voters that remain after one is
	// removed without a replacement.
	minVoters = 3
	// maxVoters bounds the voters of an epoch: each further one adds little
	// safety and slows every order.
	maxVoters = 9
	// reconfigureTimeout bounds a change of the voters.
	reconfigureTimeout = 3 * time.Second
)

// updateVoters changes the voters when they differ from the live controllers.
// Only the distinguished proposer does so. Two controllers may each consider
// themselves that proposer; their ballots then collide, which is safe.
func (c *Controller) updateVoters(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	voters := c.wantedVoters(now)
	epoch := c.epoch
	c.mu.Unlock()
	if voters == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reconfigureTimeout)
	defer cancel()
	_, _, err := c.propose(ctx, func(current *quorum.Value) (*quorum.Value, error) {
		if current == nil {
			return &quorum.Value{Sequence: 1, Next: voters}, nil
		}
		return &quorum.Value{Sequence: current.Sequence, State: current.State, Next: voters}, nil
	})
	event.Log(ctx, c.ports.Logger, event.VotersChanged, slog.Uint64("epoch", epoch.Number),
		slog.Any("voters", voters), outcomeAttr(err))
	if err == nil {
		// The first value of the new epoch has to be sent to its voters.
		_, _, _ = c.propose(ctx, keepValue)
	}
}

// wantedVoters returns the voters that the epoch should have; nil if it has
// them, this controller isn't the distinguished proposer, or it is stopping.
// Must hold mu.
func (c *Controller) wantedVoters(now time.Time) []quorum.Voter {
	if c.stopping || c.distinguishedProposer(now) != c.config.Address {
		return nil
	}
	voters := slices.Clone(c.epoch.Voters)
	changed := false
	for _, p := range c.candidates(now) {
		index := c.replaceable(now, voters, p)
		switch {
		case index >= 0:
			voters[index] = p
			changed = true
		case len(voters) < maxVoters:
			voters = append(voters, p)
			changed = true
		}
	}
	if !changed && len(voters) > minVoters {
		for i, v := range voters {
			if c.unreachableFor(now, v) > retireAfter {
				return slices.Delete(voters, i, i+1)
			}
		}
	}
	if !changed {
		return nil
	}
	return voters
}

// distinguishedProposer returns the address of the live voter with the lowest
// address, which is preferred to propose changes of the register; empty without
// a live majority. Must hold mu.
func (c *Controller) distinguishedProposer(now time.Time) string {
	first, alive := "", 0
	for _, v := range c.epoch.Voters {
		if c.unreachableFor(now, v) >= livenessTimeout {
			continue
		}
		alive++
		if first == "" || v.Address < first {
			first = v.Address
		}
	}
	if alive < c.epoch.Majority() {
		return ""
	}
	return first
}

// candidates returns the disks of live controllers that don't vote. Must hold
// mu.
func (c *Controller) candidates(now time.Time) []quorum.Voter {
	var out []quorum.Voter
	for _, address := range sortedKeys(c.peers) {
		p := c.peers[address]
		if live(now, p.LastSeen) && p.Disk != "" && !c.epoch.Has(p.Disk) {
			out = append(out, quorum.Voter{ID: p.Disk, Address: address})
		}
	}
	return out
}

// replaceable returns the index of the voter that a candidate replaces: the
// one at its address, whose disk was lost, or one that has been unreachable
// for replaceAfter; -1 if there is none. Must hold mu.
func (c *Controller) replaceable(now time.Time, voters []quorum.Voter, candidate quorum.Voter) int {
	for i, v := range voters {
		if v.Address == candidate.Address {
			return i
		}
	}
	for i, v := range voters {
		if c.epoch.Has(v.ID) && c.unreachableFor(now, v) > replaceAfter {
			return i
		}
	}
	return -1
}

// unreachableFor returns how long a voter's disk has been unreachable. A voter
// that is no peer, or whose address has another disk now, counts as lost. Must
// hold mu.
func (c *Controller) unreachableFor(now time.Time, v quorum.Voter) time.Duration {
	if v.ID == c.voter.id {
		return 0
	}
	p := c.peers[v.Address]
	if p == nil || p.Disk != "" && p.Disk != v.ID {
		return retireAfter + 1
	}
	if p.Disk == "" {
		return now.Sub(p.addedAt)
	}
	return now.Sub(p.LastSeen)
}
