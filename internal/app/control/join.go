package control

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
)

// joinInterval is the pause between two attempts to obtain a vote.
const joinInterval = 50 * time.Millisecond

// join obtains a vote whenever the member has none, as a founder of the group or
// by a repair. It retries without a limit and returns when ctx ends: a member may
// lose its vote later, when stepDown resets it.
func (n *Node) join(ctx context.Context) {
	var start *register.Start
	for {
		state := n.snapshot()
		switch {
		case state.Voting:
			start = nil
		case start == nil || !start.IsFor(state):
			start = register.NewStart(n.group, n.self, state)
		}
		if start != nil {
			n.tryJoin(ctx, start)
		}
		if !wait.For(ctx, joinInterval) {
			return
		}
	}
}

// tryJoin makes one attempt: it probes all other members and, depending on their
// replies, founds the group, runs a repair or does nothing.
func (n *Node) tryJoin(ctx context.Context, start *register.Start) {
	probe := start.Probe()
	round[register.ProbeReply]{
		remote: func(ctx context.Context, to Remote) (register.ProbeReply, error) { return to.Probe(ctx, probe) },
		sender: func(m register.ProbeReply) register.MemberID { return m.Member },
		handle: func(m register.ProbeReply) bool { start.Reply(m); return false },
	}.run(ctx, n)
	if founders, ok := start.Founders(); ok {
		n.foundGroup(founders)
		return
	}
	if start.CanRepair() {
		n.repair(ctx)
	}
}

// foundGroup makes the member vote as a founder of the group and saves its state.
func (n *Node) foundGroup(founders [register.MaxMembers]uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return
	}
	n.acceptor.FoundGroup(founders)
	if n.saveBoth() == nil {
		event.Log(context.Background(), n.logger, event.GroupFounded)
	}
}

// repair requests a fence from the other members and, when enough of them granted
// it, adopts the highest value that they accepted and votes again.
func (n *Node) repair(ctx context.Context) {
	repair := register.NewRepair(n.group, n.self, n.nextBallot(register.Ballot{}))
	fence := repair.Fence()
	round[register.Fenced]{
		remote: func(ctx context.Context, to Remote) (register.Fenced, error) { return to.Fence(ctx, fence) },
		sender: func(m register.Fenced) register.MemberID { return m.Member },
		handle: repair.Fenced,
	}.run(ctx, n)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ballots.Observe(repair.Seen())
	if n.failed != nil || !repair.Done() {
		return
	}
	n.acceptor.Repaired(repair.Result())
	if n.saveBoth() == nil {
		event.Log(context.Background(), n.logger, event.VotesRepaired, slog.Any("ballot", fence.Ballot.Round))
	}
}
