package explore

import (
	"math"

	"sassafrasreach/internal/core/register"
)

// step does one random action and returns the violation that the oracle detects.
func (s *sim) step() error {
	if s.victim != nil && s.rng.IntN(40) == 0 {
		s.drawPriorities()
	}
	m := s.randomMember(func(*member) bool { return true })
	w, n := s.weights, s.rng.IntN(s.weights.sum())
	pick := func(weight int) bool { n -= weight; return n < 0 }
	switch {
	case pick(w.deliver):
		return s.deliver(true)
	case pick(w.duplicate):
		return s.deliver(false)
	case pick(w.drop):
		s.dropPacket()
	case pick(w.freeze):
		m.frozen = !m.frozen
	case pick(w.crash):
		s.restart(m)
	case pick(w.lose):
		s.loseDisk(m)
	case pick(w.restoreImage):
		s.restoreImage(m)
	case pick(w.retry):
		if m := s.randomMember(func(m *member) bool { return m.attempt != nil && !m.frozen }); m != nil {
			s.propose(m)
		}
	case pick(w.join):
		if m := s.randomMember(func(m *member) bool { return !m.acceptor.State().Voting && !m.frozen }); m != nil {
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

// randomMember returns a random member that matches, or nil.
func (s *sim) randomMember(matches func(*member) bool) *member {
	first := s.rng.IntN(len(s.members))
	for i := range s.members {
		if m := s.members[(first+i)%len(s.members)]; matches(m) {
			return m
		}
	}
	return nil
}

func (w weights) sum() int {
	return w.deliver + w.duplicate + w.drop + w.change + w.resend + w.retry + w.read + w.join + w.crash + w.lose + w.freeze + w.restoreImage
}

// dropPacket removes a random packet.
func (s *sim) dropPacket() {
	if len(s.net) == 0 {
		return
	}
	i := s.rng.IntN(len(s.net))
	s.net[i] = s.net[len(s.net)-1]
	s.net = s.net[:len(s.net)-1]
}

// deliver hands the next packet to its member, unless the member is frozen. If
// remove is false, the packet stays queued and may be delivered again. Random
// packets above maxPackets are dropped first.
func (s *sim) deliver(remove bool) error {
	for len(s.net) > maxPackets {
		s.dropPacket()
	}
	if len(s.net) == 0 {
		return nil
	}
	i := s.choosePacket()
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

// choosePacket returns the index of the next packet. In a guided schedule that is
// mostly the one with the highest priority, so that channels with low priorities
// deliver nothing for long.
func (s *sim) choosePacket() int {
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

// priority returns the priority of a packet's sender, receiver and kind. While the
// victim doesn't vote, the messages of starts, reads and repairs come first.
func (s *sim) priority(p packet) int {
	kind := kindOf(p.body)
	if kind >= startKind && !s.victim.acceptor.State().Voting {
		return math.MaxInt
	}
	return s.channels[p.from][p.to][kind]
}

// startKind is the first packet kind that starts, reads and repairs use; kinds is
// the number of kinds.
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

// drawPriorities draws random priorities for all channels.
func (s *sim) drawPriorities() {
	for from := range s.channels {
		for to := range s.channels[from] {
			for kind := range s.channels[from][to] {
				s.channels[from][to][kind] = s.rng.IntN(1 << 20)
			}
		}
	}
}

// maybeLoseVictim makes the victim lose its disk, with a probability of 1/4, after
// it gave another member's proposer a promise or accepted its value.
func (s *sim) maybeLoseVictim(m *member, p packet, ok bool) {
	if s.victim == m && !m.lost && ok && p.from != m.id && s.rng.IntN(4) == 0 {
		s.loseDisk(m)
		s.join(m)
	}
}
