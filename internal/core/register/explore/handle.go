package explore

import (
	"sassafrasreach/internal/core/register"
)

// handle delivers a packet to its member. A simulated state is durable at once, so
// the rule holds that it is durable before the answer is sent.
func (s *sim) handle(m *member, p packet) error {
	switch b := p.body.(type) {
	case register.Prepare:
		out, _ := m.acceptor.Prepare(b)
		s.clearGenerations(&out.MemberState)
		s.reply(p, out)
		s.maybeLoseVictim(m, p, out.OK)
	case register.Accept:
		out, _ := m.acceptor.Accept(b)
		s.clearGenerations(&out.MemberState)
		s.reply(p, out)
		s.maybeLoseVictim(m, p, out.OK)
	case register.Learn:
		m.acceptor.Learn(b)
	case register.Query:
		out := m.acceptor.Query(b)
		s.clearGenerations(&out.MemberState)
		s.reply(p, out)
	case register.Probe:
		s.reply(p, m.acceptor.Probe(b))
	case register.Fence:
		if m.id != p.from {
			out, _ := m.acceptor.Fence(b)
			s.clearGenerations(&out.MemberState)
			s.reply(p, out)
		}
	default:
		return s.handleAnswer(m, p.body)
	}
	return nil
}

// clearGenerations removes generation and fences from an answer if the planted
// fault requires it.
func (s *sim) clearGenerations(st *register.MemberState) {
	if s.fault == NoGeneration || s.fault == OldImageVotes {
		st.Generation, st.Fences = register.Ballot{}, register.Ballots{}
	}
}

// handleAnswer delivers an answer to the state machine that sent the request.
func (s *sim) handleAnswer(m *member, body any) error {
	switch b := body.(type) {
	case register.Promise:
		if m.attempt != nil && m.attempt.Promise(b) {
			s.send(m, m.attempt.Accept())
		}
	case register.Accepted:
		if m.attempt != nil && m.attempt.Accepted(b) {
			return s.finishAttempt(m)
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
		return s.handleReport(m, b)
	}
	return nil
}

func (s *sim) handleReport(m *member, b register.Report) error {
	if m.copiedReports != nil && b.Voting && !m.acceptor.State().Voting {
		m.copiedReports[b.Member] = b
		s.copyRepair(m)
	}
	if m.read == nil {
		return nil
	}
	m.read.Report(b)
	if m.acceptor.IsStale(m.read.Fences()) {
		s.replaceDisk(m)
		return nil
	}
	h, known := m.read.Known()
	if !known {
		return nil
	}
	m.acceptor.LearnValue(h.Accepted, h.Value)
	if err := s.oracle.recordChosen(h.Accepted, h.Value); err != nil {
		return err
	}
	if _, newest := m.read.Chosen(); newest {
		m.read = nil
		return s.oracle.checkRead(m.readFloor, h.Value)
	}
	return nil
}

// copyRepair is the repair of the planted fault RepairWithoutFence: it copies the
// highest promise and value from reports.
func (s *sim) copyRepair(m *member) {
	if len(m.copiedReports) < s.group.RepairQuorum() {
		return
	}
	var r register.Result
	for _, c := range m.copiedReports {
		if r.Ballot.Less(c.Promised) {
			r.Ballot = c.Promised
		}
		if r.Accepted.Less(c.Accepted) {
			r.Accepted, r.Value = c.Accepted, c.Value
		}
	}
	m.acceptor.Repaired(r)
}

// finishAttempt reports the member's chosen value and its outcome to the oracle, and
// announces the value to all members.
func (s *sim) finishAttempt(m *member) error {
	a := m.attempt
	if err := s.oracle.recordChosen(a.Ballot(), a.Value()); err != nil {
		return err
	}
	s.send(m, a.Learn())
	m.attempt = nil
	if m.op == nil {
		return nil
	}
	out, _ := a.Outcome()
	m.op = nil
	return s.oracle.recordOutcome(out)
}
