package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sassafrasreach/internal/core/quorum"
)

const (
	// catchUp is how long a machine counts as lost after it is back, or after its
	// successor has started.
	catchUp = 4 * time.Second
	// proposePeriod is the time between two looks at the voters, and changeTime how
	// long a change of them takes between regions.
	proposePeriod = 300 * time.Millisecond
	changeTime    = 600 * time.Millisecond
	// stopTime is how long a process stays after it was told to stop, so that another
	// disk can vote in its place.
	stopTime       = 2 * time.Second
	stepTime       = 100 * time.Millisecond
	voterSchedules = 400
)

// machine is a controller with its disk in a schedule.
type machine struct {
	address, region, zone, disk string
	lastUp                      time.Duration
	up, stopping, removed       bool
	// lostUntil is until when it counts as lost.
	lostUntil time.Duration
}

// voterSim simulates the voters of a system whose machines stop, are replaced, lose their
// disks, stand still and come back, no more at a time than it tolerates.
type voterSim struct {
	rng       *rand.Rand
	next      func(current, spares []quorum.Candidate, tolerated int) []quorum.Voter
	tolerated int
	now       time.Duration
	machines  []*machine
	voters    []quorum.Voter
	disks     int
	due       []scheduledEvent
	change    []quorum.Voter
	changeAt  time.Duration
}

type scheduledEvent struct {
	at time.Duration
	do func()
}

func newVoterSim(seed uint64, n int, next func(current, spares []quorum.Candidate, tolerated int) []quorum.Voter) *voterSim {
	s := &voterSim{rng: rand.New(rand.NewPCG(seed, uint64(n))), next: next, tolerated: (min(n, 9) - 1) / 2}
	for i := range n {
		s.join(fmt.Sprint("r", i%3), fmt.Sprint("z", i%6))
	}
	for _, m := range s.machines[:3] {
		s.voters = append(s.voters, quorum.Voter{ID: m.disk, Address: m.address})
	}
	return s
}

func (s *voterSim) join(region, zone string) *machine {
	m := &machine{address: fmt.Sprintf("%02d", len(s.machines)), region: region, zone: zone, up: true, lastUp: s.now}
	s.newDisk(m)
	s.machines = append(s.machines, m)
	return m
}

func (s *voterSim) newDisk(m *machine) {
	s.disks++
	m.disk = fmt.Sprint("disk-", s.disks)
}

func (s *voterSim) after(d time.Duration, do func()) {
	s.due = append(s.due, scheduledEvent{s.now + d, do})
}

func (s *voterSim) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

func (s *voterSim) lost() int {
	n := 0
	for _, m := range s.machines {
		if s.now < m.lostUntil {
			n++
		}
	}
	return n
}

// disturb starts a random disturbance of a machine that doesn't count as lost.
func (s *voterSim) disturb() {
	m := s.machines[s.rng.IntN(len(s.machines))]
	if m.removed || m.stopping || s.now < m.lostUntil || s.lost() >= s.tolerated {
		return
	}
	const forever = time.Hour
	back := func() { m.up, m.lostUntil = true, s.now+catchUp }
	switch s.rng.IntN(5) {
	case 0: // planned: the successor starts first, then the predecessor is told to stop
		s.join(m.region, m.zone)
		m.lostUntil = s.now + catchUp // the successor has this time
		s.after(s.between(time.Second, 6*time.Second), func() {
			m.stopping = true
			s.after(stopTime, func() { m.up, m.removed = false, true })
		})
	case 1: // gone for good, then an empty one comes
		m.up, m.removed, m.lostUntil = false, true, forever
		s.after(s.between(500*time.Millisecond, 3*time.Second), func() {
			s.join(m.region, m.zone)
			m.lostUntil = s.now + catchUp
		})
	case 2: // the disk is lost, the address stays
		m.up, m.lostUntil = false, forever
		s.newDisk(m)
		s.after(s.between(500*time.Millisecond, 3*time.Second), back)
	default: // without power, frozen or cut off, with its disk
		m.up, m.lostUntil = false, forever
		s.after(s.between(500*time.Millisecond, 15*time.Second), back)
	}
}

