package control

import (
	"context"
	"math/rand/v2"
	"time"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// MaxDocumentBytes bounds a document; a larger one is invalid.
	MaxDocumentBytes = 4 << 20
	// submitTimeout bounds Submit when its context has no earlier deadline.
	submitTimeout = 10 * time.Second
	// backoffDoublings is the largest number of times that the backoff window
	// doubles.
	backoffDoublings = 4
	// The pause before another attempt is drawn from the backoff window.
	// backoffMin is the minimum length of the first window, and backoffMax the
	// maximum length of every window.
	backoffMin = 20 * time.Millisecond
	backoffMax = 2 * time.Second
)

// backoff returns a random pause after a failed attempt that took the given time
// and followed the given number of failed attempts. The window is as long as the
// attempt and doubles with each failure, so that one of several competing
// proposers completes its attempt before the others retry.
func backoff(took time.Duration, before int) time.Duration {
	window := min(max(took, backoffMin)<<min(before, backoffDoublings), backoffMax)
	return rand.N(window)
}

// Submit implements port.ConfigStore. Besides port.ErrNoQuorum the error may be
// register.ErrNoChangeID or register.ErrChangeIDReused. A refused change is
// recorded in the audit trail too.
func (n *Node) Submit(ctx context.Context, change port.Change) (port.Outcome, error) {
	proposal := register.Proposal{
		Change: change, Digest: audit.Digest(change.Document), Invalid: n.isInvalid(change.Document), Time: n.clock.Now(),
	}
	return n.submit(ctx, change.ID, func(v *register.Value) (*register.Value, port.Outcome, error) {
		return register.Apply(v, proposal)
	})
}

// submit makes one write with an ID. When the write failed but may have been
// accepted, it returns an outcome in state port.ChangeUnknown and no error.
func (n *Node) submit(ctx context.Context, id string, apply func(*register.Value) (*register.Value, port.Outcome, error)) (port.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	out, proposed, err := n.propose(ctx, apply)
	if err == nil {
		return out, nil
	}
	if proposed {
		return n.unknownOutcome(id), nil
	}
	return port.Outcome{}, err
}

// isInvalid says whether a document is too long or fails the validation.
func (n *Node) isInvalid(document []byte) bool {
	return len(document) > MaxDocumentBytes || n.validate(document) != nil
}

// unknownOutcome returns the outcome of a write that may have been accepted, with
// the newest document that this member knows to be chosen.
func (n *Node) unknownOutcome(id string) port.Outcome {
	out := port.Outcome{ChangeID: id, State: port.ChangeUnknown}
	if v := n.snapshot().CommittedValue; v != nil {
		out.Version, out.Digest, out.Operator = v.Version, v.Digest, v.Operator
	}
	return out
}

// readByProposal reads the newest chosen value by making a quorum accept it again.
func (n *Node) readByProposal(ctx context.Context) (*register.Value, error) {
	var newest *register.Value
	_, _, err := n.propose(ctx, func(v *register.Value) (*register.Value, port.Outcome, error) {
		newest = v
		return register.Keep(v)
	})
	return newest, err
}

// propose makes attempts with increasing ballots until one succeeds, decide
// returns an error, the node fails or ctx ends. When the error isn't nil, the flag
// says whether a value that decide returned may have been chosen or may still
// become chosen.
func (n *Node) propose(ctx context.Context, decide register.Decide) (port.Outcome, bool, error) {
	select {
	case n.proposeSem <- struct{}{}:
		defer func() { <-n.proposeSem }()
	case <-ctx.Done():
		return port.Outcome{}, false, port.ErrNoQuorum
	}
	proposed := false
	seen := register.Ballot{}
	for tries := 0; ctx.Err() == nil && n.failure() == nil; tries++ {
		began, started := n.clock.Now(), time.Now()
		a := register.NewAttempt(n.group, n.nextBallot(seen), n.acceptedValue(), decide)
		n.attempt(ctx, a)
		switch out, err := a.Outcome(); {
		case a.Phase() == register.Chosen:
			n.sendLearn(a)
			n.recordQuorumRead(began)
			return out, true, nil
		case err != nil:
			return port.Outcome{}, proposed, err
		}
		proposed = proposed || a.Value() != nil
		seen = a.Seen()
		wait.For(ctx, backoff(time.Since(started), tries))
	}
	return port.Outcome{}, proposed, port.ErrNoQuorum
}

// attempt runs the prepare and the accept round of one attempt. The accept round
// follows only after a quorum promised.
func (n *Node) attempt(ctx context.Context, a *register.Attempt) {
	prepare := a.Prepare()
	round[register.Promise]{
		local:  func() (register.Promise, error) { return n.Prepare(prepare) },
		remote: func(ctx context.Context, to Remote) (register.Promise, error) { return to.Prepare(ctx, prepare) },
		sender: func(m register.Promise) register.MemberID { return m.Member },
		handle: func(m register.Promise) bool {
			a.Promise(m)
			return a.Phase() != register.Preparing
		},
	}.run(ctx, n)
	if a.Phase() != register.Accepting {
		return
	}
	accept := a.Accept()
	round[register.Accepted]{
		local:  func() (register.Accepted, error) { return n.Accept(accept) },
		remote: func(ctx context.Context, to Remote) (register.Accepted, error) { return to.Accept(ctx, accept) },
		sender: func(m register.Accepted) register.MemberID { return m.Member },
		handle: func(m register.Accepted) bool {
			a.Accepted(m)
			return a.Phase() != register.Accepting
		},
	}.run(ctx, n)
}

// sendLearn learns the attempt's value, which was chosen, and sends the other
// members a Learn without waiting for their answers. A member that misses it
// learns the value by anti-entropy.
func (n *Node) sendLearn(a *register.Attempt) {
	learn := a.Learn()
	_ = n.learnValue(register.AcceptedValue{Accepted: a.Ballot(), Value: a.Value(), Committed: true})
	for _, to := range n.remotes {
		if to != nil {
			n.send(func() { _ = to.Learn(n.sendCtx, learn) })
		}
	}
}
