package fleetgrpc

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// convertAll converts each element. It returns nil for an empty slice.
func convertAll[A, B any](in []A, convert func(A) B) []B {
	if len(in) == 0 {
		return nil
	}
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = convert(a)
	}
	return out
}

// codec converts points in time to ages relative to now, and back.
type codec struct{ now time.Time }

func (c codec) age(t time.Time) int64            { return c.now.Sub(t).Milliseconds() }
func (c codec) timeAt(ageMillis int64) time.Time { return c.now.Add(-millis(ageMillis)) }

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func ballotToProto(b quorum.Ballot) *fleetv1.Ballot {
	return &fleetv1.Ballot{Round: b.Round, Proposer: b.Proposer}
}

func ballotFromProto(m *fleetv1.Ballot) quorum.Ballot {
	return quorum.Ballot{Round: m.GetRound(), Proposer: m.GetProposer()}
}

func voterToProto(v quorum.Voter) *fleetv1.Voter {
	return &fleetv1.Voter{Id: v.ID, Address: v.Address}
}

func voterFromProto(m *fleetv1.Voter) quorum.Voter {
	return quorum.Voter{ID: m.GetId(), Address: m.GetAddress()}
}

func epochToProto(e quorum.Epoch) *fleetv1.Epoch {
	return &fleetv1.Epoch{Number: e.Number, Voters: convertAll(e.Voters, voterToProto)}
}

func epochFromProto(m *fleetv1.Epoch) quorum.Epoch {
	return quorum.Epoch{Number: m.GetNumber(), Voters: convertAll(m.GetVoters(), voterFromProto)}
}

func valueToProto(v *quorum.Value) *fleetv1.Value {
	if v == nil {
		return nil
	}
	return &fleetv1.Value{Sequence: v.Sequence, State: v.State, Next: convertAll(v.Next, voterToProto)}
}

func valueFromProto(m *fleetv1.Value) *quorum.Value {
	if m == nil {
		return nil
	}
	return &quorum.Value{Sequence: m.GetSequence(), State: m.GetState(), Next: convertAll(m.GetNext(), voterFromProto)}
}

func acceptedToProto(a quorum.Accepted) *fleetv1.Accepted {
	return &fleetv1.Accepted{Ballot: ballotToProto(a.Ballot), Value: valueToProto(a.Value)}
}

func acceptedFromProto(m *fleetv1.Accepted) quorum.Accepted {
	return quorum.Accepted{Ballot: ballotFromProto(m.GetBallot()), Value: valueFromProto(m.GetValue())}
}

func refusalToProto(r *quorum.Refusal) *fleetv1.Refusal {
	if r == nil {
		return nil
	}
	return &fleetv1.Refusal{Promised: ballotToProto(r.Promised), Newer: epochToProto(r.Newer), Stranger: r.CannotVote}
}

func refusalFromProto(m *fleetv1.Refusal) *quorum.Refusal {
	if m == nil {
		return nil
	}
	return &quorum.Refusal{
		Promised: ballotFromProto(m.GetPromised()), Newer: epochFromProto(m.GetNewer()), CannotVote: m.GetStranger(),
	}
}

func (c codec) controllerToProto(p port.Controller) *fleetv1.Controller {
	return &fleetv1.Controller{
		Address: p.Address, Disk: p.Disk, Zone: p.Zone, Region: p.Region,
		Incarnation: p.Incarnation, AgeMs: c.age(p.LastSeen), Stopping: p.Stopping,
	}
}

func (c codec) controllerFromProto(m *fleetv1.Controller) port.Controller {
	return port.Controller{
		Address: m.GetAddress(), Disk: m.GetDisk(), Zone: m.GetZone(), Region: m.GetRegion(),
		Incarnation: m.GetIncarnation(), LastSeen: c.timeAt(m.GetAgeMs()), Stopping: m.GetStopping(),
	}
}

