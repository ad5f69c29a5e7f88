package registergrpc

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

const testGroup = 77

// newValue returns the value that results from a number of changes, each with a
// document of the given size.
func newValue(t *testing.T, changes, documentBytes int) *register.Value {
	var v *register.Value
	for i := range changes {
		document := []byte(strings.Repeat("x", documentBytes))
		p := register.Proposal{
			Change: port.Change{
				ID: fmt.Sprintf("%036d", i), Operator: "operator-name", BaseVersion: uint64(i), Document: document,
			},
			Digest: audit.Digest(document), Time: time.Unix(1_800_000_000, 5),
		}
		var err error
		v, _, err = register.Apply(v, p)
		is.New(t).NoErr(err)
	}
	return v
}

func ballot(n uint64) register.Ballot {
	return register.Ballot{Round: n, Member: register.MemberID(n % 5), Incarnation: n * 3}
}

func memberState() register.MemberState {
	return register.MemberState{
		Member: 2, Voting: true, Generation: ballot(4), Promised: ballot(9),
		Fences: register.Ballots{1: ballot(3), 4: ballot(8)},
	}
}

// TestMessagesRoundTrip guards against fields that the conversion to protobuf
// drops. The messages have their fields set, so that a lost one shows.
func TestMessagesRoundTrip(t *testing.T) {
	acceptedValue := register.AcceptedValue{Accepted: ballot(5), Value: newValue(t, 3, 10), Committed: true}
	founders := [register.MaxMembers]uint64{1, 2, 3, 4, 5}
	promise := register.Promise{MemberState: memberState(), AcceptedValue: acceptedValue, Ballot: ballot(6), OK: true}
	accepted := register.Accepted{MemberState: memberState(), Ballot: ballot(6), OK: true}
	report := register.Report{MemberState: memberState(), AcceptedValue: acceptedValue}
	probeReply := register.ProbeReply{
		MemberState: memberState(), Echo: 1, Round: 2, Nonce: 3, Empty: true, Founders: founders,
	}
	fenced := register.Fenced{
		MemberState: memberState(), AcceptedValue: acceptedValue, Ballot: ballot(6), OK: true, Founders: founders,
	}
	is := is.New(t)
	is.Equal(promiseFromProto(encodeAndDecode(t, promiseToProto(promise))), promise)
	is.Equal(acceptedFromProto(encodeAndDecode(t, acceptedToProto(accepted))), accepted)
	is.Equal(reportFromProto(encodeAndDecode(t, reportToProto(report))), report)
	is.Equal(probeReplyFromProto(encodeAndDecode(t, probeReplyToProto(probeReply))), probeReply)
	is.Equal(fencedFromProto(encodeAndDecode(t, fencedToProto(fenced))), fenced)
	is.NoErr(audit.Verify(reportFromProto(encodeAndDecode(t, reportToProto(report))).Value.Audit))
}

func encodeAndDecode[M proto.Message](t *testing.T, m M) M {
	encoded, err := proto.Marshal(m)
	is.New(t).NoErr(err)
	out := m.ProtoReflect().New().Interface().(M)
	is.New(t).NoErr(proto.Unmarshal(encoded, out))
	return out
}

// TestStateRoundTrip guards against a stored state that is restored differently,
// or that a member of another group accepts.
func TestStateRoundTrip(t *testing.T) {
	older, newer := newValue(t, 2, 10), newValue(t, 3, 10)
	base := register.State{
		Voting: true, Nonce: 7, Founders: [register.MaxMembers]uint64{1, 2, 3}, Generation: ballot(2),
		Fences: register.Ballots{2: ballot(2)}, Promised: ballot(9), Accepted: ballot(8), Value: newer,
	}
	committed, inFlight, damaged := base, base, register.State{Nonce: 7, Damaged: true}
	committed.Committed, committed.CommittedValue = ballot(8), newer
	inFlight.Committed, inFlight.CommittedValue = ballot(6), older
	for name, s := range map[string]register.State{
		"committed": committed, "in flight": inFlight, "damaged": damaged, "nothing committed": base,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := roundTrip(t, s, s, testGroup)
			is.NoErr(err)
			is.True(reflect.DeepEqual(got, s))
			_, err = roundTrip(t, s, s, testGroup+1)
			is.True(errors.Is(err, ErrOtherGroup))
		})
	}
	t.Run("accepted after the last promise was saved", func(t *testing.T) {
		before := inFlight
		before.Promised, before.Committed = ballot(7), ballot(6)
		got, err := roundTrip(t, before, inFlight, testGroup)
		is.New(t).NoErr(err)
		is.New(t).Equal(got.Promised, ballot(8)) // an accept implies a promise of its ballot
		is.New(t).Equal(got.Committed, ballot(6))
	})
}

func roundTrip(t *testing.T, state, value register.State, group uint64) (register.State, error) {
	s, err := MarshalState(state, testGroup)
	is.New(t).NoErr(err)
	v, err := MarshalValue(value)
	is.New(t).NoErr(err)
	return UnmarshalState(s, v, group)
}

// TestValueSize guards against a value that outgrows a message, and logs the
// sizes of values with up to 1100 changes.
func TestValueSize(t *testing.T) {
	for _, c := range []struct{ changes, documentBytes int }{{1, 0}, {100, 0}, {256, 0}, {1000, 0}, {1100, 0}, {1100, 100_000}} {
		v := newValue(t, c.changes, c.documentBytes)
		size := proto.Size(valueToProto(v))
		t.Logf("%d changes, document of %d bytes: value of %d bytes", c.changes, c.documentBytes, size)
		is.New(t).True(size < MaxMessageBytes)
	}
}
