package explore

import (
	"sassafrasreach/internal/core/register"
)

// handle gives a packet to its member; the state counts as durable before any
// answer leaves.
func (s *sim) handle(m *member, p packet) error {
	switch b := p.body.(type) {
	case register.Prepare:
		out, _ := m.acceptor.Prepare(b)
		s.strip(&out.Standing)
		s.reply(p, out)
		s.strike(m, p, out.OK)
	case register.Accept:
		out, _ := m.acceptor.Accept(b)
		s.strip(&out.Standing)
		s.reply(p, out)
		s.strike(m, p, out.OK)
	case register.Learn:
		m.acceptor.Learn(b)
	case register.Query:
		out := m.acceptor.Query(b)
		s.strip(&out.Standing)
		s.reply(p, out)
	case register.Probe:
		s.reply(p, m.acceptor.Probe(b))
	case register.Fence:
		if m.id != p.from {
			out, _ := m.acceptor.Fence(b)
			s.strip(&out.Standing)
			s.reply(p, out)
		}
	default:
		return s.answer(m, p.body)
	}
	return nil
}

func (s *sim) strip(st *register.Standing) {
	if s.fault == NoGeneration || s.fault == OldImageVotes {
		st.Generation, st.Fences = register.Ballot{}, register.Ballots{}
	}
}

// answer gives an answer to the state machine that asked for it.
func (s *sim) answer(m *member, body any) error {
	switch b := body.(type) {
	case register.Promise:
		if m.attempt != nil && m.attempt.Promise(b) {
			s.send(m, m.attempt.Accept())
		}
	case register.Accepted:
		if m.attempt != nil && m.attempt.Accepted(b) {
			return s.chosen(m)
		}
	case register.ProbeReply:
		if m.start != nil {
			m.start.Reply(b)
			s.tryVote(m)
		}
	case register.Fenced:
		if m.repair != nil && !m.acceptor.State().Voting && m.repair.Fenced(b) {
			m.acceptor.Repaired(m.repair.Result())
		}
	case register.Report:
		return s.report(m, b)
	}
	return nil
}

func (s *sim) report(m *member, b register.Report) error {
	if m.copied != nil && b.Voting && !m.acceptor.State().Voting {
		m.copied[b.Member] = b
		s.copyRepair(m)
	}
	if m.read == nil {
		return nil
	}
	m.read.Report(b)
	if m.acceptor.Overtaken(m.read.Fences()) {
		s.forget(m)
		return nil
	}
	h, known := m.read.Known()
	if !known {
		return nil
	}
	m.acceptor.LearnValue(h.Accepted, h.Value)
	if err := s.oracle.choose(h.Accepted, h.Value); err != nil {
		return err
	}
	if _, newest := m.read.Chosen(); newest {
		m.read = nil
		return s.oracle.readAfter(m.readFloor, h.Value)
	}
	return nil
}

// copyRepair is the planted repair without a fence.
func (s *sim) copyRepair(m *member) {
	if len(m.copied) < s.group.RepairQuorum() {
		return
	}
	var r register.Result
	for _, c := range m.copied {
		if r.Ballot.Less(c.Promised) {
			r.Ballot = c.Promised
		}
		if r.Accepted.Less(c.Accepted) {
			r.Accepted, r.Value = c.Accepted, c.Value
		}
	}
	m.acceptor.Repaired(r)
}

func (s *sim) chosen(m *member) error {
	a := m.attempt
	if err := s.oracle.choose(a.Ballot(), a.Value()); err != nil {
		return err
	}
	s.send(m, a.Learn())
	m.attempt = nil
	if m.op == nil {
		return nil
	}
	out, _ := a.Outcome()
	m.op = nil
	return s.oracle.tell(out)
}
