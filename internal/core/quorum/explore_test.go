package quorum_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sassafrasreach/internal/core/quorum"
)

// The explorer simulates random schedules of proposers and voters: messages are
// delayed, dropped, duplicated and reordered, proposers crash, disks are lost and
// replaced by ones with other IDs, and voters change. It checks that the chosen
// values form one chain: after a value is chosen, only values made from it are.

const (
	// explorerDisks is the largest number of disks that exist at a time.
	explorerDisks = 7
	explorerSteps = 400
	// schedules is the number of schedules of TestExplorer. Their seeds begin at 0.
	schedules = 100_000
	// schedulesPlanted is the largest number of schedules in the search for a
	// planted fault.
	schedulesPlanted = 30_000
)

// errFork means that two values were chosen and neither was made from the other.
var errFork = errors.New("chosen values fork")

// fault is a defect planted to show that the explorer finds it.
type fault uint8

const (
	noFault fault = iota
	// reusedDiskID lets the replacement of a lost disk keep its ID.
	reusedDiskID
	// smallQuorum lets a proposer decide with a majority of all voters but one.
	smallQuorum
	// entryWithoutValue lets voters enter a later epoch without its first value.
	entryWithoutValue
	// reusedFounderID lets the replacement of a founder's lost disk keep its ID, so
	// that it founds the system again.
	reusedFounderID
)

type packet struct {
	to, from string
	attempt  *proposal
	prepare  *quorum.Prepare
	promise  *quorum.Promise
	accept   *quorum.Accept
	refusal  *quorum.Refusal
	accepted bool
}

type proposal struct {
	attempt *quorum.Attempt
	epoch   quorum.Epoch
	owner   *proposer
}

type proposer struct {
	name    string
	round   uint64
	epoch   quorum.Epoch
	seed    *quorum.Value
	current *proposal
}

type sim struct {
	fault     fault
	rng       *rand.Rand
	voters    map[string]*quorum.Acceptor
	proposers []*proposer
	net       []packet
	diskCount int
	losses    int
	// parents maps the name of each proposed value to that of the value it was
	// made from; newest is the name of the chosen value at the end of the chain.
	parents map[string]string
	chosen  map[string]bool
	newest  string
	values  int
}

func newSim(seed uint64, f fault) *sim {
	s := &sim{
		fault: f, rng: rand.New(rand.NewPCG(seed, 7)), voters: make(map[string]*quorum.Acceptor),
		parents: make(map[string]string), chosen: make(map[string]bool),
	}
	founding := quorum.Founding([]string{"a", "b", "c"})
	for _, v := range founding.Voters {
		s.voters[v.ID] = quorum.NewAcceptor(quorum.State{ID: v.ID})
	}
	for range 3 {
		s.addDisk()
	}
	for i := range 3 {
		s.proposers = append(s.proposers, &proposer{name: fmt.Sprint("p", i), epoch: founding})
	}
	return s
}

// addDisk adds an empty disk with a new ID and returns the ID.
func (s *sim) addDisk() string {
	s.diskCount++
	id := fmt.Sprint("d", s.diskCount)
	s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	return id
}

// decide makes a new value from the current one. With a probability of 1/4 it
// changes the voters too.
func (s *sim) decide(current *quorum.Value) (*quorum.Value, error) {
	s.values++
	name := fmt.Sprint("v", s.values)
	next := &quorum.Value{Sequence: 1, State: []byte(name)}
	if current != nil {
		next.Sequence = current.Sequence + 1
		s.parents[name] = string(current.State)
	}
	if s.rng.IntN(4) == 0 {
		next.Next = s.randomVoters()
	}
	return next, nil
}

// randomVoters draws three to five of the existing disks.
func (s *sim) randomVoters() []quorum.Voter {
	ids := make([]string, 0, len(s.voters))
	for id := range s.voters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	s.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []quorum.Voter
	for _, id := range ids[:min(len(ids), 3+s.rng.IntN(3))] {
		out = append(out, quorum.Voter{ID: id, Address: id})
	}
	return out
}

func (s *sim) propose(p *proposer) {
	p.round++
	ballot := quorum.Ballot{Round: p.round, Proposer: p.name}
	decide := s.decide
	epoch := p.epoch
	if s.fault == smallQuorum && len(epoch.Voters) > 2 {
		// With an even number of voters, a majority of all but one is one too few.
		epoch.Voters = epoch.Voters[:len(epoch.Voters)-1]
		if s.rng.IntN(2) == 0 {
			epoch.Voters = p.epoch.Voters[1:]
		}
	}
	a := quorum.NewAttempt(epoch, ballot, p.seed, quorum.Accepted{}, decide)
	p.current = &proposal{attempt: a, epoch: epoch, owner: p}
	for _, v := range epoch.Voters {
		m := a.Prepare(v.ID)
		s.net = append(s.net, packet{to: v.ID, attempt: p.current, prepare: &m})
	}
}

// deliver hands one packet to its voter or proposer.
func (s *sim) deliver(m packet) error {
	switch {
	case m.prepare != nil || m.accept != nil:
		s.deliverToVoter(m)
		return nil
	case m.attempt.owner.current != m.attempt:
		return nil // the proposer crashed or ended this attempt
	default:
		return s.deliverToProposer(m)
	}
}

