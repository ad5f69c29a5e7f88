package control

import (
	"context"
	"time"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
)

const (
	// antiEntropyInterval is the pause between two rounds of anti-entropy.
	antiEntropyInterval = 300 * time.Millisecond
	// stalledRounds is the number of consecutive rounds with a quorum but
	// without a known chosen value after which the member assumes that the
	// proposer of the accepted value has given up.
	stalledRounds = 3
)

// runAntiEntropy queries the members periodically, so that a stale member learns
// the newest chosen value. When it assumes that the proposer of an accepted value
// has given up, it makes a quorum accept the newest value again, so that this value
// is known to be chosen.
func (n *Node) runAntiEntropy(ctx context.Context) {
	stalled := 0
	for {
		read := n.readRound(ctx)
		switch _, chosen := read.Chosen(); {
		case chosen || !read.Quorum():
			stalled = 0
		default:
			stalled++
		}
		if stalled >= stalledRounds {
			stalled = 0
			_, _ = n.readByProposal(ctx)
		}
		if !wait.For(ctx, antiEntropyInterval) {
			return
		}
	}
}

// readRound queries what the members accepted, until a quorum shows a chosen
// value, and learns the newest value that any of them knows to be chosen.
func (n *Node) readRound(ctx context.Context) *register.Read {
	began := n.clock.Now()
	read := register.NewRead(n.group, n.queries.Add(1), n.acceptedValue())
	query := read.Query()
	round[register.Report]{
		local:  func() (register.Report, error) { return n.Query(query) },
		remote: func(ctx context.Context, to Remote) (register.Report, error) { return to.Query(ctx, query) },
		sender: func(m register.Report) register.MemberID { return m.Member },
		handle: func(m register.Report) bool {
			read.Report(m)
			_, chosen := read.Chosen()
			return chosen
		},
	}.run(ctx, n)
	n.stepDown(read)
	if h, known := read.Known(); known {
		_ = n.learnValue(h)
	}
	if _, chosen := read.Chosen(); chosen {
		n.recordQuorumRead(began)
	}
	return read
}

// stepDown withdraws the member's vote when other members know of a repair of it
// that is later than the state on its disk: an older image of the disk was
// restored, and promises made since the image are lost.
func (n *Node) stepDown(read *register.Read) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil || !n.acceptor.IsStale(read.Fences()) {
		return
	}
	event.Log(context.Background(), n.logger, event.StateOlder)
	_ = n.reset(true)
}

// recordQuorumRead records the start of a round or an attempt that read the newest
// chosen value through a quorum.
func (n *Node) recordQuorumRead(began time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quorumRead.Before(began) {
		n.quorumRead = began
	}
}
