package control

import (
	"context"
	"time"

	"sassafrasreach/internal/core/register"
)

// roundTimeout bounds the time that a round waits for answers.
const roundTimeout = time.Second

// answer is one member's answer in a round, or the error in place of it.
type answer[R any] struct {
	from register.MemberID
	body R
	err  error
}

// round sends one message to every member and handles their answers.
type round[R any] struct {
	// local returns the node's own answer; nil leaves the node out.
	local func() (R, error)
	// remote sends the message to another member.
	remote func(context.Context, Remote) (R, error)
	// sender returns the member that an answer names as its sender. Answers
	// that name another than the message was sent to are dropped; nil skips
	// the check.
	sender func(R) register.MemberID
	// handle processes an answer and says whether the round is over.
	handle func(R) bool
}

// run sends the messages and handles answers until handle returns true, all
// members answered, ctx ended or roundTimeout passed. Messages that are in flight
// then are not canceled: they use the node's sendCtx, not ctx.
func (r round[R]) run(ctx context.Context, n *Node) {
	answers := make(chan answer[R], len(n.remotes))
	sent := 0
	for i, to := range n.remotes {
		if to == nil {
			continue
		}
		sent++
		n.send(func() {
			body, err := r.remote(n.sendCtx, to)
			answers <- answer[R]{from: register.MemberID(i), body: body, err: err}
		})
	}
	if r.local != nil {
		sent++
		body, err := r.local()
		answers <- answer[R]{from: n.self, body: body, err: err}
	}
	r.collect(ctx, answers, sent)
}

// collect handles up to sent answers. Failed calls are skipped.
func (r round[R]) collect(ctx context.Context, answers <-chan answer[R], sent int) {
	limit := time.NewTimer(roundTimeout)
	defer limit.Stop()
	for range sent {
		select {
		case a := <-answers:
			if a.err != nil || r.sender != nil && r.sender(a.body) != a.from {
				continue
			}
			if r.handle(a.body) {
				return
			}
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// send runs f, which sends a message, in a goroutine unless sendCtx was canceled.
func (n *Node) send(f func()) {
	n.sendsMu.Lock()
	defer n.sendsMu.Unlock()
	if n.sendCtx.Err() == nil {
		n.sends.Go(f)
	}
}
