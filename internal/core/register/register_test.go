package register_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

func proposal(id, operator string, base uint64) register.Proposal {
	document := []byte("document of " + id)
	return register.Proposal{
		Change: port.Change{ID: id, Operator: operator, BaseVersion: base, Document: document},
		Digest: audit.Digest(document),
	}
}

func apply(t *testing.T, v *register.Value, p register.Proposal) (*register.Value, port.Outcome) {
	next, out, err := register.Apply(v, p)
	is.New(t).NoErr(err)
	return next, out
}

func TestApply(t *testing.T) {
	is := is.New(t)
	v1, first := apply(t, nil, proposal("a", "ana", 0))
	is.Equal(first, port.Outcome{
		ChangeID: "a", State: port.ChangeAccepted, Version: 1, Digest: v1.Digest, Operator: "ana",
	})
	v2, conflict := apply(t, v1, proposal("b", "rui", 0))
	is.Equal(conflict, port.Outcome{
		ChangeID: "b", State: port.ChangeConflict, Version: 1, Digest: v1.Digest, Operator: "ana",
	}) // the outcome names the current version and its operator
	faulty := proposal("c", "rui", 1)
	faulty.Invalid = true
	v3, invalid := apply(t, v2, faulty)
	is.Equal(invalid.State, port.ChangeInvalid)
	is.Equal(v3.Config, v1.Config)
	_, ahead := apply(t, v3, proposal("d", "rui", 7))
	is.Equal(ahead.State, port.ChangeConflict)

	is.Equal(len(v3.Audit), 3) // refused changes have audit records too
	is.Equal(v3.Audit[1].State, port.ChangeConflict)
	is.Equal(v3.Audit[2].State, port.ChangeInvalid)
	is.NoErr(audit.Verify(v3.Audit))

	for _, c := range []struct {
		resend register.Proposal
		want   port.Outcome
	}{{proposal("a", "ana", 0), first}, {proposal("b", "rui", 0), conflict}, {faulty, invalid}} {
		same, out := apply(t, v3, c.resend)
		is.Equal(out, c.want)
		is.True(same == v3) // a resend returns the value itself
	}
	for _, other := range []register.Proposal{
		proposal("a", "eva", 0), proposal("a", "ana", 1),
		{Change: port.Change{ID: "a", Operator: "ana"}, Digest: "other"},
	} {
		_, _, err := register.Apply(v3, other)
		is.True(errors.Is(err, register.ErrChangeIDReused))
	}
	lift := register.LiftProposal{Lift: port.Lift{ID: "l", Operator: "rui", Fingerprint: "f"}}
	v4, lifted, err := register.ApplyLift(v3, lift)
	is.NoErr(err)
	is.Equal(lifted.State, port.ChangeLifted)
	is.Equal(v4.Config, v3.Config)
	is.NoErr(audit.Verify(v4.Audit))
	_, _, err = register.Apply(v4, proposal("l", "rui", 1)) // the ID belongs to a lift
	is.True(errors.Is(err, register.ErrChangeIDReused))
	lift.ID = "a"
	_, _, err = register.ApplyLift(v4, lift)
	is.True(errors.Is(err, register.ErrChangeIDReused))
	_, _, err = register.Apply(v3, proposal("", "ana", 1))
	is.True(errors.Is(err, register.ErrNoChangeID))
}

// TestResendAfterDroppedDecisionIsUnknown resends a change whose decision no longer
// fits into the value: it must be neither refused nor applied twice.
func TestResendAfterDroppedDecisionIsUnknown(t *testing.T) {
	is := is.New(t)
	v, _ := apply(t, nil, proposal("first", "ana", 0))
	for i := range uint64(register.MaxAudit + 50) {
		v, _ = apply(t, v, proposal(fmt.Sprint("c", i), "ana", i+1))
	}
	is.Equal(len(v.Decisions), register.MaxDecisions)
	is.Equal(len(v.Audit), register.MaxAudit)
	is.NoErr(audit.Verify(v.Audit))
	same, out := apply(t, v, proposal("first", "ana", 0))
	is.Equal(out.State, port.ChangeUnknown)
	is.True(same == v)
	_, out = apply(t, v, proposal("late", "ana", v.Decisions[0].Version))
	is.Equal(out.State, port.ChangeConflict) // no accepted change with this base was dropped
}

