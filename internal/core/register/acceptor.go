package register

// State is the durable state of a member.
type State struct {
	// Voting says that the member completed its first start or its repair and
	// takes part in quorums.
	Voting bool
	// Nonce is a random number drawn when the folder is first used. It
	// distinguishes a folder that never voted from one that replaced it.
	Nonce uint64
	// Damaged says that the folder held unusable data. Such a folder counts as
	// non-empty, because the member may have voted before.
	Damaged bool
	// Founders holds the nonces of all members when the group was founded.
	Founders [MaxMembers]uint64
	// Generation is the fence of the member's last repair; zero if it was never
	// repaired.
	Generation Ballot
	// Fences holds the newest known fence of each member.
	Fences Ballots
	// Promised is the highest promised ballot. It is never below Accepted.
	Promised Ballot
	// Accepted is the ballot under which Value was accepted.
	Accepted Ballot
	Value    *Value
	// Committed is the highest ballot whose value is known to be chosen;
	// CommittedValue is that value.
	Committed      Ballot
	CommittedValue *Value
}

// empty says that the folder never held a vote, a value or unusable data.
func (s State) empty() bool {
	return !s.Voting && !s.Damaged && s.Accepted.IsZero() && s.Committed.IsZero()
}

// Acceptor is the Paxos acceptor of a member: it answers proposers and repairs
// of other members. It is not safe for concurrent use.
type Acceptor struct {
	self  MemberID
	state State
}

// NewAcceptor returns an acceptor that resumes from a stored state.
func NewAcceptor(self MemberID, state State) *Acceptor {
	return &Acceptor{self: self, state: state}
}

// State returns the current state. After a call that changed it, the caller
// must make it durable before it sends the answer.
func (a *Acceptor) State() State { return a.state }

func (a *Acceptor) memberState() MemberState {
	return MemberState{
		Member: a.self, Voting: a.state.Voting, Generation: a.state.Generation,
		Fences: a.state.Fences, Promised: a.state.Promised,
	}
}

func (a *Acceptor) acceptedValue(have Ballot) AcceptedValue {
	v := AcceptedValue{Accepted: a.state.Accepted, Committed: a.state.Committed == a.state.Accepted}
	if have != a.state.Accepted {
		v.Value = a.state.Value
	}
	return v
}

// Prepare promises to ignore lower ballots, or refuses if a higher one was
// promised or the member doesn't vote. The flag says whether the state changed.
func (a *Acceptor) Prepare(m Prepare) (Promise, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Promise{MemberState: a.memberState(), Ballot: m.Ballot}, false
	}
	changed := a.state.Promised != m.Ballot
	a.state.Promised = m.Ballot
	return Promise{MemberState: a.memberState(), AcceptedValue: a.acceptedValue(m.Have), Ballot: m.Ballot, OK: true}, changed
}

// Accept accepts a value, or refuses it if a higher ballot was promised or the
// member doesn't vote. The flag says whether the state changed.
func (a *Acceptor) Accept(m Accept) (Accepted, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Accepted{MemberState: a.memberState(), Ballot: m.Ballot}, false
	}
	changed := a.state.Accepted != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Accepted = m.Ballot
	a.state.Value = m.Value
	return Accepted{MemberState: a.memberState(), Ballot: m.Ballot, OK: true}, changed
}

// Learn marks the accepted value as chosen. If the member accepted under
// another ballot, it ignores the message and learns the value later. The flag
// says whether the state changed.
func (a *Acceptor) Learn(m Learn) bool {
	if m.Ballot != a.state.Accepted || !a.state.Committed.Less(m.Ballot) {
		return false
	}
	a.state.Committed = m.Ballot
	a.state.CommittedValue = a.state.Value
	return true
}

// LearnValue records a value that is known to be chosen under a ballot. A
// voting member whose accepted ballot is lower accepts it too. The flag says
// whether the state changed.
func (a *Acceptor) LearnValue(b Ballot, v *Value) bool {
	if !a.state.Committed.Less(b) {
		return false
	}
	a.state.Committed = b
	a.state.CommittedValue = v
	if a.state.Voting {
		a.adoptCommitted()
	}
	return true
}

// Query reports what was accepted. It doesn't change the state.
func (a *Acceptor) Query(m Query) Report {
	return Report{Round: m.Round, MemberState: a.memberState(), AcceptedValue: a.acceptedValue(m.Have)}
}

// Probe reports whether the folder is empty. It doesn't change the state.
func (a *Acceptor) Probe(m Probe) ProbeReply {
	return ProbeReply{
		MemberState: a.memberState(), Echo: m.Nonce, Round: m.Round,
		Nonce: a.state.Nonce, Empty: a.state.empty(), Founders: a.state.Founders,
	}
}

// Fence gives or refuses the promise that another member's repair requests. If it
// gives the promise, it records the ballot as that member's fence. The flag says
// whether the state changed.
func (a *Acceptor) Fence(m Fence) (Fenced, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Fenced{MemberState: a.memberState(), Ballot: m.Ballot}, false
	}
	changed := a.state.Promised != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Fences[m.Member] = maxBallot(a.state.Fences[m.Member], m.Ballot)
	return Fenced{
		MemberState: a.memberState(), AcceptedValue: a.acceptedValue(Ballot{}), Ballot: m.Ballot,
		OK: true, Founders: a.state.Founders,
	}, changed
}

// FoundGroup makes the member vote as a founder of the group, after the member's
// Start returned the founders' nonces. The member has accepted no value yet, unless
// it learned a chosen one meanwhile.
func (a *Acceptor) FoundGroup(founders [MaxMembers]uint64) {
	a.state.Voting = true
	a.state.Founders = founders
	a.adoptCommitted()
}

// Repaired makes the member vote again with the state that its Repair collected.
func (a *Acceptor) Repaired(r Result) {
	committed, value := a.state.Committed, a.state.CommittedValue
	a.state = State{
		Voting: true, Nonce: a.state.Nonce, Founders: r.Founders,
		Generation: r.Ballot, Fences: r.Fences, Promised: r.Ballot,
		Accepted: r.Accepted, Value: r.Value,
		Committed: committed, CommittedValue: value,
	}
	a.adoptCommitted()
}

// adoptCommitted accepts the chosen value if it is newer than the accepted
// one. That is safe whatever was promised here: any higher ballot reads that
// value or a later one from every quorum.
func (a *Acceptor) adoptCommitted() {
	if !a.state.Accepted.Less(a.state.Committed) {
		return
	}
	a.state.Accepted = a.state.Committed
	a.state.Value = a.state.CommittedValue
	a.state.Promised = maxBallot(a.state.Promised, a.state.Committed)
}

// IsStale says whether fences, which other members reported, hold a later
// repair of this member than its own state. Such a state is an old image of the
// disk and must not vote.
func (a *Acceptor) IsStale(fences Ballots) bool {
	return a.state.Voting && a.state.Generation.Less(fences[a.self])
}
