package explore

import (
	"fmt"
	"math/rand/v2"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

type packet struct {
	from, to register.MemberID
	body     any
}

// member is a simulated member. Of its state machines only the acceptor survives a
// restart.
type member struct {
	id            register.MemberID
	acceptor      *register.Acceptor
	incarnation   uint64
	ballots       *register.BallotSource
	attempt       *register.Attempt
	op            *register.Proposal
	start         *register.Start
	repair        *register.Repair
	copiedReports map[register.MemberID]register.Report
	read          *register.Read
	readFloor     *register.Value
	frozen        bool
	lost          bool
	// image is the state of the disk before its last loss; stale says that it was
	// restored.
	image register.State
	stale bool
}

// sim is the simulation of one schedule.
type sim struct {
	rng     *rand.Rand
	group   register.Group
	members []*member
	net     []packet
	fault   Fault
	weights weights
	oracle  oracle
	ops     []register.Proposal
	losses  int
	nonce   uint64
	// victim may lose its disk right after it answered a proposer; messages of
	// starts, reads and repairs are then delivered before most others. It is nil
	// in unguided schedules.
	victim   *member
	channels [register.MaxMembers][register.MaxMembers][kinds]int
}

// weights are the relative frequencies of a schedule's actions.
type weights struct {
	deliver, duplicate, drop, change, resend, retry, read, join, crash, lose, freeze, restoreImage int
}

const (
	maxOps     = 5
	maxPackets = 60
)

func newSim(seed uint64, f Fault, w weights, members int, founded bool) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), group: register.Group{Members: members}, fault: f, weights: w,
		oracle: newOracle(),
	}
	var founders [register.MaxMembers]uint64
	for i := range members {
		m := &member{id: register.MemberID(i)}
		m.acceptor = register.NewAcceptor(m.id, register.State{Nonce: s.nextNonce()})
		founders[i] = s.nonce
		s.restart(m)
		s.members = append(s.members, m)
	}
	for _, m := range s.members {
		if founded {
			m.acceptor.FoundGroup(founders)
		}
	}
	return s
}

func (s *sim) nextNonce() uint64 { s.nonce++; return s.nonce }

// restart drops the member's volatile state and begins its next incarnation.
func (s *sim) restart(m *member) {
	m.incarnation++
	m.ballots = register.NewBallotSource(m.id, m.incarnation)
	m.attempt, m.op, m.start, m.repair, m.copiedReports, m.read = nil, nil, nil, nil, nil, nil
}

// loseDisk replaces a member's disk by one without its state, unless too many others
// have lost theirs or the schedule had 4 losses already.
func (s *sim) loseDisk(m *member) {
	if s.tooManyLost(m) || s.losses >= 4 {
		return
	}
	s.losses++
	m.image = m.acceptor.State()
	s.replaceDisk(m)
	if s.fault == VoteWithoutRepair {
		m.acceptor.FoundGroup([register.MaxMembers]uint64{})
	}
}

// tooManyLost says whether the loss of m's state would exceed the number of
// lost states that the group tolerates.
func (s *sim) tooManyLost(m *member) bool {
	lost := 1
	for _, o := range s.members {
		if o != m && (o.stale || o.lost && !o.acceptor.State().Voting) {
			lost++
		}
	}
	return lost > s.group.Members-s.group.Quorum()
}

// replaceDisk restarts a member with a new folder that is empty or damaged.
func (s *sim) replaceDisk(m *member) {
	m.lost, m.stale = true, false
	s.restart(m)
	m.acceptor = register.NewAcceptor(m.id, register.State{Nonce: s.nextNonce(), Damaged: s.rng.IntN(2) == 0})
}

// restoreImage restarts a member with the image of its disk from before its last
// repair, as if the disk had been restored from a backup.
func (s *sim) restoreImage(m *member) {
	st := m.acceptor.State()
	if s.fault == NoGeneration || !m.lost || !st.Voting || !m.image.Voting || !m.image.Generation.Less(st.Generation) || s.tooManyLost(m) {
		return
	}
	s.restart(m)
	m.acceptor = register.NewAcceptor(m.id, m.image)
	m.stale = true
}

func (s *sim) send(from *member, body any) {
	for _, to := range s.members {
		s.net = append(s.net, packet{from: from.id, to: to.id, body: body})
	}
}