func TestBallotsAreNeverReused(t *testing.T) {
	is := is.New(t)
	first := register.NewBallotSource(1, 7)
	a, b := first.Next(), first.Next()
	restarted := register.NewBallotSource(1, 8).Next()
	other := register.NewBallotSource(2, 7).Next()
	is.True(a.Less(b))
	is.True(a != restarted && a != other && restarted != other)
	first.Observe(register.Ballot{Round: 9, Member: 2, Incarnation: 3})
	is.True(register.Ballot{Round: 9, Member: 2, Incarnation: 3}.Less(first.Next()))
}

// TestStartNeedsAllEmptyAtOneInstant guards against founding a group twice: if the
// members report empty folders at different times, one of them may have voted and
// lost its disk in between.
func TestStartNeedsAllEmptyAtOneInstant(t *testing.T) {
	reply := func(from register.MemberID, nonce uint64, p register.Probe) register.ProbeReply {
		return register.ProbeReply{
			MemberState: register.MemberState{Member: from}, Echo: p.Nonce, Round: p.Round, Nonce: nonce, Empty: true,
		}
	}
	voting := func(m register.ProbeReply) register.ProbeReply { m.Voting, m.Empty = true, false; return m }
	cases := []struct {
		name    string
		damaged bool
		round   func(start *register.Start, n int)
		want    bool
	}{
		{"all empty twice", false, func(s *register.Start, _ int) {
			p := s.Probe()
			s.Reply(reply(1, 11, p))
			s.Reply(reply(2, 12, p))
		}, true},
		{"own folder damaged", true, func(s *register.Start, _ int) {
			p := s.Probe()
			s.Reply(reply(1, 11, p))
			s.Reply(reply(2, 12, p))
		}, false},
		{"another nonce in each round", false, func(s *register.Start, n int) {
			p := s.Probe()
			s.Reply(reply(1, 11, p))
			s.Reply(reply(2, 12+uint64(n), p))
		}, false},
		{"one member missing in each round", false, func(s *register.Start, n int) {
			p := s.Probe()
			s.Reply(reply(register.MemberID(1+n%2), 11, p))
		}, false},
		{"answers with another nonce", false, func(s *register.Start, _ int) {
			p := s.Probe()
			p.Nonce++
			s.Reply(reply(1, 11, p))
			s.Reply(reply(2, 12, p))
		}, false},
		{"answers to an earlier round", false, func(s *register.Start, _ int) {
			p := s.Probe()
			p.Round--
			s.Reply(reply(1, 11, p))
			s.Reply(reply(2, 12, p))
		}, false},
		{"one member votes", false, func(s *register.Start, _ int) {
			p := s.Probe()
			s.Reply(voting(reply(1, 11, p)))
			s.Reply(reply(2, 12, p))
		}, false},
		{"a voting member lists this folder as a founder", false, func(s *register.Start, _ int) {
			m := voting(reply(1, 11, s.Probe()))
			m.Founders[0] = 10
			s.Reply(m)
		}, true},
		{"a voting member lists an earlier folder as a founder", false, func(s *register.Start, _ int) {
			m := voting(reply(1, 11, s.Probe()))
			m.Founders[0] = 9
			s.Reply(m)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start := register.NewStart(register.Group{Members: 3}, 0, register.State{Nonce: 10, Damaged: c.damaged})
			for n := range 4 {
				c.round(start, n)
			}
			_, got := start.Founders()
			is.New(t).Equal(got, c.want)
		})
	}
}
