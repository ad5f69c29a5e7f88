package fleetgrpc

import (
	"time"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/port"
)

func prepareToProto(m quorum.Prepare) *fleetv1.PrepareRequest {
	return &fleetv1.PrepareRequest{
		To: m.To, Epoch: epochToProto(m.Epoch), Ballot: ballotToProto(m.Ballot), Seed: valueToProto(m.Seed),
	}
}

func prepareFromProto(m *fleetv1.PrepareRequest) quorum.Prepare {
	return quorum.Prepare{
		To: m.GetTo(), Epoch: epochFromProto(m.GetEpoch()), Ballot: ballotFromProto(m.GetBallot()),
		Seed: valueFromProto(m.GetSeed()),
	}
}

func acceptToProto(m quorum.Accept) *fleetv1.AcceptRequest {
	return &fleetv1.AcceptRequest{
		To: m.To, Epoch: epochToProto(m.Epoch), Ballot: ballotToProto(m.Ballot), Value: valueToProto(m.Value),
	}
}

func acceptFromProto(m *fleetv1.AcceptRequest) quorum.Accept {
	return quorum.Accept{
		To: m.GetTo(), Epoch: epochFromProto(m.GetEpoch()), Ballot: ballotFromProto(m.GetBallot()),
		Value: valueFromProto(m.GetValue()),
	}
}

// neverConfirmed stands for a state that no quorum has confirmed.
const neverConfirmed = -1

func (c codec) updateToProto(u port.Update) (*fleetv1.WatchResponse, error) {
	out := &fleetv1.WatchResponse{
		ConfirmedAgeMs: neverConfirmed, Sequence: u.Sequence, Dispatchers: each(u.Dispatchers, leaseToProto),
		Endpoints: each(u.Endpoints, c.endpointToProto), Controllers: each(u.Controllers, c.controllerToProto),
		Cursor: cursorToProto(u.Cursor),
	}
	if !u.Confirmed.IsZero() {
		out.ConfirmedAgeMs = max(0, c.age(u.Confirmed))
	}
	if u.State == nil {
		return out, nil
	}
	var err error
	out.State, err = u.State.Encode()
	return out, err
}

func (c codec) updateFromProto(m *fleetv1.WatchResponse) (port.Update, error) {
	u := port.Update{
		Sequence: m.GetSequence(), Dispatchers: each(m.GetDispatchers(), leaseFromProto),
		Endpoints: each(m.GetEndpoints(), c.endpointFromProto), Controllers: each(m.GetControllers(), c.controllerFromProto),
		Cursor: cursorFromProto(m.GetCursor()),
	}
	if m.GetConfirmedAgeMs() != neverConfirmed {
		u.Confirmed = c.now.Add(-time.Duration(m.GetConfirmedAgeMs()) * time.Millisecond)
	}
	if len(m.GetState()) == 0 {
		return u, nil
	}
	var err error
	u.State, err = fleet.Decode(m.GetState())
	return u, err
}
