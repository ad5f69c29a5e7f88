package registergrpc

import (
	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

func ballotToProto(b register.Ballot) *registerv1.Ballot {
	if b.IsZero() {
		return nil
	}
	return &registerv1.Ballot{Round: b.Round, Member: uint32(b.Member), Incarnation: b.Incarnation}
}

func ballotFromProto(m *registerv1.Ballot) register.Ballot {
	return register.Ballot{
		Round: m.GetRound(), Member: register.MemberID(m.GetMember()), Incarnation: m.GetIncarnation(),
	}
}

func ballotsToProto(ballots register.Ballots) []*registerv1.Ballot {
	out := make([]*registerv1.Ballot, len(ballots))
	for i, b := range ballots {
		out[i] = &registerv1.Ballot{Round: b.Round, Member: uint32(b.Member), Incarnation: b.Incarnation}
	}
	return out
}

func ballotsFromProto(in []*registerv1.Ballot) register.Ballots {
	var out register.Ballots
	for i := range min(len(in), len(out)) {
		out[i] = ballotFromProto(in[i])
	}
	return out
}

func noncesFromProto(in []uint64) [register.MaxMembers]uint64 {
	var out [register.MaxMembers]uint64
	copy(out[:], in)
	return out
}

func memberStateToProto(s register.MemberState) *registerv1.Standing {
	return &registerv1.Standing{
		Member: uint32(s.Member), Voting: s.Voting, Generation: ballotToProto(s.Generation),
		Fences: ballotsToProto(s.Fences), Promised: ballotToProto(s.Promised),
	}
}

func memberStateFromProto(m *registerv1.Standing) register.MemberState {
	return register.MemberState{
		Member: register.MemberID(m.GetMember()), Voting: m.GetVoting(),
		Generation: ballotFromProto(m.GetGeneration()), Fences: ballotsFromProto(m.GetFences()),
		Promised: ballotFromProto(m.GetPromised()),
	}
}

func acceptedValueToProto(v register.AcceptedValue) *registerv1.Holding {
	return &registerv1.Holding{
		Accepted: ballotToProto(v.Accepted), Value: valueToProto(v.Value), Committed: v.Committed,
	}
}

func acceptedValueFromProto(m *registerv1.Holding) register.AcceptedValue {
	return register.AcceptedValue{
		Accepted: ballotFromProto(m.GetAccepted()), Value: valueFromProto(m.GetValue()),
		Committed: m.GetCommitted(),
	}
}

func valueToProto(v *register.Value) *registerv1.Value {
	if v == nil {
		return nil
	}
	out := &registerv1.Value{
		Version: v.Version, Digest: v.Digest, Document: v.Document, Operator: v.Operator,
		Decisions: make([]*registerv1.Decision, len(v.Decisions)),
		Audit:     make([]*registerv1.AuditRecord, len(v.Audit)),
	}
	for i, d := range v.Decisions {
		out.Decisions[i] = decisionToProto(d)
	}
	for i, r := range v.Audit {
		out.Audit[i] = auditToProto(r)
	}
	return out
}

func valueFromProto(m *registerv1.Value) *register.Value {
	if m == nil {
		return nil
	}
	out := &register.Value{
		Config:    port.Config{Version: m.GetVersion(), Digest: m.GetDigest(), Document: m.GetDocument()},
		Operator:  m.GetOperator(),
		Decisions: make([]register.Decision, len(m.GetDecisions())),
		Audit:     make([]port.AuditRecord, len(m.GetAudit())),
	}
	for i, d := range m.GetDecisions() {
		out.Decisions[i] = decisionFromProto(d)
	}
	for i, r := range m.GetAudit() {
		out.Audit[i] = auditFromProto(r)
	}
	return out
}

func decisionToProto(d register.Decision) *registerv1.Decision {
	return &registerv1.Decision{
		ChangeId: d.ChangeID, State: string(d.State), Version: d.Version, Digest: d.Digest,
		Operator: d.Operator, RequestDigest: d.Request.Digest, BaseVersion: d.Request.BaseVersion,
		RequestOperator: d.Request.Operator,
	}
}

func decisionFromProto(m *registerv1.Decision) register.Decision {
	return register.Decision{
		Outcome: port.Outcome{
			ChangeID: m.GetChangeId(), State: port.ChangeState(m.GetState()), Version: m.GetVersion(),
			Digest: m.GetDigest(), Operator: m.GetOperator(),
		},
		Request: register.Request{
			Digest: m.GetRequestDigest(), BaseVersion: m.GetBaseVersion(), Operator: m.GetRequestOperator(),
		},
	}
}

func auditToProto(r port.AuditRecord) *registerv1.AuditRecord {
	return &registerv1.AuditRecord{
		TimeUnixNanos: r.Time.UnixNano(), Operator: r.Operator, ChangeId: r.ChangeID,
		FromVersion: r.From, ToVersion: r.To, Digest: r.Digest, State: string(r.State),
		Previous: r.Previous, Hash: r.Hash,
	}
}

func auditFromProto(m *registerv1.AuditRecord) port.AuditRecord {
	return port.AuditRecord{
		Time: audit.TimeOf(m.GetTimeUnixNanos()), Operator: m.GetOperator(), ChangeID: m.GetChangeId(),
		From: m.GetFromVersion(), To: m.GetToVersion(), Digest: m.GetDigest(),
		State: port.ChangeState(m.GetState()), Previous: m.GetPrevious(), Hash: m.GetHash(),
	}
}
