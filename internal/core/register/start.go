package register

// Start finds out how a member without a vote may get it: as a founder, when
// every member's folder was empty at one instant, or by a repair.
//
// It collects the answers of all members twice. A member that says in both
// rounds that its folder is empty, with the same nonce, was empty throughout
// the time between; so all were empty when the first round ended. Members that
// founded the group keep the nonces of that instant, and a member whose own
// nonce is among them hasn't voted since. It is not safe for concurrent use.
type Start struct {
	group  Group
	self   MemberID
	nonce  uint64
	empty  bool
	round  uint64
	first  collection
	second collection
	found  bool
	nonces [MaxMembers]uint64
	voting [MaxMembers]bool
}

// collection is the nonces of the members that said they are empty.
type collection struct {
	nonces [MaxMembers]uint64
	empty  [MaxMembers]bool
}

func (c *collection) count() int {
	n := 0
	for _, e := range c.empty {
		if e {
			n++
		}
	}
	return n
}

// NewStart returns the start of a member that doesn't vote. Only one whose
// state is empty can be a founder by the answers of the others.
func NewStart(g Group, self MemberID, s State) *Start {
	start := &Start{group: g, self: self, nonce: s.Nonce, empty: s.empty()}
	return start
}

// Of says whether the start is of the folder that a state is from.
func (s *Start) Of(state State) bool { return s.nonce == state.Nonce && s.empty == state.empty() }

// Probe begins a round and returns its message to every other member. Answers
// to earlier rounds no longer count.
func (s *Start) Probe() Probe {
	s.round++
	s.first = s.second
	if s.first.count() < s.group.Members {
		s.first = collection{}
	}
	s.second = collection{}
	s.second.nonces[s.self] = s.nonce
	s.second.empty[s.self] = s.empty
	s.voting = [MaxMembers]bool{}
	s.check()
	return Probe{Nonce: s.nonce, Round: s.round}
}

// Reply takes a member's answer.
func (s *Start) Reply(m ProbeReply) {
	if m.Echo != s.nonce || m.Round != s.round || m.Member == s.self {
		return
	}
	s.voting[m.Member] = m.Voting
	s.second.nonces[m.Member] = m.Nonce
	s.second.empty[m.Member] = m.Empty
	if m.Voting && m.Founders[s.self] == s.nonce {
		s.found = true
		s.nonces = m.Founders
		return
	}
	s.check()
}

func (s *Start) check() {
	if s.found || s.second.count() < s.group.Members || s.first != s.second {
		return
	}
	s.found = true
	s.nonces = s.second.nonces
}

// Founders returns the nonces to found the group with, and whether the member
// may do so.
func (s *Start) Founders() ([MaxMembers]uint64, bool) { return s.nonces, s.found }

// CanRepair says whether enough members vote for a repair.
func (s *Start) CanRepair() bool {
	n := 0
	for _, v := range s.voting {
		if v {
			n++
		}
	}
	return n >= s.group.RepairQuorum()
}
