package register

// MemberState is the part of every answer that describes the answering member.
type MemberState struct {
	Member MemberID
	// Voting says that the member's state is complete and that its answers count
	// for a quorum. If false, nothing else in the answer counts, unless it is a
	// ProbeReply.
	Voting bool
	// Generation is the fence of the member's last repair; zero if it was never
	// repaired.
	Generation Ballot
	// Fences holds the newest fence of each member that this one knows of.
	Fences Ballots
	// Promised is the highest ballot that the member promised.
	Promised Ballot
}

// AcceptedValue is what a member accepted.
type AcceptedValue struct {
	// Accepted is the ballot under which Value was accepted.
	Accepted Ballot
	// Value is nil when the requester has it already or nothing was accepted.
	Value *Value
	// Committed says that Value is known to be chosen.
	Committed bool
}

// Prepare requests a promise to ignore ballots lower than Ballot.
type Prepare struct {
	Ballot Ballot
	// Have is the accepted ballot whose value the proposer already has.
	Have Ballot
}

// Promise answers Prepare.
type Promise struct {
	MemberState
	AcceptedValue
	Ballot Ballot
	// OK says that the promise was given.
	OK bool
}

// Accept requests that a member accept a value.
type Accept struct {
	Ballot Ballot
	Value  *Value
}

// Accepted answers Accept.
type Accepted struct {
	MemberState
	Ballot Ballot
	// OK says that the value was accepted.
	OK bool
}

// Learn announces that the value accepted under a ballot was chosen. It has no
// answer.
type Learn struct {
	Ballot Ballot
}

// Query requests what a member accepted, without a promise.
type Query struct {
	// Round distinguishes the requester's query rounds.
	Round uint64
	// Have is the accepted ballot whose value the requester already has.
	Have Ballot
}

// Report answers Query.
type Report struct {
	// Round is copied from the query.
	Round uint64
	MemberState
	AcceptedValue
}

// Probe requests whether a member's folder is empty.
type Probe struct {
	// Nonce is that of the requester's folder; Round counts its probe rounds.
	Nonce uint64
	Round uint64
}

// ProbeReply answers Probe.
type ProbeReply struct {
	MemberState
	// Echo is the nonce of the probe; Round is copied from it.
	Echo  uint64
	Round uint64
	// Nonce is that of the answering member's folder.
	Nonce uint64
	// Empty says that the folder never held a vote, a value or unusable data.
	Empty bool
	// Founders holds the nonces of all members when the group was founded.
	Founders [MaxMembers]uint64
}

// Fence requests a promise on behalf of Member, which lost its disk.
type Fence struct {
	Ballot Ballot
	Member MemberID
}

// Fenced answers Fence.
type Fenced struct {
	MemberState
	AcceptedValue
	Ballot Ballot
	// OK says that the promise was given.
	OK bool
	// Founders holds the nonces of all members when the group was founded.
	Founders [MaxMembers]uint64
}
