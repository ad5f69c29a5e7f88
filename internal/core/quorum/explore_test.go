package quorum_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"sassafrasreach/internal/core/quorum"
)

// The explorer plays random schedules of proposers and voters: messages are
// delayed, dropped, doubled and reordered, proposers crash, disks are lost and
// come back under other IDs, voters change. It holds every chosen value against
// one chain: each value that was chosen is followed only by values made from it.

const (
	// explorerDisks bounds the disks that exist at a time.
	explorerDisks = 7
	explorerSteps = 400
	// schedules with fixed seeds run each time.
	schedules = 100_000
	// schedulesPlanted bounds the search for a planted fault.
	schedulesPlanted = 30_000
)

// errFork means that two values were chosen of which neither follows the other.
var errFork = errors.New("chosen values fork")

// fault is planted to show that the explorer finds it.
type fault uint8

const (
	sound fault = iota
	// forgetfulVoter keeps its ID when its disk is lost.
	forgetfulVoter
	// smallQuorum decides with one voter fewer than a majority.
	smallQuorum
	// emptyEntry lets voters enter a later epoch without its first value.
	emptyEntry
	// foundsTwice lets a disk that was lost found the system again.
	foundsTwice
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
	by      *proposer
}

type proposer struct {
	name  string
	round uint64
	epoch quorum.Epoch
	seed  *quorum.Value
	now   *proposal
}

type sim struct {
	fault     fault
	rng       *rand.Rand
	voters    map[string]*quorum.Acceptor
	proposers []*proposer
	net       []packet
	fresh     int
	lost      int
	// history holds what was chosen: the parent of each value by its name.
	parents map[string]string
	chosen  map[string]bool
	tip     string
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
		s.add()
	}
	for i := range 3 {
		s.proposers = append(s.proposers, &proposer{name: fmt.Sprint("p", i), epoch: founding})
	}
	return s
}

// add brings a new empty disk.
func (s *sim) add() string {
	s.fresh++
	id := fmt.Sprint("d", s.fresh)
	s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	return id
}

// decide makes a new value from the current one; now and then it changes the
// voters.
func (s *sim) decide(current *quorum.Value) (*quorum.Value, error) {
	s.values++
	name := fmt.Sprint("v", s.values)
	next := &quorum.Value{Sequence: 1, State: []byte(name)}
	if current != nil {
		next.Sequence = current.Sequence + 1
		s.parents[name] = string(current.State)
	}
	if s.rng.IntN(4) == 0 {
		next.Next = s.electorate()
	}
	return next, nil
}

// electorate draws three to five disks that exist.
func (s *sim) electorate() []quorum.Voter {
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
		// A majority of a set without its last voter is one too few for the set.
		epoch.Voters = epoch.Voters[:len(epoch.Voters)-1]
		if s.rng.IntN(2) == 0 {
			epoch.Voters = p.epoch.Voters[1:]
		}
	}
	a := quorum.NewAttempt(epoch, ballot, p.seed, quorum.Accepted{}, decide)
	p.now = &proposal{attempt: a, epoch: epoch, by: p}
	for _, v := range epoch.Voters {
		m := a.Prepare(v.ID)
		s.net = append(s.net, packet{to: v.ID, attempt: p.now, prepare: &m})
	}
}

// deliver hands one packet over.
func (s *sim) deliver(m packet) error {
	switch {
	case m.prepare != nil || m.accept != nil:
		s.atVoter(m)
		return nil
	case m.attempt.by.now != m.attempt:
		return nil // its proposer crashed or went on
	default:
		return s.atProposer(m)
	}
}

func (s *sim) atVoter(m packet) {
	voter := s.voters[m.to]
	if voter == nil {
		return
	}
	back := packet{from: m.to, attempt: m.attempt}
	if m.prepare != nil {
		prepare := *m.prepare
		if s.fault == emptyEntry && prepare.Seed == nil && prepare.Epoch.Number > voter.State().Epoch.Number {
			prepare.Seed = &quorum.Value{State: []byte("")}
		}
		promise, _ := voter.Prepare(prepare)
		back.promise = &promise
	} else {
		accept := *m.accept
		back.refusal, _ = voter.Accept(accept)
		back.accepted = true
	}
	s.net = append(s.net, back)
}

func (s *sim) atProposer(m packet) error {
	a, p := m.attempt.attempt, m.attempt.by
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
		p.now = nil
		return s.wasChosen(p, a.Result().Value)
	case quorum.Outdated:
		p.round = max(p.round, a.Seen().Round)
		if seed := a.Seed(); seed != nil {
			p.seed = seed
		}
		if newer := a.Newer(); newer.Number > p.epoch.Number {
			p.epoch, p.seed = newer, nil
		}
		p.now = nil
	default:
	}
	return nil
}

// wasChosen holds a chosen value against the chain of those before.
func (s *sim) wasChosen(p *proposer, v *quorum.Value) error {
	name := string(v.State)
	if !s.chosen[name] {
		if !s.follows(name, s.tip) && !s.follows(s.tip, name) {
			return fmt.Errorf("%w: %s and %s", errFork, s.tip, name)
		}
		s.chosen[name] = true
		if s.follows(name, s.tip) {
			s.tip = name
		}
	}
	if next, seed, sealed := quorum.Following(p.epoch, v); sealed {
		p.epoch, p.seed = next, seed
	} else {
		p.seed = v
	}
	return nil
}

// follows says whether a value was made from another, directly or not.
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

// lose takes a disk: it comes back empty under another ID, or with the planted
// fault under the old one.
func (s *sim) lose() {
	ids := make([]string, 0, len(s.voters))
	for id := range s.voters {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	id := ids[s.rng.IntN(len(ids))]
	switch {
	case s.fault == forgetfulVoter:
		s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	case s.fault == foundsTwice && len(id) > 2:
		s.voters[id] = quorum.NewAcceptor(quorum.State{ID: id})
	default:
		delete(s.voters, id)
		s.add()
	}
	s.lost++
}

func (s *sim) step() error {
	p := s.proposers[s.rng.IntN(len(s.proposers))]
	switch n := s.rng.IntN(100); {
	case n < 8:
		if p.now == nil {
			s.propose(p)
		}
	case n < 10:
		p.now = nil // it crashes or gives up
	case n < 11 && s.lost < 3:
		s.lose()
	case n < 12 && len(s.voters) < explorerDisks:
		s.add()
	case len(s.net) == 0:
	default:
		i := s.rng.IntN(len(s.net))
		m := s.net[i]
		if n < 92 { // else it comes again later
			s.net[i] = s.net[len(s.net)-1]
			s.net = s.net[:len(s.net)-1]
		}
		if n > 16 || n < 12 { // else it is lost
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

// TestExplorer plays random schedules.
func TestExplorer(t *testing.T) {
	n := schedules
	if testing.Short() {
		n /= 10
	}
	values, changes := 0, uint64(0)
	for seed := range uint64(n) {
		s := newSim(seed, sound)
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
		t.Fatal("the schedules choose too little to mean anything")
	}
}

// TestExplorerFindsPlantedFaults shows that the explorer sees what it is for.
func TestExplorerFindsPlantedFaults(t *testing.T) {
	for name, f := range map[string]fault{
		"a lost disk votes under its old ID":    forgetfulVoter,
		"one voter fewer than a majority":       smallQuorum,
		"an epoch is entered without its value": emptyEntry,
		"a lost founder founds again":           foundsTwice,
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