func (c codec) gatewayToProto(g port.Gateway) *fleetv1.Gateway {
	return &fleetv1.Gateway{
		Address: g.Address, Zone: g.Zone, Region: g.Region, Incarnation: g.Incarnation,
		Ready: g.Ready, AgeMs: c.age(g.LastSeen), LinkPercent: int32(g.LinkPercent),
	}
}

func (c codec) gatewayFromProto(m *fleetv1.Gateway) port.Gateway {
	return port.Gateway{
		Address: m.GetAddress(), Zone: m.GetZone(), Region: m.GetRegion(), Incarnation: m.GetIncarnation(),
		Ready: m.GetReady(), LastSeen: c.timeAt(m.GetAgeMs()), LinkPercent: int(m.GetLinkPercent()),
	}
}

func (c codec) endpointToProto(e registry.Endpoint) *fleetv1.Endpoint {
	return &fleetv1.Endpoint{
		Id: e.ID, BornMs: e.StartedMillis, Sequence: e.Sequence, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: int32(e.Slots), Leaving: e.Leaving, Gone: e.Gone,
		AgeMs: c.age(e.LastSeen), ColdLeftMs: max(0, -c.age(e.ColdUntil)),
	}
}

func (c codec) endpointFromProto(m *fleetv1.Endpoint) registry.Endpoint {
	e := registry.Endpoint{
		ID: m.GetId(), StartedMillis: m.GetBornMs(), Sequence: m.GetSequence(), Address: m.GetAddress(),
		Service: m.GetService(), Zone: m.GetZone(), Slots: int(m.GetSlots()),
		Leaving: m.GetLeaving(), Gone: m.GetGone(), LastSeen: c.timeAt(m.GetAgeMs()),
	}
	if m.GetColdLeftMs() > 0 {
		e.ColdUntil = c.timeAt(-m.GetColdLeftMs())
	}
	return e
}

func leaseToProto(l port.Lease) *fleetv1.Lease {
	return &fleetv1.Lease{Region: l.Region, Holder: l.Holder, LeftMs: l.Remaining.Milliseconds(), Firm: l.HasMajority}
}

func leaseFromProto(m *fleetv1.Lease) port.Lease {
	return port.Lease{Region: m.GetRegion(), Holder: m.GetHolder(), Remaining: millis(m.GetLeftMs()), HasMajority: m.GetFirm()}
}

// hundredthsPerSlot converts a load's need, in slots, to the unit in which it is
// sent.
const hundredthsPerSlot = 100

func loadToProto(l dispatch.Load) *fleetv1.Load {
	return &fleetv1.Load{
		Region: l.Region, Service: l.Service, NeedHundredths: int64(l.Need * hundredthsPerSlot), Slots: int32(l.Slots),
		Gateways: int32(l.Gateways),
	}
}

func loadFromProto(m *fleetv1.Load) dispatch.Load {
	return dispatch.Load{
		Region: m.GetRegion(), Service: m.GetService(), Need: float64(m.GetNeedHundredths()) / hundredthsPerSlot,
		Slots: int(m.GetSlots()), Gateways: int(m.GetGateways()),
	}
}

func loanToProto(l dispatch.Loan) *fleetv1.Loan {
	return &fleetv1.Loan{Lender: l.Lender, Borrower: l.Borrower, Endpoints: l.Endpoints, Recalled: l.Recalled, Scarce: l.Scarce}
}

func loanFromProto(m *fleetv1.Loan) dispatch.Loan {
	return dispatch.Loan{Lender: m.GetLender(), Borrower: m.GetBorrower(), Endpoints: m.GetEndpoints(), Recalled: m.GetRecalled(), Scarce: m.GetScarce()}
}

func returnToProto(r dispatch.Return) *fleetv1.Return {
	return &fleetv1.Return{Lender: r.Lender, Borrower: r.Borrower, Endpoints: r.Endpoints}
}

