package registergrpc_test

import (
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

const storedGroup = 0x1122334455667788

// storedRegister returns the state in testdata/state and testdata/value. Every
// field is set. The accepted value isn't committed yet, so that both values are
// stored.
func storedRegister() register.State {
	ballot := func(n uint64) register.Ballot {
		return register.Ballot{Round: 100 + n, Member: register.MemberID(n), Incarnation: 200 + n}
	}
	var fences register.Ballots
	for i := range fences {
		fences[i] = ballot(uint64(i) + 1)
	}
	return register.State{
		Voting: true, Nonce: 77, Damaged: true, Founders: [register.MaxMembers]uint64{77, 78, 79, 80, 81},
		Generation: ballot(1), Fences: fences, Promised: ballot(4),
		Accepted: ballot(3), Value: storedValue(9),
		Committed: ballot(2), CommittedValue: storedValue(8),
	}
}

func storedValue(version uint64) *register.Value {
	digest := audit.Digest([]byte("regions: []\n"))
	outcome := port.Outcome{ChangeID: "c1", State: port.ChangeAccepted, Version: version, Digest: digest, Operator: "ana"}
	refused := port.Outcome{ChangeID: "c2", State: port.ChangeConflict, Version: version, Digest: digest, Operator: "ana"}
	trail := audit.Append(nil, port.AuditRecord{
		Time: time.Unix(1700000000, 5), Operator: "ana", ChangeID: "c1", From: version - 1, To: version,
		Digest: digest, State: port.ChangeAccepted,
	}, register.MaxAudit)
	trail = audit.Append(trail, port.AuditRecord{
		Time: time.Unix(1700000060, 7), Operator: "ben", ChangeID: "c2", From: version - 1, To: version,
		Digest: digest, State: port.ChangeConflict,
	}, register.MaxAudit)
	return &register.Value{
		Config:   port.Config{Version: version, Digest: digest, Document: []byte("regions: []\n")},
		Operator: "ana",
		Decisions: []register.Decision{
			{Outcome: outcome, Request: register.Request{Digest: digest, BaseVersion: version - 1, Operator: "ana"}},
			{Outcome: refused, Request: register.Request{Digest: digest, BaseVersion: version - 1, Operator: "ben"}},
		},
		Audit: trail,
	}
}

// TestStoredRegisterKeepsItsFormat guards against a change of the stored format:
// a state that an earlier release stored must decode to the same fields, and
// encode to the same bytes again.
func TestStoredRegisterKeepsItsFormat(t *testing.T) {
	is := is.New(t)
	stored, err := os.ReadFile("testdata/state")
	is.NoErr(err)
	value, err := os.ReadFile("testdata/value")
	is.NoErr(err)
	state, err := registergrpc.UnmarshalState(stored, value, storedGroup)
	is.NoErr(err)
	is.Equal(state, storedRegister())
	is.NoErr(audit.Verify(state.CommittedValue.Audit))
	stateAgain, err := registergrpc.MarshalState(state, storedGroup)
	is.NoErr(err)
	is.Equal(string(stateAgain), string(stored))
	valueAgain, err := registergrpc.MarshalValue(state)
	is.NoErr(err)
	is.Equal(string(valueAgain), string(value))
}
