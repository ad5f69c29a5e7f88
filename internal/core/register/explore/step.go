package explore

import (
	"math"

	"sassafrasreach/internal/core/register"
)

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
	case pick(w.putBack):
		s.putBack(m)
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
	return w.deliver + w.duplicate + w.drop + w.change + w.resend + w.retry + w.read + w.join + w.crash + w.lose + w.freeze + w.putBack
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