func returnFromProto(m *fleetv1.Return) dispatch.Return {
	return dispatch.Return{Lender: m.GetLender(), Borrower: m.GetBorrower(), Endpoints: m.GetEndpoints()}
}

func fingerprintToProto(f fingerprint.Fingerprint) []byte {
	if f.IsZero() {
		return nil
	}
	return f[:]
}

// fingerprintFromProto returns the zero fingerprint if the length isn't that of a
// fingerprint: the request's content is then unknown.
func fingerprintFromProto(b []byte) fingerprint.Fingerprint {
	var f fingerprint.Fingerprint
	if len(b) == len(f) {
		copy(f[:], b)
	}
	return f
}

func suspicionToProto(s port.Suspicion) *fleetv1.Suspicion {
	return &fleetv1.Suspicion{
		Fingerprint: fingerprintToProto(s.Fingerprint), Endpoint: s.Endpoint, BornMs: s.StartedMillis,
		Cleared: s.Cleared, QuarantineMs: s.Quarantined.Milliseconds(), Version: s.Version,
	}
}

func suspicionFromProto(m *fleetv1.Suspicion) port.Suspicion {
	return port.Suspicion{
		Fingerprint: fingerprintFromProto(m.GetFingerprint()), Endpoint: m.GetEndpoint(), StartedMillis: m.GetBornMs(),
		Cleared: m.GetCleared(), Quarantined: millis(m.GetQuarantineMs()), Version: m.GetVersion(),
	}
}

func (c codec) exchangeToProto(m port.ExchangeRequest) *fleetv1.ExchangeRequest {
	return &fleetv1.ExchangeRequest{
		From: c.controllerToProto(m.From), Controllers: convertAll(m.Controllers, c.controllerToProto),
		Gateways: convertAll(m.Gateways, c.gatewayToProto), Endpoints: convertAll(m.Endpoints, c.endpointToProto),
		Asks: m.VoteRequests, Drops: m.VoteReleases, Whole: m.FullSync, Ended: m.EndedSync, Durable: m.Durable,
		EpochNumber: m.EpochNumber, Report: m.Report, ReportUnchanged: m.ReportUnchanged,
		Loads: convertAll(m.Loads, loadToProto), Loans: convertAll(m.Loans, loanToProto),
		Suspicions: convertAll(m.Suspicions, suspicionToProto), Returns: convertAll(m.Returns, returnToProto),
		Limits: convertAll(m.Limits, limitToProto), QuotaRequests: quotaToProto(m.Quota), QuotaReturns: quotaReturnsToProto(m.QuotaReturns),
	}
}

func (c codec) exchangeFromProto(m *fleetv1.ExchangeRequest) port.ExchangeRequest {
	return port.ExchangeRequest{
		From: c.controllerFromProto(m.GetFrom()), Controllers: convertAll(m.GetControllers(), c.controllerFromProto),
		Gateways: convertAll(m.GetGateways(), c.gatewayFromProto), Endpoints: convertAll(m.GetEndpoints(), c.endpointFromProto),
		VoteRequests: m.GetAsks(), VoteReleases: m.GetDrops(), FullSync: m.GetWhole(), EndedSync: m.GetEnded(), Durable: m.GetDurable(),
		EpochNumber: m.GetEpochNumber(), Report: m.GetReport(), ReportUnchanged: m.GetReportUnchanged(),
		Loads: convertAll(m.GetLoads(), loadFromProto), Loans: convertAll(m.GetLoans(), loanFromProto),
		Suspicions: convertAll(m.GetSuspicions(), suspicionFromProto), Returns: convertAll(m.GetReturns(), returnFromProto),
		Limits: convertAll(m.GetLimits(), limitFromProto), Quota: quotaFromProto(m.GetQuotaRequests()), QuotaReturns: quotaReturnsFromProto(m.GetQuotaReturns()),
	}
}

