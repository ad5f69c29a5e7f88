package register

// Repair is one attempt of a member that lost its state to vote again. It
// collects promises for a new ballot from n-q+1 other voting members and adopts
// the value that they accepted under the highest ballot. It is not safe for
// concurrent use.
type Repair struct {
	group    Group
	self     MemberID
	ballot   Ballot
	fenced   tally
	founders [MaxMembers]uint64
	highest  AcceptedValue
	seen     Ballot
	rejected bool
}

// Result is the state that a repair collected.
type Result struct {
	// Ballot is the fence and the member's new generation.
	Ballot Ballot
	// Fences holds the newest known fence of each member.
	Fences Ballots
	// Founders holds the nonces of all members when the group was founded.
	Founders [MaxMembers]uint64
	// Accepted is the highest ballot under which the promising members accepted
	// a value, which is Value.
	Accepted Ballot
	Value    *Value
}

// NewRepair returns a repair under a ballot that no attempt and no other repair
// uses.
func NewRepair(g Group, self MemberID, b Ballot) *Repair {
	return &Repair{group: g, self: self, ballot: b}
}

// Fence returns the message for every other member.
func (r *Repair) Fence() Fence { return Fence{Ballot: r.ballot, Member: r.self} }

// Fenced handles a member's answer. It returns true when enough members have
// promised.
func (r *Repair) Fenced(m Fenced) bool {
	r.seen = maxBallot(r.seen, m.Promised)
	if m.Ballot != r.ballot || m.Member == r.self || !m.Voting {
		return false
	}
	if !m.OK {
		r.rejected = true
		return false
	}
	r.fenced.add(m.MemberState)
	r.founders = m.Founders
	if r.highest.Accepted.Less(m.Accepted) {
		r.highest = m.AcceptedValue
	}
	return r.Done()
}

// Done says whether enough members have promised.
func (r *Repair) Done() bool { return r.fenced.count() >= r.group.RepairQuorum() }

// Rejected says whether a member refused because it promised a higher ballot. A
// new repair then needs a ballot above Seen.
func (r *Repair) Rejected() bool { return r.rejected }

// Seen returns the highest ballot that members reported as promised.
func (r *Repair) Seen() Ballot { return r.seen }

// Result returns the collected state. It is valid only when the repair is done.
func (r *Repair) Result() Result {
	fences := r.fenced.fences
	fences[r.self] = maxBallot(fences[r.self], r.ballot)
	return Result{
		Ballot: r.ballot, Fences: fences, Founders: r.founders,
		Accepted: r.highest.Accepted, Value: r.highest.Value,
	}
}
