package register

import "cmp"

// MaxMembers is the largest number of members of a group.
const MaxMembers = 5

// MemberID is a member's index among the sorted names of its group.
type MemberID uint8

// Ballot orders the attempts and repairs of all members. No two share a ballot:
// rounds increase within an incarnation of a member, and each start of the
// member has another incarnation. The zero ballot precedes all others.
type Ballot struct {
	Round       uint64
	Member      MemberID
	Incarnation uint64
}

// Compare returns -1, 0 or +1 if b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	if c := cmp.Compare(b.Round, o.Round); c != 0 {
		return c
	}
	if c := cmp.Compare(b.Member, o.Member); c != 0 {
		return c
	}
	return cmp.Compare(b.Incarnation, o.Incarnation)
}

// Less says whether b is lower than o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

// IsZero says whether b is the zero ballot.
func (b Ballot) IsZero() bool { return b == Ballot{} }

func maxBallot(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

// Ballots holds one ballot for each member, indexed by MemberID.
type Ballots [MaxMembers]Ballot

// merge raises each ballot of b to that of o if it is lower.
func (b *Ballots) merge(o Ballots) {
	for i := range b {
		b[i] = maxBallot(b[i], o[i])
	}
}

// Group is the set of members of a register.
type Group struct {
	// Members is the number of members: 1, 3 or 5.
	Members int
}

// Quorum is the number of members that form a majority.
func (g Group) Quorum() int { return g.Members/2 + 1 }

// RepairQuorum is the number of other voting members that a repair needs:
// n-q+1, so that they share with every quorum a member other than the repaired
// one.
func (g Group) RepairQuorum() int { return g.Members - g.Quorum() + 1 }

// BallotSource generates the ballots of one member. The zero value is not usable.
type BallotSource struct {
	member      MemberID
	incarnation uint64
	round       uint64
}

// NewBallotSource returns the source for an incarnation of a member. The
// incarnation must differ at each start of the member.
func NewBallotSource(member MemberID, incarnation uint64) *BallotSource {
	return &BallotSource{member: member, incarnation: incarnation}
}

// Observe makes sure that later ballots are higher than b.
func (s *BallotSource) Observe(b Ballot) { s.round = max(s.round, b.Round) }

// Next returns a ballot higher than all that were observed or returned before.
func (s *BallotSource) Next() Ballot {
	s.round++
	return Ballot{Round: s.round, Member: s.member, Incarnation: s.incarnation}
}
