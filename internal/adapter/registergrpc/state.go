package registergrpc

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/core/register"
)

// ErrOtherGroup means that a stored state or a message belongs to another group
// of members.
var ErrOtherGroup = errors.New("state or message belongs to another group of members")

// MarshalState encodes the part of a state that is saved with each promise.
func MarshalState(s register.State, group uint64) ([]byte, error) {
	return proto.Marshal(&registerv1.DiskState{
		Group: group, Voting: s.Voting, Nonce: s.Nonce, Founders: s.Founders[:],
		Generation: ballotToProto(s.Generation), Fences: ballotsToProto(s.Fences),
		Promised: ballotToProto(s.Promised), Committed: ballotToProto(s.Committed), Damaged: s.Damaged,
	})
}

// MarshalValue encodes the part of a state that is saved with each accept. The
// committed value is left out when it is the accepted one.
func MarshalValue(s register.State) ([]byte, error) {
	m := &registerv1.DiskValue{
		Accepted: ballotToProto(s.Accepted), Value: valueToProto(s.Value),
		Committed: ballotToProto(s.Committed),
	}
	if s.Committed != s.Accepted {
		m.CommittedValue = valueToProto(s.CommittedValue)
	}
	return proto.Marshal(m)
}

// UnmarshalState restores a state from the encodings of MarshalState and
// MarshalValue. The error wraps ErrOtherGroup when the state belongs to another
// group.
func UnmarshalState(state, value []byte, group uint64) (register.State, error) {
	var s registerv1.DiskState
	if err := proto.Unmarshal(state, &s); err != nil {
		return register.State{}, fmt.Errorf("decode state: %w", err)
	}
	var v registerv1.DiskValue
	if err := proto.Unmarshal(value, &v); err != nil {
		return register.State{}, fmt.Errorf("decode value: %w", err)
	}
	if s.GetGroup() != group {
		return register.State{}, ErrOtherGroup
	}
	return assemble(&s, &v), nil
}

// assemble joins the two parts, either of which may be newer than the other: an
// accept saves only the value part, and a commit of the accepted value saves only
// the state part.
func assemble(s *registerv1.DiskState, v *registerv1.DiskValue) register.State {
	out := register.State{
		Voting: s.GetVoting(), Nonce: s.GetNonce(), Damaged: s.GetDamaged(),
		Founders:   noncesFromProto(s.GetFounders()),
		Generation: ballotFromProto(s.GetGeneration()), Fences: ballotsFromProto(s.GetFences()),
		Promised: ballotFromProto(s.GetPromised()), Accepted: ballotFromProto(v.GetAccepted()),
		Value: valueFromProto(v.GetValue()), Committed: ballotFromProto(v.GetCommitted()),
		CommittedValue: valueFromProto(v.GetCommittedValue()),
	}
	if out.Promised.Less(out.Accepted) {
		out.Promised = out.Accepted
	}
	if ballotFromProto(s.GetCommitted()) == out.Accepted {
		out.Committed = out.Accepted
	}
	if out.Committed == out.Accepted {
		out.CommittedValue = out.Value
	}
	return out
}
