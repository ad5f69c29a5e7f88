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
	// replaceAfter is how long a voter has to be out of reach before a controller
	// that doesn't vote yet takes its seat: longer than a restart, shorter than
	// the time until another voter may be lost.
	replaceAfter = 2 * time.Second
	// retireAfter is how long a voter has to be out of reach before it loses its
	// seat without a successor.
	retireAfter = 12 * time.Second
	// fewestVoters is the number below which no voter is retired.
	fewestVoters = 3
	// mostVoters bounds the voters of an epoch: what more would add to safety,
	// each order pays for.
	mostVoters = 9
	// seatTimeout bounds a change of voters.
	seatTimeout = 3 * time.Second
)

// keepVoters changes the voters when the live controllers aren't those that
// vote. The first live voter by address does it; another one that believes the
// same only collides.
func (c *Controller) keepVoters(ctx context.Context) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	voters := c.wantedVoters(now)
	epoch := c.epoch
	c.mu.Unlock()
	if voters == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, seatTimeout)
	defer cancel()
	_, _, err := c.propose(ctx, func(current *quorum.Value) (*quorum.Value, error) {
		if current == nil {
			return &quorum.Value{Sequence: 1, Next: voters}, nil
		}
		return &quorum.Value{Sequence: current.Sequence, State: current.State, Next: voters}, nil
	})
	event.Log(ctx, c.ports.Logger, event.VotersChanged, slog.Uint64("epoch", epoch.Number),
		slog.Any("voters", voters), errAttr(err))
	if err == nil {
		// The first value of the new epoch has to reach its voters.
		_, _, _ = c.propose(ctx, keep)
	}
}

// wantedVoters returns the voters that the epoch should have, or nil if it has
// them or this controller isn't the one to change them. Must hold mu.
func (c *Controller) wantedVoters(now time.Time) []quorum.Voter {
	if c.stopping || c.presiding(now) != c.config.Address {
		return nil
	}
	voters := slices.Clone(c.epoch.Voters)
	changed := false
	for _, p := range c.candidates(now) {
		seat := c.seatFor(now, voters, p)
		switch {
		case seat >= 0:
			voters[seat] = p
			changed = true
		case len(voters) < mostVoters:
			voters = append(voters, p)
			changed = true
		}
	}
	if !changed && len(voters) > fewestVoters {
		for i, v := range voters {
			if c.silence(now, v) > retireAfter {
				return slices.Delete(voters, i, i+1)
			}
		}
	}
	if !changed {
		return nil
	}
	return voters
}

// presiding returns the address of the first live voter, which makes changes of
// the register; empty without a live majority. Must hold mu.
func (c *Controller) presiding(now time.Time) string {
	first, alive := "", 0
	for _, v := range c.epoch.Voters {
		if c.silence(now, v) >= silentAfter {
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

// candidates returns the disks of live controllers that don't vote. Must hold mu.
func (c *Controller) candidates(now time.Time) []quorum.Voter {
	var out []quorum.Voter
	for _, address := range sortedKeys(c.peers) {
		p := c.peers[address]
		if live(now, p.Heard) && p.Disk != "" && !c.epoch.Has(p.Disk) {
			out = append(out, quorum.Voter{ID: p.Disk, Address: address})
		}
	}
	return out
}

// seatFor returns the seat that a disk takes over: the one at its address, whose
// disk was lost, or one that has been silent for long; -1 if there is none. Must
// hold mu.
func (c *Controller) seatFor(now time.Time, voters []quorum.Voter, candidate quorum.Voter) int {
	for i, v := range voters {
		if v.Address == candidate.Address {
			return i
		}
	}
	for i, v := range voters {
		if c.epoch.Has(v.ID) && c.silence(now, v) > replaceAfter {
			return i
		}
	}
	return -1
}

// silence is how long a voter's disk hasn't been heard of. Must hold mu.
func (c *Controller) silence(now time.Time, v quorum.Voter) time.Duration {
	if v.ID == c.voter.id {
		return 0
	}
	p := c.peers[v.Address]
	if p == nil || p.Disk != "" && p.Disk != v.ID {
		return retireAfter + 1
	}
	if p.Disk == "" {
		return now.Sub(p.tried)
	}
	return now.Sub(p.Heard)
}
