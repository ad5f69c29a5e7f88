package registergrpc

import (
	"time"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// EntryReport is the status that an entry VM last reported of itself.
type EntryReport struct {
	port.EntryStatus
	// Incarnation changes at each start of the entry VM.
	Incarnation uint64
}

// FetchAnswer is the answer to an entry VM that fetches the document.
type FetchAnswer struct {
	// Config is the newest known configuration; its document is empty when the
	// entry VM already has it.
	Config port.Config
	// Quorum reports whether the version has just been read from a quorum.
	Quorum bool
	// Lifted are the fingerprints whose quarantine operators lifted.
	Lifted []string
}

func promiseToProto(p register.Promise) *registerv1.PrepareResponse {
	return &registerv1.PrepareResponse{
		Standing: memberStateToProto(p.MemberState), Ballot: ballotToProto(p.Ballot), Ok: p.OK,
		Holding: acceptedValueToProto(p.AcceptedValue),
	}
}

func promiseFromProto(m *registerv1.PrepareResponse) register.Promise {
	return register.Promise{
		MemberState: memberStateFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
		AcceptedValue: acceptedValueFromProto(m.GetHolding()),
	}
}

func acceptedToProto(a register.Accepted) *registerv1.AcceptResponse {
	return &registerv1.AcceptResponse{
		Standing: memberStateToProto(a.MemberState), Ballot: ballotToProto(a.Ballot), Ok: a.OK,
	}
}

func acceptedFromProto(m *registerv1.AcceptResponse) register.Accepted {
	return register.Accepted{
		MemberState: memberStateFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
	}
}

func reportToProto(r register.Report) *registerv1.QueryResponse {
	return &registerv1.QueryResponse{
		Standing: memberStateToProto(r.MemberState), Holding: acceptedValueToProto(r.AcceptedValue),
	}
}

func reportFromProto(m *registerv1.QueryResponse) register.Report {
	return register.Report{
		MemberState: memberStateFromProto(m.GetStanding()), AcceptedValue: acceptedValueFromProto(m.GetHolding()),
	}
}

func probeReplyToProto(p register.ProbeReply) *registerv1.ProbeResponse {
	return &registerv1.ProbeResponse{
		Standing: memberStateToProto(p.MemberState), Echo: p.Echo, Round: p.Round,
		Nonce: p.Nonce, Empty: p.Empty, Founders: p.Founders[:],
	}
}

func probeReplyFromProto(m *registerv1.ProbeResponse) register.ProbeReply {
	return register.ProbeReply{
		MemberState: memberStateFromProto(m.GetStanding()), Echo: m.GetEcho(), Round: m.GetRound(),
		Nonce: m.GetNonce(), Empty: m.GetEmpty(), Founders: noncesFromProto(m.GetFounders()),
	}
}

func fencedToProto(f register.Fenced) *registerv1.FenceResponse {
	return &registerv1.FenceResponse{
		Standing: memberStateToProto(f.MemberState), Ballot: ballotToProto(f.Ballot), Ok: f.OK,
		Holding: acceptedValueToProto(f.AcceptedValue), Founders: f.Founders[:],
	}
}

func fencedFromProto(m *registerv1.FenceResponse) register.Fenced {
	return register.Fenced{
		MemberState: memberStateFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
		AcceptedValue: acceptedValueFromProto(m.GetHolding()), Founders: noncesFromProto(m.GetFounders()),
	}
}

func entryReportToProto(r EntryReport) *registerv1.AgedReport {
	return &registerv1.AgedReport{
		Report: &registerv1.EntryReport{
			Name: r.Name, Place: r.Place, Incarnation: r.Incarnation, Version: r.Version,
			Quarantined: r.Quarantined,
		},
		AgeMillis: uint64(max(r.Age, 0) / time.Millisecond),
	}
}

func entryReportFromProto(m *registerv1.EntryReport, ageMillis uint64) EntryReport {
	return EntryReport{
		EntryStatus: port.EntryStatus{
			Name: m.GetName(), Place: m.GetPlace(), Version: m.GetVersion(),
			Age: time.Duration(ageMillis) * time.Millisecond, Quarantined: m.GetQuarantined(),
		},
		Incarnation: m.GetIncarnation(),
	}
}
