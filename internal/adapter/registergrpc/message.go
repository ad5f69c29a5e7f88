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

// Fetched is the answer to an entry VM that fetches the document.
type Fetched struct {
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
		Standing: standingToProto(p.Standing), Ballot: ballotToProto(p.Ballot), Ok: p.OK,
		Holding: holdingToProto(p.Holding),
	}
}

func promiseFromProto(m *registerv1.PrepareResponse) register.Promise {
	return register.Promise{
		Standing: standingFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
		Holding: holdingFromProto(m.GetHolding()),
	}
}

func acceptedToProto(a register.Accepted) *registerv1.AcceptResponse {
	return &registerv1.AcceptResponse{
		Standing: standingToProto(a.Standing), Ballot: ballotToProto(a.Ballot), Ok: a.OK,
	}
}

func acceptedFromProto(m *registerv1.AcceptResponse) register.Accepted {
	return register.Accepted{
		Standing: standingFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
	}
}

func reportToProto(r register.Report) *registerv1.QueryResponse {
	return &registerv1.QueryResponse{
		Standing: standingToProto(r.Standing), Holding: holdingToProto(r.Holding),
	}
}

func reportFromProto(m *registerv1.QueryResponse) register.Report {
	return register.Report{
		Standing: standingFromProto(m.GetStanding()), Holding: holdingFromProto(m.GetHolding()),
	}
}

func probeReplyToProto(p register.ProbeReply) *registerv1.ProbeResponse {
	return &registerv1.ProbeResponse{
		Standing: standingToProto(p.Standing), Echo: p.Echo, Round: p.Round,
		Nonce: p.Nonce, Empty: p.Empty, Founders: p.Founders[:],
	}
}

func probeReplyFromProto(m *registerv1.ProbeResponse) register.ProbeReply {
	return register.ProbeReply{
		Standing: standingFromProto(m.GetStanding()), Echo: m.GetEcho(), Round: m.GetRound(),
		Nonce: m.GetNonce(), Empty: m.GetEmpty(), Founders: noncesFromProto(m.GetFounders()),
	}
}

func fencedToProto(f register.Fenced) *registerv1.FenceResponse {
	return &registerv1.FenceResponse{
		Standing: standingToProto(f.Standing), Ballot: ballotToProto(f.Ballot), Ok: f.OK,
		Holding: holdingToProto(f.Holding), Founders: f.Founders[:],
	}
}

func fencedFromProto(m *registerv1.FenceResponse) register.Fenced {
	return register.Fenced{
		Standing: standingFromProto(m.GetStanding()), Ballot: ballotFromProto(m.GetBallot()), OK: m.GetOk(),
		Holding: holdingFromProto(m.GetHolding()), Founders: noncesFromProto(m.GetFounders()),
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