func (s *voterSim) candidate(v quorum.Voter) quorum.Candidate {
	out := quorum.Candidate{Voter: v}
	for _, m := range s.machines {
		if m.address == v.Address {
			out.Region, out.Zone, out.Stopping = m.region, m.zone, m.stopping
			out.Lost, out.Unreachable = m.up && m.disk != v.ID, s.now-m.lastUp
		}
	}
	return out
}

func (s *voterSim) spares() []quorum.Candidate {
	var out []quorum.Candidate
	for _, m := range s.machines {
		votes := func(v quorum.Voter) bool { return v.ID == m.disk }
		if m.up && !slices.ContainsFunc(s.voters, votes) {
			out = append(out, s.candidate(quorum.Voter{ID: m.disk, Address: m.address}))
		}
	}
	return out
}

// count returns the voters whose disk is there, and how many of these are up.
func (s *voterSim) count() (intact, up int) {
	for _, v := range s.voters {
		for _, m := range s.machines {
			if m.disk == v.ID && !m.removed {
				intact++
				if m.up {
					up++
				}
			}
		}
	}
	return intact, up
}

func (s *voterSim) majority() int { return len(s.voters)/2 + 1 }

// step goes on by stepTime. It returns an error if a loss that is tolerated now would
// leave no majority of the voters with their disks.
func (s *voterSim) step() error {
	s.now += stepTime
	for _, m := range s.machines {
		if m.up {
			m.lastUp = s.now
		}
	}
	due := s.due
	s.due = nil
	for _, e := range due {
		if e.at > s.now {
			s.due = append(s.due, e)
			continue
		}
		e.do()
	}
	_, up := s.count()
	if s.change != nil && s.now >= s.changeAt {
		if up >= s.majority() {
			s.voters = s.change
		}
		s.change = nil
	}
	if s.change == nil && up >= s.majority() && s.now%proposePeriod == 0 {
		current := make([]quorum.Candidate, len(s.voters))
		for i, v := range s.voters {
			current[i] = s.candidate(v)
		}
		s.change, s.changeAt = s.next(current, s.spares(), s.tolerated), s.now+changeTime
	}
	intact, _ := s.count()
	if more := s.tolerated - s.lost(); intact-more < s.majority() {
		return fmt.Errorf("%s: %d of %d voters have their disks, and %d more may be lost", s.now, intact, len(s.voters), more)
	}
	return nil
}

func (s *voterSim) run() error {
	for s.now < 10*time.Second { // all become voters
		if err := s.step(); err != nil && s.now > catchUp {
			return err
		}
	}
	for s.now < 90*time.Second {
		if s.rng.IntN(10) == 0 {
			s.disturb()
		}
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

// appendThenRetire is the former choice of voters: a successor votes beside its
// predecessor, which is removed after 12 s.
func appendThenRetire(current, spares []quorum.Candidate, _ int) []quorum.Voter {
	var out []quorum.Voter
	for _, v := range current {
		out = append(out, v.Voter)
	}
	changed := false
	for _, p := range spares {
		replaced := -1
		for i, v := range current {
			if v.Address == p.Address || out[i].ID == v.ID && v.Unreachable > 2*time.Second && replaced < 0 {
				replaced = i
			}
		}
		switch {
		case replaced >= 0:
			out[replaced], changed = p.Voter, true
		case len(out) < 9:
			out, changed = append(out, p.Voter), true
		}
	}
	for i, v := range current {
		if !changed && len(out) > 3 && v.Unreachable > 12*time.Second {
			return slices.Delete(out, i, i+1)
		}
	}
	if !changed {
		return nil
	}
	return out
}

// TestVotersBearLosses guards against an acknowledged configuration that is lost because
// dead voters still count: at any moment a tolerated loss leaves a majority of the
// voters with their disks.
func TestVotersBearLosses(t *testing.T) {
	for _, n := range []int{3, 5, 6, 9, 18} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for seed := range uint64(voterSchedules) {
				if err := newVoterSim(seed, n, quorum.NextVoters).run(); err != nil {
					t.Fatalf("seed %d: %v", seed, err)
				}
			}
		})
	}
}

// TestVotersBearLossesFindsFormerChoice checks that the simulation finds the fault that
// it guards against.
func TestVotersBearLossesFindsFormerChoice(t *testing.T) {
	for _, n := range []int{3, 5, 6} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for seed := range uint64(voterSchedules) {
				if err := newVoterSim(seed, n, appendThenRetire).run(); err != nil {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Fatal("not found")
		})
	}
}
