package control

import (
	"context"
	"time"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
)

const (
	// keepUpInterval is the pause between two rounds of anti-entropy.
	keepUpInterval = 300 * time.Millisecond
	// stalledRounds is the number of rounds after which an accepted value that
	// isn't known to be chosen is taken for left behind by its proposer.
	stalledRounds = 3
)

// keepUp reads the register from the other members again and again: a member
// that lags learns the newest chosen value.
func (n *Node) keepUp(ctx context.Context) {
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
			_, _ = n.settle(ctx)
		}
		if !wait.For(ctx, keepUpInterval) {
			return
		}
	}
}

// readRound asks every member what it accepted, and learns chosen values.
func (n *Node) readRound(ctx context.Context) *register.Read {
	began := n.clock.Now()
	read := register.NewRead(n.group, n.queries.Add(1), n.held())
	query := read.Query()
	round[register.Report]{
		local:  func() (register.Report, error) { return n.Query(query) },
		remote: func(ctx context.Context, to Remote) (register.Report, error) { return to.Query(ctx, query) },
		sender: func(m register.Report) register.MemberID { return m.Member },
		take: func(m register.Report) bool {
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
		n.noteQuorum(began)
	}
	return read
}

// stepDown takes the vote from a member that others have seen repaired since
// the state on its disk was written: an older image of the disk was put back.
func (n *Node) stepDown(read *register.Read) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil || !n.acceptor.Overtaken(read.Fences()) {
		return
	}
	event.Log(context.Background(), n.logger, event.StateOlder)
	_ = n.reset(true)
}

// noteQuorum records a round that read the newest chosen value.
func (n *Node) noteQuorum(began time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.quorumRead.Before(began) {
		n.quorumRead = began
	}
}