func (c codec) exchangeReplyToProto(r port.ExchangeReply) *fleetv1.ExchangeResponse {
	return &fleetv1.ExchangeResponse{
		From: c.controllerToProto(r.From), Epoch: epochToProto(r.Epoch), Accepted: ballotToProto(r.Accepted),
		Grants: r.Grants, Known: convertAll(r.HeldLeases, leaseToProto),
		Controllers: convertAll(r.Controllers, c.controllerToProto), Endpoints: convertAll(r.Endpoints, c.endpointToProto),
		Loads: convertAll(r.Loads, loadToProto), Loans: convertAll(r.Loans, loanToProto), Report: r.Report,
		QuotaGrants: quotaGrantsToProto(r.QuotaGrants), Suspicions: convertAll(r.Suspicions, suspicionToProto),
	}
}

func (c codec) exchangeReplyFromProto(m *fleetv1.ExchangeResponse) port.ExchangeReply {
	return port.ExchangeReply{
		From: c.controllerFromProto(m.GetFrom()), Epoch: epochFromProto(m.GetEpoch()),
		Accepted: ballotFromProto(m.GetAccepted()), Grants: m.GetGrants(), HeldLeases: convertAll(m.GetKnown(), leaseFromProto),
		Controllers: convertAll(m.GetControllers(), c.controllerFromProto),
		Endpoints:   convertAll(m.GetEndpoints(), c.endpointFromProto),
		Loads:       convertAll(m.GetLoads(), loadFromProto), Loans: convertAll(m.GetLoans(), loanFromProto),
		Report: m.GetReport(), QuotaGrants: quotaGrantsFromProto(m.GetQuotaGrants()),
		Suspicions: convertAll(m.GetSuspicions(), suspicionFromProto),
	}
}

func cursorToProto(c port.WatchCursor) *fleetv1.Cursor {
	return &fleetv1.Cursor{
		Incarnation: c.Incarnation, Sequence: c.Sequence, Controllers: c.Controllers, HoldMs: c.Hold.Milliseconds(),
	}
}

func cursorFromProto(m *fleetv1.Cursor) port.WatchCursor {
	return port.WatchCursor{
		Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Controllers: m.GetControllers(), Hold: millis(m.GetHoldMs()),
	}
}

func (c codec) slotRequestToProto(req port.SlotRequest) *fleetv1.AcquireRequest {
	return &fleetv1.AcquireRequest{
		Id: req.ID, Gateway: req.Gateway, Region: req.Region, Service: req.Service, Priority: int32(req.Priority),
		Affinity: req.Affinity, Zone: req.Zone, TargetMs: req.Target.Milliseconds(), DeadlineMs: -c.age(req.Deadline),
		Homes: req.Regions, Exclude: req.Exclude, Kind: req.Kind, Hint: req.Hint, Again: req.Retry,
		Fingerprint: fingerprintToProto(req.Fingerprint), Suspicions: convertAll(req.Suspicions, suspicionToProto),
		Account: req.Account, Weight: req.Weight, BodyBytes: req.BodyBytes,
	}
}

func (c codec) slotRequestFromProto(m *fleetv1.AcquireRequest) port.SlotRequest {
	return port.SlotRequest{
		Region: m.GetRegion(), Suspicions: convertAll(m.GetSuspicions(), suspicionFromProto),
		SlotRequest: dispatch.SlotRequest{
			ID: m.GetId(), Gateway: m.GetGateway(), Service: m.GetService(), Priority: int(m.GetPriority()),
			Affinity: m.GetAffinity(), Zone: m.GetZone(), Target: millis(m.GetTargetMs()),
			Deadline: c.timeAt(-m.GetDeadlineMs()), Exclude: m.GetExclude(), Regions: m.GetHomes(),
			Kind: m.GetKind(), Hint: m.GetHint(), Retry: m.GetAgain(),
			Fingerprint: fingerprintFromProto(m.GetFingerprint()),
			Account:     m.GetAccount(), Weight: m.GetWeight(), BodyBytes: m.GetBodyBytes(),
		},
	}
}

