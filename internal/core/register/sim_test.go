package register_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// fault is a defect that is planted into the members of a simulation.
type fault int

const (
	noFault fault = iota
	// votesEmpty lets a member vote right after it lost its disk.
	votesEmpty
	// copiesOnly repairs by copying value and promise from others, unfenced.
	copiesOnly
	// noGeneration fences, but proposers don't learn of generations.
	noGeneration
)

type packet struct {
	from, to register.MemberID
	body     any
}

// member is one member with its volatile state machines.
type member struct {
	id          register.MemberID
	acceptor    *register.Acceptor
	incarnation uint64
	ballots     *register.BallotSource
	attempt     *register.Attempt
	op          *register.Proposal
	start       *register.Start
	repair      *register.Repair
	copied      map[register.MemberID]register.Report
	read        *register.Read
	readFloor   *register.Value
	frozen      bool
	lost        bool
}

// sim is one schedule over the pure state machines.
type sim struct {
	rng     *rand.Rand
	group   register.Group
	members []*member
	net     []packet
	fault   fault
	weights weights
	oracle  oracle
	ops     []register.Proposal
	losses  int
	nonce   uint64
	// victim loses its disk right after it answered a proposer, and is then
	// repaired before most other messages arrive; nil in unguided schedules.
	victim   *member
	channels [register.MaxMembers][register.MaxMembers][kinds]int
}

// weights are the relative frequencies of a schedule's actions.
type weights struct {
	deliver, duplicate, drop, change, resend, retry, read, join, crash, lose, freeze int
}

const (
	maxOps     = 5
	maxPackets = 60
)

func newSim(seed uint64, f fault, w weights, members int, founded bool) *sim {
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
			m.acceptor.Found(founders)
		}
	}
	return s
}

func (s *sim) nextNonce() uint64 { s.nonce++; return s.nonce }

// restart drops what the member didn't keep on its disk.
func (s *sim) restart(m *member) {
	m.incarnation++
	m.ballots = register.NewBallotSource(m.id, m.incarnation)
	m.attempt, m.op, m.start, m.repair, m.copied, m.read = nil, nil, nil, nil, nil, nil
}

