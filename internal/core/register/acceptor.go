package register

// State is what a member must keep on its disk.
type State struct {
	// Voting says that the member's first start or repair is done.
	Voting bool
	// Nonce is drawn when the folder is first used; it tells a folder that
	// never voted from one that took its place.
	Nonce uint64
	// Damaged says that the folder held something that can't be used. Such a
	// member can't be a founder.
	Damaged bool
	// Founders are the nonces of all members at the first start.
	Founders [MaxMembers]uint64
	// Generation is the fence of the last repair; zero before any.
	Generation Ballot
	// Fences are the newest fences of all members that are known.
	Fences Ballots
	// Promised is the highest promised ballot, never below Accepted.
	Promised Ballot
	// Accepted is the ballot of Value.
	Accepted Ballot
	Value    *Value
	// Committed is the highest ballot known to be chosen, and its value.
	Committed      Ballot
	CommittedValue *Value
}

// empty says that the folder never held a vote or a value.
func (s State) empty() bool {
	return !s.Voting && !s.Damaged && s.Accepted.IsZero() && s.Committed.IsZero()
}

// Acceptor is the voting half of a member. It is not safe for concurrent use.
type Acceptor struct {
	self  MemberID
	state State
}

// NewAcceptor returns an acceptor that goes on from a state on disk.
func NewAcceptor(self MemberID, state State) *Acceptor {
	return &Acceptor{self: self, state: state}
}

// State returns the state that must be durable before any answer that changed
// it is sent.
func (a *Acceptor) State() State { return a.state }

func (a *Acceptor) standing() Standing {
	return Standing{
		Member: a.self, Voting: a.state.Voting, Generation: a.state.Generation,
		Fences: a.state.Fences, Promised: a.state.Promised,
	}
}

func (a *Acceptor) holding(have Ballot) Holding {
	h := Holding{Accepted: a.state.Accepted, Committed: a.state.Committed == a.state.Accepted}
	if have != a.state.Accepted {
		h.Value = a.state.Value
	}
	return h
}

// Prepare gives or refuses a promise. The flag says whether the state changed.
func (a *Acceptor) Prepare(m Prepare) (Promise, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Promise{Standing: a.standing(), Ballot: m.Ballot}, false
	}
	changed := a.state.Promised != m.Ballot
	a.state.Promised = m.Ballot
	return Promise{Standing: a.standing(), Holding: a.holding(m.Have), Ballot: m.Ballot, OK: true}, changed
}

// Accept accepts or refuses a value. The flag says whether the state changed.
func (a *Acceptor) Accept(m Accept) (Accepted, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Accepted{Standing: a.standing(), Ballot: m.Ballot}, false
	}
	changed := a.state.Accepted != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Accepted = m.Ballot
	a.state.Value = m.Value
	return Accepted{Standing: a.standing(), Ballot: m.Ballot, OK: true}, changed
}

// Learn marks the accepted value as chosen. A member that accepted another
// ballot ignores it and learns the value later. The flag says whether the
// state changed.
func (a *Acceptor) Learn(m Learn) bool {
	if m.Ballot != a.state.Accepted || !a.state.Committed.Less(m.Ballot) {
		return false
	}
	a.state.Committed = m.Ballot
	a.state.CommittedValue = a.state.Value
	return true
}

// LearnValue takes over a value that is known to be chosen under a ballot. A
// voting member that lags accepts it too. The flag says whether the state
// changed.
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

// Query reports what was accepted; it changes nothing.
func (a *Acceptor) Query(m Query) Report {
	return Report{Round: m.Round, Standing: a.standing(), Holding: a.holding(m.Have)}
}

// Probe says whether the folder is empty; it changes nothing.
func (a *Acceptor) Probe(m Probe) ProbeReply {
	return ProbeReply{
		Standing: a.standing(), Echo: m.Nonce, Round: m.Round,
		Nonce: a.state.Nonce, Empty: a.state.empty(), Founders: a.state.Founders,
	}
}

// Fence gives or refuses the promise that another member's repair asks for.
// The flag says whether the state changed.
func (a *Acceptor) Fence(m Fence) (Fenced, bool) {
	if !a.state.Voting || m.Ballot.Less(a.state.Promised) {
		return Fenced{Standing: a.standing(), Ballot: m.Ballot}, false
	}
	changed := a.state.Promised != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Fences[m.Member] = maxBallot(a.state.Fences[m.Member], m.Ballot)
	return Fenced{
		Standing: a.standing(), Holding: a.holding(Ballot{}), Ballot: m.Ballot,
		OK: true, Founders: a.state.Founders,
	}, changed
}

// Found makes the member vote with an empty register, after its Starter said
// that every member was empty at one instant.
func (a *Acceptor) Found(founders [MaxMembers]uint64) {
	a.state.Voting = true
	a.state.Founders = founders
	a.adoptCommitted()
}

// Repaired makes the member vote again with the state that its Repair gathered.
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
// one. Any ballot above it reads that value or a later one from every quorum,
// whatever was promised here.
func (a *Acceptor) adoptCommitted() {
	if !a.state.Accepted.Less(a.state.Committed) {
		return
	}
	a.state.Accepted = a.state.Committed
	a.state.Value = a.state.CommittedValue
	a.state.Promised = maxBallot(a.state.Promised, a.state.Committed)
}

// Overtaken says whether others know of a later repair of this member than its
// state does. Such a state is an old image of the disk and must not vote.
func (a *Acceptor) Overtaken(fences Ballots) bool {
	return a.state.Voting && a.state.Generation.Less(fences[a.self])
}