func (c codec) decisionToProto(a dispatch.Decision) *fleetv1.AcquireResponse {
	out := &fleetv1.AcquireResponse{
		Grant: a.Grant, Region: a.Region, RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: string(a.Reason),
	}
	if a.Grant != "" {
		out.Endpoint = c.endpointToProto(a.Endpoint)
	}
	return out
}

func (c codec) decisionFromProto(m *fleetv1.AcquireResponse) dispatch.Decision {
	return dispatch.Decision{
		Grant: m.GetGrant(), Endpoint: c.endpointFromProto(m.GetEndpoint()), Region: m.GetRegion(),
		RetryAfter: millis(m.GetRetryAfterMs()), Reason: dispatch.Reason(m.GetReason()),
	}
}

func (c codec) releaseToProto(r port.SlotRelease) *fleetv1.Released {
	m := &fleetv1.Released{
		Region: r.Region, Grant: r.Grant, Outcome: string(r.Outcome), TookMs: r.Took.Milliseconds(),
		Answered: r.Answered, Signals: signalsToProto(r.Signals), ResponseBytes: r.ResponseBytes,
	}
	if r.RunEnd != nil {
		m.Run = r.RunEnd.String()
	}
	if r.Suspicion != nil {
		m.Suspicion = suspicionToProto(*r.Suspicion)
	}
	if !r.AnsweredAt.IsZero() {
		m.AnswerAgeMs = proto.Int64(c.age(r.AnsweredAt))
	}
	return m
}

func (c codec) releaseFromProto(m *fleetv1.Released) port.SlotRelease {
	r := port.SlotRelease{
		Region: m.GetRegion(), Grant: m.GetGrant(), Outcome: dispatch.Outcome(m.GetOutcome()), Took: millis(m.GetTookMs()),
		Answered: m.GetAnswered(), Signals: signalsFromProto(m.GetSignals()), ResponseBytes: m.GetResponseBytes(),
	}
	if end, known := quarantine.ParseEnd(m.GetRun()); known {
		r.RunEnd = &end
	}
	if m.GetSuspicion() != nil {
		suspicion := suspicionFromProto(m.GetSuspicion())
		r.Suspicion = &suspicion
	}
	if m.AnswerAgeMs != nil {
		r.AnsweredAt = c.timeAt(m.GetAnswerAgeMs())
	}
	return r
}

func signalsToProto(s registry.Signals) *fleetv1.Signals {
	if s == (registry.Signals{}) {
		return nil
	}
	return &fleetv1.Signals{
		Limited: s.Limited, Limit: s.Limit, Leaving: s.Leaving,
		LoadKnown: s.Load.Known, Running: int32(s.Load.Running), Waiting: int32(s.Load.Waiting), Slots: int32(s.Load.Slots),
		PacePercent: int32(math.Round(s.Load.Pace * percent)),
	}
}

// percent converts a ratio to the unit in which it is sent.
const percent = 100

func signalsFromProto(m *fleetv1.Signals) registry.Signals {
	s := registry.Signals{Limited: m.GetLimited(), Limit: m.GetLimit(), Leaving: m.GetLeaving()}
	if m.GetLoadKnown() {
		s.Load = registry.Load{
			Known: true, Running: int(m.GetRunning()), Waiting: int(m.GetWaiting()), Slots: int(m.GetSlots()),
			Pace: float64(m.GetPacePercent()) / percent,
		}
	}
	return s
}

func limitToProto(l dispatch.Limit) *fleetv1.Limit {
	return &fleetv1.Limit{Endpoint: l.Endpoint, BornMs: l.StartedMillis, PerSecond: l.PerSecond}
}

func limitFromProto(m *fleetv1.Limit) dispatch.Limit {
	return dispatch.Limit{Endpoint: m.GetEndpoint(), StartedMillis: m.GetBornMs(), PerSecond: m.GetPerSecond()}
}
