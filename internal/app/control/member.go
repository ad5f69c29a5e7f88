package control

import (
	"sassafrasreach/internal/core/register"
)

// Prepare implements registergrpc.Member. Its answer is returned only after the
// promise is durable.
func (n *Node) Prepare(m register.Prepare) (register.Promise, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return register.Promise{}, n.failed
	}
	answer, changed := n.acceptor.Prepare(m)
	if changed {
		if err := n.saveState(); err != nil {
			return register.Promise{}, err
		}
	}
	return answer, nil
}

// Accept implements registergrpc.Member. Its answer is returned only after the
// value is durable.
func (n *Node) Accept(m register.Accept) (register.Accepted, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return register.Accepted{}, n.failed
	}
	answer, changed := n.acceptor.Accept(m)
	if changed {
		if err := n.saveValue(); err != nil {
			return register.Accepted{}, err
		}
	}
	return answer, nil
}

// Learn implements registergrpc.Member.
func (n *Node) Learn(m register.Learn) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return n.failed
	}
	if !n.acceptor.Learn(m) {
		return nil
	}
	return n.saveState()
}

// learnValue adopts a value that is known to be chosen.
func (n *Node) learnValue(h register.AcceptedValue) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return n.failed
	}
	if n.acceptor.Learn(register.Learn{Ballot: h.Accepted}) {
		return n.saveState()
	}
	if !n.acceptor.LearnValue(h.Accepted, h.Value) {
		return nil
	}
	return n.saveBoth()
}

// Query implements registergrpc.Member.
func (n *Node) Query(m register.Query) (register.Report, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return register.Report{}, n.failed
	}
	return n.acceptor.Query(m), nil
}

// Probe implements registergrpc.Member.
func (n *Node) Probe(m register.Probe) (register.ProbeReply, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return register.ProbeReply{}, n.failed
	}
	return n.acceptor.Probe(m), nil
}

// Fence implements registergrpc.Member. Its answer is returned only after the
// promise is durable.
func (n *Node) Fence(m register.Fence) (register.Fenced, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.failed != nil {
		return register.Fenced{}, n.failed
	}
	answer, changed := n.acceptor.Fence(m)
	if changed {
		if err := n.saveState(); err != nil {
			return register.Fenced{}, err
		}
	}
	return answer, nil
}

// snapshot returns the member's current state.
func (n *Node) snapshot() register.State {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor.State()
}

// acceptedValue returns what the member accepted. Attempts and query rounds
// start from it, so that other members needn't send that value.
func (n *Node) acceptedValue() register.AcceptedValue {
	s := n.snapshot()
	return register.AcceptedValue{Accepted: s.Accepted, Value: s.Value, Committed: s.Accepted == s.Committed}
}

// nextBallot returns a ballot higher than seen and than every ballot that the
// member observed or issued.
func (n *Node) nextBallot(seen register.Ballot) register.Ballot {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ballots.Observe(seen)
	n.observe(n.acceptor.State())
	return n.ballots.Next()
}
