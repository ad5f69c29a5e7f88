package controller

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
)

// reconfigureTimeout bounds a change of the voters.
const reconfigureTimeout = 3 * time.Second

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
	current := make([]quorum.Candidate, len(c.epoch.Voters))
	for i, v := range c.epoch.Voters {
		current[i] = c.candidate(now, v)
	}
	return quorum.NextVoters(current, c.spares(now), c.config.ToleratedLosses)
}

// distinguishedProposer returns the address of the live voter with the lowest
// address, which is preferred to propose changes of the register; empty without
// a live majority. One that is stopping isn't preferred. Must hold mu.
func (c *Controller) distinguishedProposer(now time.Time) string {
	first, alive := "", 0
	for _, v := range c.epoch.Voters {
		voter := c.candidate(now, v)
		if voter.Lost || voter.Unreachable >= livenessTimeout {
			continue
		}
		alive++
		if !voter.Stopping && (first == "" || v.Address < first) {
			first = v.Address
		}
	}
	if alive < c.epoch.Majority() {
		return ""
	}
	return first
}

// spares returns the disks of live controllers that don't vote. Must hold mu.
func (c *Controller) spares(now time.Time) []quorum.Candidate {
	var out []quorum.Candidate
	for _, address := range sortedKeys(c.peers) {
		p := c.peers[address]
		if live(now, p.LastSeen) && p.Disk != "" && !c.epoch.Has(p.Disk) {
			out = append(out, c.candidate(now, quorum.Voter{ID: p.Disk, Address: address}))
		}
	}
	return out
}

// candidate returns what is known of a disk. Must hold mu.
func (c *Controller) candidate(now time.Time, v quorum.Voter) quorum.Candidate {
	out := quorum.Candidate{Voter: v}
	if v.ID == c.voter.id {
		out.Region, out.Zone, out.Stopping = c.config.Region, c.config.Zone, c.stopping
		return out
	}
	p := c.peers[v.Address]
	switch {
	case v.Address == c.config.Address:
		out.Lost = true // this controller has another disk
	case p == nil: // it is added with the next exchanges
	case p.Disk == "":
		out.Unreachable = now.Sub(p.addedAt)
	default:
		out.Region, out.Zone, out.Stopping = p.Region, p.Zone, p.Stopping
		out.Lost, out.Unreachable = p.Disk != v.ID, now.Sub(p.LastSeen)
	}
	return out
}