func (s *sim) deliverToVoter(m packet) {
	voter := s.voters[m.to]
	if voter == nil {
		return
	}
	answer := packet{from: m.to, attempt: m.attempt}
	if m.prepare != nil {
		prepare := *m.prepare
		if s.fault == entryWithoutValue && prepare.Seed == nil && prepare.Epoch.Number > voter.State().Epoch.Number {
			prepare.Seed = &quorum.Value{State: []byte("")}
		}
		promise, _ := voter.Prepare(prepare)
		answer.promise = &promise
	} else {
		accept := *m.accept
		answer.refusal, _ = voter.Accept(accept)
		answer.accepted = true
	}
	s.net = append(s.net, answer)
}

func (s *sim) deliverToProposer(m packet) error {
	a, p := m.attempt.attempt, m.attempt.owner
	if m.promise != nil && a.Promise(m.from, *m.promise) {
		for _, v := range m.attempt.epoch.Voters {
			accept := a.Accept(v.ID)
			s.net = append(s.net, packet{to: v.ID, attempt: m.attempt, accept: &accept})
		}
	}
	if m.accepted {
		a.Accepted(m.from, m.refusal)
	}
	switch a.Phase() {
	case quorum.Chosen:
		p.current = nil
		return s.recordChosen(p, a.Result().Value)
	case quorum.Outdated:
		p.round = max(p.round, a.Seen().Round)
		if seed := a.Seed(); seed != nil {
			p.seed = seed
		}
		if newer := a.Newer(); newer.Number > p.epoch.Number {
			p.epoch, p.seed = newer, nil
		}
		p.current = nil
	default:
	}
	return nil
}

// recordChosen checks a chosen value against the chain of those chosen before, and
// updates the proposer's epoch and seed.
func (s *sim) recordChosen(p *proposer, v *quorum.Value) error {
	name := string(v.State)
	if !s.chosen[name] {
		if !s.follows(name, s.newest) && !s.follows(s.newest, name) {
			return fmt.Errorf("%w: %s and %s", errFork, s.newest, name)
		}
		s.chosen[name] = true
		if s.follows(name, s.newest) {
			s.newest = name
		}
	}
	if next, seed, sealed := quorum.NextEpoch(p.epoch, v); sealed {
		p.epoch, p.seed = next, seed
	} else {
		p.seed = v
	}
	return nil
}

// follows says whether a value was made from an earlier one, directly or not.
func (s *sim) follows(name, earlier string) bool {
	for {
		if name == earlier {
			return true
		}
		if name == "" {
			return false
		}
		name = s.parents[name]
	}
}

// loseDisk replaces a random disk by an empty one, which has another ID unless the
// planted fault reuses the old one.
func (s *sim) loseDisk() {
	ids := make([]string, 0, len(s.voters))
	for id := range s.voters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := ids[s.rng.IntN(len(ids))]
	switch {
	case s.fault == reusedDiskID:
		s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	case s.fault == reusedFounderID && len(id) > 2:
		s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	default:
		delete(s.voters, id)
		s.addDisk()
	}
	s.losses++
}

func (s *sim) step() error {
	p := s.proposers[s.rng.IntN(len(s.proposers))]
	switch n := s.rng.IntN(100); {
	case n < 8:
		if p.current == nil {
			s.propose(p)
		}
	case n < 10:
		p.current = nil // the proposer crashes or gives up
	case n < 11 && s.losses < 3:
		s.loseDisk()
	case n < 12 && len(s.voters) < explorerDisks:
		s.addDisk()
	case len(s.net) == 0:
	default:
		i := s.rng.IntN(len(s.net))
		m := s.net[i]
		if n < 92 { // otherwise it stays queued and may be delivered again
			s.net[i] = s.net[len(s.net)-1]
			s.net = s.net[:len(s.net)-1]
		}
		if n > 16 || n < 12 { // otherwise it is dropped
			return s.deliver(m)
		}
	}
	return nil
}

func (s *sim) run() error {
	for range explorerSteps {
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

// TestExplorer runs random schedules without a planted fault, a tenth of them in
// short mode.
func TestExplorer(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 10
	}
	values, changes := 0, uint64(0)
	for seed := range uint64(n) {
		s := newSim(seed, noFault)
		if err := s.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		values += len(s.chosen)
		for _, p := range s.proposers {
			changes = max(changes, p.epoch.Number)
		}
	}
	t.Logf("%d values chosen, up to %d epochs", values, changes)
	if values < n || changes < 4 {
		t.Fatal("too few values or epochs for a significant test: want an average of at least one value per schedule, and 4 epochs")
	}
}

// TestExplorerFindsPlantedFaults checks that the explorer detects defects.
func TestExplorerFindsPlantedFaults(t *testing.T) {
	for name, f := range map[string]fault{
		"a lost disk votes under its old ID":          reusedDiskID,
		"a majority of all voters but one":            smallQuorum,
		"an epoch is entered without its first value": entryWithoutValue,
		"a founder that lost its disk founds again":   reusedFounderID,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(schedulesPlanted) {
				if err := newSim(seed, f).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
