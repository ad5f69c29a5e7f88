package register

// Repair is one try of a member without its state to vote again: it makes
// n-q+1 other voting members promise a new ballot and takes over the highest
// value that they accepted. It is not safe for concurrent use.
type Repair struct {
	group    Group
	self     MemberID
	ballot   Ballot
	fenced   tally
	founders [MaxMembers]uint64
	highest  Holding
	seen     Ballot
	rejected bool
}

// Result is the state that a repair gathered.
type Result struct {
	// Ballot is the fence and the member's new generation.
	Ballot Ballot
	// Fences are the newest fences of all members.
	Fences Ballots
	// Founders are the nonces of all members at the first start.
	Founders [MaxMembers]uint64
	// Accepted and Value are the highest that the others accepted.
	Accepted Ballot
	Value    *Value
}

// NewRepair returns a try under a ballot that nothing else has.
func NewRepair(g Group, self MemberID, b Ballot) *Repair {
	return &Repair{group: g, self: self, ballot: b}
}

// Fence returns the message to every other member.
func (r *Repair) Fence() Fence { return Fence{Ballot: r.ballot, Member: r.self} }

// Fenced takes a member's answer. It returns true when the repair is done.
func (r *Repair) Fenced(m Fenced) bool {
	r.seen = maxBallot(r.seen, m.Promised)
	if m.Ballot != r.ballot || m.Member == r.self || !m.Voting {
		return false
	}
	if !m.OK {
		r.rejected = true
		return false
	}
	r.fenced.add(m.Standing)
	r.founders = m.Founders
	if r.highest.Accepted.Less(m.Accepted) {
		r.highest = m.Holding
	}
	return r.Done()
}

// Done says whether enough members promised.
func (r *Repair) Done() bool { return r.fenced.count() >= r.group.RepairQuorum() }

// Rejected says whether a member promised a higher ballot: a new try needs one
// above Seen.
func (r *Repair) Rejected() bool { return r.rejected }

// Seen returns the highest ballot that members said they promised.
func (r *Repair) Seen() Ballot { return r.seen }

// Result returns what was gathered; it holds only when the repair is done.
func (r *Repair) Result() Result {
	fences := r.fenced.fences
	fences[r.self] = maxBallot(fences[r.self], r.ballot)
	return Result{
		Ballot: r.ballot, Fences: fences, Founders: r.founders,
		Accepted: r.highest.Accepted, Value: r.highest.Value,
	}
}
