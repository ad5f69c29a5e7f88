package fleetgrpc

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/port"
)

func prepareToProto(m quorum.Prepare) *fleetv1.PrepareRequest {
	return &fleetv1.PrepareRequest{
		To: m.To, Epoch: epochToProto(m.Epoch), Ballot: ballotToProto(m.Ballot), Seed: valueToProto(m.Seed),
		Have: ballotToProto(m.Have),
	}
}

func prepareFromProto(m *fleetv1.PrepareRequest) quorum.Prepare {
	return quorum.Prepare{
		To: m.GetTo(), Epoch: epochFromProto(m.GetEpoch()), Ballot: ballotFromProto(m.GetBallot()),
		Seed: valueFromProto(m.GetSeed()), Have: ballotFromProto(m.GetHave()),
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

// Values of OrderResponse.refusal.
const (
	refusedConflict = "conflict"
	refusedInForce  = "in-force"
	// refusedSuperseded answers only orders with a since, which former releases
	// don't send.
	refusedSuperseded = "superseded"
)

func orderToProto(o fleet.Order) (*fleetv1.OrderRequest, error) {
	m := &fleetv1.OrderRequest{Zone: o.Zone, Evacuated: o.Evacuated, Since: o.Since}
	if o.Change == nil {
		return m, nil
	}
	var err error
	if m.Change, err = json.Marshal(o.Change); err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return m, nil
}

func orderFromProto(m *fleetv1.OrderRequest) (fleet.Order, error) {
	o := fleet.Order{Zone: m.GetZone(), Evacuated: m.GetEvacuated(), Since: m.GetSince()}
	if len(m.GetChange()) == 0 {
		return o, nil
	}
	o.Change = &fleet.Change{}
	if err := json.Unmarshal(m.GetChange(), o.Change); err != nil {
		return o, fmt.Errorf("decode change: %w", err)
	}
	return o, nil
}

func orderReplyToProto(r port.OrderReply) *fleetv1.OrderResponse {
	out := &fleetv1.OrderResponse{Epoch: epochToProto(r.Epoch), Chosen: acceptedToProto(r.Chosen)}
	switch {
	case errors.Is(r.Refused, fleet.ErrNoChange):
		out.Refusal = refusedInForce
	case errors.Is(r.Refused, fleet.ErrSuperseded):
		out.Refusal = refusedSuperseded
	case r.Refused != nil:
		out.Refusal = refusedConflict
	}
	return out
}

func orderReplyFromProto(m *fleetv1.OrderResponse) port.OrderReply {
	r := port.OrderReply{Epoch: epochFromProto(m.GetEpoch()), Chosen: acceptedFromProto(m.GetChosen())}
	switch m.GetRefusal() {
	case refusedInForce:
		r.Refused = fleet.ErrNoChange
	case refusedSuperseded:
		r.Refused = fleet.ErrSuperseded
	case refusedConflict:
		r.Refused = fleet.ErrConflict
	}
	return r
}

// neverConfirmed is the age in milliseconds that is sent for a state that no
// quorum has confirmed.
const neverConfirmed = -1

func (c codec) updateToProto(u port.Update) (*fleetv1.WatchResponse, error) {
	out := &fleetv1.WatchResponse{
		ConfirmedAgeMs: neverConfirmed, Sequence: u.Sequence, Dispatchers: convertAll(u.Dispatchers, leaseToProto),
		Controllers: convertAll(u.Controllers, c.controllerToProto), Cursor: cursorToProto(u.Cursor),
	}
	if !u.Confirmed.IsZero() {
		// The state may be confirmed longer ago than is sent by nothing, and the call
		// held for no less: ages are rounded up, and times of waiting down.
		out.ConfirmedAgeMs = max(0, c.age(u.Confirmed), (u.Age + time.Millisecond - 1).Milliseconds())
		out.HeldMs = u.Held.Milliseconds()
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
		Sequence: m.GetSequence(), Dispatchers: convertAll(m.GetDispatchers(), leaseFromProto),
		Controllers: convertAll(m.GetControllers(), c.controllerFromProto), Cursor: cursorFromProto(m.GetCursor()),
	}
	if m.GetConfirmedAgeMs() != neverConfirmed {
		u.Age, u.Held = millis(m.GetConfirmedAgeMs()), millis(m.GetHeldMs())
		u.Confirmed = c.now.Add(-u.Age)
	}
	if len(m.GetState()) == 0 {
		return u, nil
	}
	var err error
	u.State, err = fleet.Decode(m.GetState())
	return u, err
}
