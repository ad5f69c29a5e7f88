package control

import (
	"context"
	"time"

	"sassafrasreach/internal/core/register"
)

// roundTimeout bounds the wait for the answers of one round.
const roundTimeout = time.Second

// answer is one member's answer in a round.
type answer[R any] struct {
	from register.MemberID
	body R
	err  error
}

// round is one message to every member and what is done with the answers.
type round[R any] struct {
	// local answers for the node itself; nil leaves it out.
	local func() (R, error)
	// remote sends the message to another member.
	remote func(context.Context, Remote) (R, error)
	// sender names the member that an answer says it is from; nil skips the
	// check.
	sender func(R) register.MemberID
	// take handles an answer and says whether the round is over.
	take func(R) bool
}

// run sends the messages and takes the answers until take says that the round
// is over, all members answered, ctx ended or the time is up. Messages that are
// still under way then go on to their members.
func (r round[R]) run(ctx context.Context, n *Node) {
	answers := make(chan answer[R], len(n.remotes))
	sent := 0
	for i, to := range n.remotes {
		if to == nil {
			continue
		}
		sent++
		n.send(func() {
			body, err := r.remote(n.life, to)
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

func (r round[R]) collect(ctx context.Context, answers <-chan answer[R], sent int) {
	limit := time.NewTimer(roundTimeout)
	defer limit.Stop()
	for range sent {
		select {
		case a := <-answers:
			if a.err != nil || r.sender != nil && r.sender(a.body) != a.from {
				continue
			}
			if r.take(a.body) {
				return
			}
		case <-limit.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// send runs f, which sends a message, unless the node has ended.
func (n *Node) send(f func()) {
	n.callsMu.Lock()
	defer n.callsMu.Unlock()
	if n.life.Err() == nil {
		n.calls.Go(f)
	}
}