func (s *sim) reply(p packet, body any) {
	s.net = append(s.net, packet{from: p.to, to: p.from, body: body})
}

func (m *member) ballot() register.Ballot {
	st := m.acceptor.State()
	m.ballots.Observe(st.Promised)
	m.ballots.Observe(st.Accepted)
	m.ballots.Observe(st.Committed)
	return m.ballots.Next()
}

func (m *member) acceptedValue() register.AcceptedValue {
	st := m.acceptor.State()
	return register.AcceptedValue{Accepted: st.Accepted, Value: st.Value, Committed: st.Accepted == st.Committed}
}

// propose begins an attempt for the member's operation; a nil operation is a read.
func (s *sim) propose(m *member) {
	decide := register.Keep
	if op := m.op; op != nil {
		decide = func(v *register.Value) (*register.Value, port.Outcome, error) { return register.Apply(v, *op) }
	}
	if m.attempt != nil {
		m.ballots.Observe(m.attempt.Seen())
	}
	m.attempt = register.NewAttempt(s.group, m.ballot(), m.acceptedValue(), decide)
	s.send(m, m.attempt.Prepare())
}

func (s *sim) change(m *member) {
	if len(s.ops) >= maxOps || m.attempt != nil {
		return
	}
	base := uint64(0)
	if v := m.acceptor.State().CommittedValue; v != nil {
		base = v.Version
	}
	id := fmt.Sprint("c", len(s.ops))
	op := register.Proposal{
		Change:  port.Change{ID: id, Operator: "op-" + id, BaseVersion: base, Document: []byte(id)},
		Digest:  "digest-" + id,
		Invalid: s.rng.IntN(8) == 0,
	}
	s.ops = append(s.ops, op)
	m.op = &op
	s.propose(m)
}

func (s *sim) resend(m *member) {
	if len(s.ops) == 0 || m.attempt != nil {
		return
	}
	op := s.ops[s.rng.IntN(len(s.ops))]
	m.op = &op
	s.propose(m)
}

func (s *sim) beginRead(m *member) {
	m.read = register.NewRead(s.group, s.nextNonce(), m.acceptedValue())
	m.readFloor = s.oracle.newest()
	s.send(m, m.read.Query())
}

// join makes a member that doesn't vote probe the others, and become a founder or
// begin a repair if it already may.
func (s *sim) join(m *member) {
	st := m.acceptor.State()
	if st.Voting {
		m.start, m.repair, m.copiedReports = nil, nil, nil
		return
	}
	if m.start == nil || !m.start.IsFor(st) {
		m.start = register.NewStart(s.group, m.id, st)
	}
	s.send(m, m.start.Probe())
	s.tryVote(m)
}

// tryVote makes the member a founder, or begins a repair, if the answers to its
// probes allow it.
func (s *sim) tryVote(m *member) {
	if m.acceptor.State().Voting {
		return
	}
	if founders, ok := m.start.Founders(); ok {
		m.acceptor.FoundGroup(founders)
		return
	}
	switch {
	case !m.start.CanRepair():
	case s.fault == RepairWithoutFence:
		m.copiedReports = make(map[register.MemberID]register.Report)
		s.send(m, register.Query{})
	default:
		if m.repair != nil {
			m.ballots.Observe(m.repair.Seen())
		}
		m.repair = register.NewRepair(s.group, m.id, m.ballot())
		s.send(m, m.repair.Fence())
	}
}

// finalCheck runs a last read and a resend of each operation, with every message
// delivered in order to every member, also to frozen ones.
func (s *sim) finalCheck() error {
	first := s.members[0]
	ops := []*register.Proposal{nil}
	for i := range s.ops {
		ops = append(ops, &s.ops[i])
	}
	for _, m := range s.members {
		first.ballots.Observe(m.acceptor.State().Promised)
	}
	for _, op := range ops {
		first.op, first.attempt = op, nil
		s.net = nil
		s.propose(first)
		for len(s.net) > 0 {
			p := s.net[0]
			s.net = s.net[1:]
			if err := s.handle(s.members[p.to], p); err != nil {
				return err
			}
		}
	}
	return nil
}

// run does a number of random steps, then the final check.
func (s *sim) run(steps int) error {
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return s.finalCheck()
}
