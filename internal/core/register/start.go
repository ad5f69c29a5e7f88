package register

// Start decides how a member that doesn't vote yet may begin to vote: as a
// founder, if every member's folder was empty at one instant, or by a repair.
//
// It collects the answers of all members in two consecutive rounds. A folder
// that is reported empty in both, with the same nonce, was empty throughout the
// time between; so all were empty when the first round ended. Founders store the
// nonces of all members at that instant, and a member whose current nonce is
// among them hasn't voted since. It is not safe for concurrent use.
type Start struct {
	group     Group
	self      MemberID
	nonce     uint64
	empty     bool
	round     uint64
	previous  probeRound
	current   probeRound
	isFounder bool
	// nonces holds the nonces of the founders; it is valid only if isFounder is set.
	nonces [MaxMembers]uint64
	voting [MaxMembers]bool
}

// probeRound holds the answers to one round of probes: each member's nonce and
// whether its folder is empty.
type probeRound struct {
	nonces [MaxMembers]uint64
	empty  [MaxMembers]bool
}

func (c *probeRound) count() int {
	n := 0
	for _, e := range c.empty {
		if e {
			n++
		}
	}
	return n
}

// NewStart returns the start of a member that doesn't vote. If the member's own
// state isn't empty, it becomes a founder only if a voting member reports its nonce
// among those of the founders.
func NewStart(g Group, self MemberID, s State) *Start {
	start := &Start{group: g, self: self, nonce: s.Nonce, empty: s.empty()}
	return start
}

// IsFor says whether s was created for the folder of state, and whether the
// folder is empty hasn't changed since.
func (s *Start) IsFor(state State) bool { return s.nonce == state.Nonce && s.empty == state.empty() }

// Probe begins a round and returns its message for every other member. Answers
// to earlier rounds that arrive later are ignored.
func (s *Start) Probe() Probe {
	s.round++
	s.previous = s.current
	if s.previous.count() < s.group.Members {
		s.previous = probeRound{}
	}
	s.current = probeRound{}
	s.current.nonces[s.self] = s.nonce
	s.current.empty[s.self] = s.empty
	s.voting = [MaxMembers]bool{}
	s.checkRounds()
	return Probe{Nonce: s.nonce, Round: s.round}
}

// Reply handles a member's answer.
func (s *Start) Reply(m ProbeReply) {
	if m.Echo != s.nonce || m.Round != s.round || m.Member == s.self {
		return
	}
	s.voting[m.Member] = m.Voting
	s.current.nonces[m.Member] = m.Nonce
	s.current.empty[m.Member] = m.Empty
	if m.Voting && m.Founders[s.self] == s.nonce {
		s.isFounder = true
		s.nonces = m.Founders
		return
	}
	s.checkRounds()
}

// checkRounds makes the member a founder if two consecutive rounds are complete
// and equal.
func (s *Start) checkRounds() {
	if s.isFounder || s.current.count() < s.group.Members || s.previous != s.current {
		return
	}
	s.isFounder = true
	s.nonces = s.current.nonces
}

// Founders returns the nonces of all founders, and whether the member may vote
// as one of them.
func (s *Start) Founders() ([MaxMembers]uint64, bool) { return s.nonces, s.isFounder }

// CanRepair says whether enough members reported in this round that they vote,
// so that a repair can succeed.
func (s *Start) CanRepair() bool {
	n := 0
	for _, v := range s.voting {
		if v {
			n++
		}
	}
	return n >= s.group.RepairQuorum()
}