// lose takes a member's disk, if not too many others have lost theirs.
func (s *sim) lose(m *member) {
	lost := 1
	for _, o := range s.members {
		if o != m && o.lost && !o.acceptor.State().Voting {
			lost++
		}
	}
	if lost > s.group.Members-s.group.Quorum() || s.losses >= 4 {
		return
	}
	s.losses++
	m.lost = true
	s.restart(m)
	m.acceptor = register.NewAcceptor(m.id, register.State{Nonce: s.nextNonce(), Damaged: s.rng.IntN(2) == 0})
	if s.fault == votesEmpty {
		m.acceptor.Found([register.MaxMembers]uint64{})
	}
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

func (m *member) holding() register.Holding {
	st := m.acceptor.State()
	return register.Holding{Accepted: st.Accepted, Value: st.Value, Committed: st.Accepted == st.Committed}
}

// propose begins an attempt for the member's operation; nil is a read.
func (s *sim) propose(m *member) {
	decide := register.Keep
	if op := m.op; op != nil {
		decide = func(v *register.Value) (*register.Value, port.Outcome, error) { return register.Apply(v, *op) }
	}
	if m.attempt != nil {
		m.ballots.Observe(m.attempt.Seen())
	}
	m.attempt = register.NewAttempt(s.group, m.ballot(), m.holding(), decide)
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
	m.read = register.NewRead(s.group, s.nextNonce(), m.holding())
	m.readFloor = s.oracle.newest()
	s.send(m, m.read.Query())
}

// join probes or tries a repair, as the member's state asks for.
func (s *sim) join(m *member) {
	st := m.acceptor.State()
	if st.Voting {
		m.start, m.repair, m.copied = nil, nil, nil
		return
	}
	if m.start == nil || !m.start.Of(st) {
		m.start = register.NewStart(s.group, m.id, st)
	}
	s.send(m, m.start.Probe())
	s.tryVote(m)
}

// tryVote makes the member a founder or begins a repair when its probe allows.
func (s *sim) tryVote(m *member) {
	if m.acceptor.State().Voting {
		return
	}
	if founders, ok := m.start.Founders(); ok {
		m.acceptor.Found(founders)
		return
	}
	switch {
	case !m.start.CanRepair():
	case s.fault == copiesOnly:
		m.copied = make(map[register.MemberID]register.Report)
		s.send(m, register.Query{})
	default:
		if m.repair != nil {
			m.ballots.Observe(m.repair.Seen())
		}
		m.repair = register.NewRepair(s.group, m.id, m.ballot())
		s.send(m, m.repair.Fence())
	}
}

// step does one random action and returns what the oracle says of it.
func (s *sim) step() error {
	if s.victim != nil && s.rng.IntN(40) == 0 {
		s.shuffle()
	}
	m := s.any(func(*member) bool { return true })
	w, n := s.weights, s.rng.IntN(s.weights.sum())
	pick := func(weight int) bool { n -= weight; return n < 0 }
	switch {
	case pick(w.deliver):
		return s.deliver(true)
	case pick(w.duplicate):
		return s.deliver(false)
	case pick(w.drop):
		s.take()
	case pick(w.freeze):
		m.frozen = !m.frozen
	case pick(w.crash):
		s.restart(m)
	case pick(w.lose):
		s.lose(m)
	case pick(w.retry):
		if m := s.any(func(m *member) bool { return m.attempt != nil && !m.frozen }); m != nil {
			s.propose(m)
		}
	case pick(w.join):
		if m := s.any(func(m *member) bool { return !m.acceptor.State().Voting && !m.frozen }); m != nil {
			s.join(m)
		}
	case m.frozen:
	case pick(w.change):
		s.change(m)
	case pick(w.resend):
		s.resend(m)
	default:
		s.beginRead(m)
	}
	return nil
}

// any returns a random member that fits, or nil.
func (s *sim) any(fits func(*member) bool) *member {
	first := s.rng.IntN(len(s.members))
	for i := range s.members {
		if m := s.members[(first+i)%len(s.members)]; fits(m) {
			return m
		}
	}
	return nil
}

func (w weights) sum() int {
	return w.deliver + w.duplicate + w.drop + w.change + w.resend + w.retry + w.read + w.join + w.crash + w.lose + w.freeze
}

// take removes a random packet.
func (s *sim) take() {
	if len(s.net) == 0 {
		return
	}
	i := s.rng.IntN(len(s.net))
	s.net[i] = s.net[len(s.net)-1]
	s.net = s.net[:len(s.net)-1]
}

func (s *sim) deliver(remove bool) error {
	for len(s.net) > maxPackets {
		s.take()
	}
	if len(s.net) == 0 {
		return nil
	}
	i := s.choose()
	p := s.net[i]
	if s.members[p.to].frozen {
		return nil
	}
	if remove {
		s.net[i] = s.net[len(s.net)-1]
		s.net = s.net[:len(s.net)-1]
	}
	return s.handle(s.members[p.to], p)
}

// choose picks the next packet. In a guided schedule it is the one of the
// highest priority, so that some channels stay silent for long.
func (s *sim) choose() int {
	i := s.rng.IntN(len(s.net))
	if s.victim == nil || s.rng.IntN(16) == 0 {
		return i
	}
	for j, p := range s.net {
		if !s.members[p.to].frozen && s.priority(p) > s.priority(s.net[i]) {
			i = j
		}
	}
	return i
}

// priority orders packets by sender, receiver and kind; the victim's start and
// repair go first.
func (s *sim) priority(p packet) int {
	kind := kindOf(p.body)
	if kind >= startKind && !s.victim.acceptor.State().Voting {
		return math.MaxInt
	}
	return s.channels[p.from][p.to][kind]
}

const (
	startKind = 6
	kinds     = 10
)

func kindOf(body any) int {
	switch body.(type) {
	case register.Prepare:
		return 0
	case register.Promise:
		return 1
	case register.Accept:
		return 2
	case register.Accepted:
		return 3
	case register.Learn:
		return 4
	case register.Query:
		return startKind
	case register.Report:
		return startKind + 1
	case register.Fence, register.Probe:
		return startKind + 2
	default:
		return startKind + 3
	}
}

// shuffle draws new priorities.
func (s *sim) shuffle() {
	for from := range s.channels {
		for to := range s.channels[from] {
			for kind := range s.channels[from][to] {
				s.channels[from][to][kind] = s.rng.IntN(1 << 20)
			}
		}
	}
}

// strike takes the victim's disk after it answered another member's proposer.
func (s *sim) strike(m *member, p packet, ok bool) {
	if s.victim == m && !m.lost && ok && p.from != m.id && s.rng.IntN(4) == 0 {
		s.lose(m)
		s.join(m)
	}
}

// handle gives a packet to its member; the state counts as durable before any
// answer leaves.
func (s *sim) handle(m *member, p packet) error {
	switch b := p.body.(type) {
	case register.Prepare:
		out, _ := m.acceptor.Prepare(b)
		s.strip(&out.Standing)
		s.reply(p, out)
		s.strike(m, p, out.OK)
	case register.Accept:
		out, _ := m.acceptor.Accept(b)
		s.strip(&out.Standing)
		s.reply(p, out)
		s.strike(m, p, out.OK)
	case register.Learn:
		m.acceptor.Learn(b)
	case register.Query:
		out := m.acceptor.Query(b)
		s.strip(&out.Standing)
		s.reply(p, out)
	case register.Probe:
		s.reply(p, m.acceptor.Probe(b))
	case register.Fence:
		if m.id != p.from {
			out, _ := m.acceptor.Fence(b)
			s.strip(&out.Standing)
			s.reply(p, out)
		}
	default:
		return s.answer(m, p.body)
	}
	return nil
}

func (s *sim) strip(st *register.Standing) {
	if s.fault == noGeneration {
		st.Generation, st.Fences = register.Ballot{}, register.Ballots{}
	}
}

// answer gives an answer to the state machine that asked for it.
func (s *sim) answer(m *member, body any) error {
	switch b := body.(type) {
	case register.Promise:
		if m.attempt != nil && m.attempt.Promise(b) {
			s.send(m, m.attempt.Accept())
		}
	case register.Accepted:
		if m.attempt != nil && m.attempt.Accepted(b) {
			return s.chosen(m)
		}
	case register.ProbeReply:
		if m.start != nil {
			m.start.Reply(b)
			s.tryVote(m)
		}
	case register.Fenced:
		if m.repair != nil && !m.acceptor.State().Voting && m.repair.Fenced(b) {
			m.acceptor.Repaired(m.repair.Result())
		}
	case register.Report:
		return s.report(m, b)
	}
	return nil
}

func (s *sim) report(m *member, b register.Report) error {
	if m.copied != nil && b.Voting && !m.acceptor.State().Voting {
		m.copied[b.Member] = b
		s.copyRepair(m)
	}
	if m.read == nil {
		return nil
	}
	m.read.Report(b)
	h, known := m.read.Known()
	if !known {
		return nil
	}
	m.acceptor.LearnValue(h.Accepted, h.Value)
	if err := s.oracle.choose(h.Accepted, h.Value); err != nil {
		return err
	}
	if _, newest := m.read.Chosen(); newest {
		m.read = nil
		return s.oracle.readAfter(m.readFloor, h.Value)
	}
	return nil
}

// copyRepair is the planted repair without a fence.
func (s *sim) copyRepair(m *member) {
	if len(m.copied) < s.group.RepairQuorum() {
		return
	}
	var r register.Result
	for _, c := range m.copied {
		if r.Ballot.Less(c.Promised) {
			r.Ballot = c.Promised
		}
		if r.Accepted.Less(c.Accepted) {
			r.Accepted, r.Value = c.Accepted, c.Value
		}
	}
	m.acceptor.Repaired(r)
}

func (s *sim) chosen(m *member) error {
	a := m.attempt
	if err := s.oracle.choose(a.Ballot(), a.Value()); err != nil {
		return err
	}
	s.send(m, a.Learn())
	m.attempt = nil
	if m.op == nil {
		return nil
	}
	out, _ := a.Outcome()
	m.op = nil
	return s.oracle.tell(out)
}

// settle lets every member in reach take part in one last read and in a resend
// of each operation, without faults.
func (s *sim) settle() error {
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

// run does a number of random steps, then settles.
func (s *sim) run(steps int) error {
	for range steps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return s.settle()
}
