package register

// Standing is what a member says of itself in every answer.
type Standing struct {
	Member MemberID
	// Voting says that the member's state is whole. The other answer fields
	// of a member that isn't voting mean nothing.
	Voting bool
	// Generation is the fence of the member's last repair; zero before any.
	Generation Ballot
	// Fences are the newest fences of all members that this one knows of.
	Fences Ballots
	// Promised is the highest ballot that the member promised.
	Promised Ballot
}

// Holding is what a member accepted.
type Holding struct {
	// Accepted is the ballot under which Value was accepted.
	Accepted Ballot
	// Value is nil when the asker has it already or nothing was accepted.
	Value *Value
	// Committed says that Value is known to be chosen.
	Committed bool
}

// Prepare asks a member to promise to ignore ballots lower than Ballot.
type Prepare struct {
	Ballot Ballot
	// Have is the accepted ballot whose value the asker has.
	Have Ballot
}

// Promise answers Prepare.
type Promise struct {
	Standing
	Holding
	Ballot Ballot
	// OK says that the promise was given.
	OK bool
}

// Accept asks a member to accept a value.
type Accept struct {
	Ballot Ballot
	Value  *Value
}

// Accepted answers Accept.
type Accepted struct {
	Standing
	Ballot Ballot
	// OK says that the value was accepted.
	OK bool
}

// Learn tells that the value of a ballot was chosen.
type Learn struct {
	Ballot Ballot
}

// Query asks what a member accepted, without a promise.
type Query struct {
	// Round tells the asker's query rounds apart.
	Round uint64
	// Have is the accepted ballot whose value the asker has.
	Have Ballot
}

// Report answers Query.
type Report struct {
	// Round is the query's.
	Round uint64
	Standing
	Holding
}

// Probe asks a member whether its folder is empty.
type Probe struct {
	// Nonce is of the asker's folder, Round counts its probes.
	Nonce uint64
	Round uint64
}

// ProbeReply answers Probe.
type ProbeReply struct {
	Standing
	// Echo and Round are the probe's.
	Echo  uint64
	Round uint64
	// Nonce is of the answering member's folder.
	Nonce uint64
	// Empty says that the folder never held a vote or a chosen value.
	Empty bool
	// Founders are the nonces of all members at the first start.
	Founders [MaxMembers]uint64
}

// Fence asks a member for a promise on behalf of Member, which lost its disk.
type Fence struct {
	Ballot Ballot
	Member MemberID
}

// Fenced answers Fence.
type Fenced struct {
	Standing
	Holding
	Ballot Ballot
	// OK says that the promise was given.
	OK bool
	// Founders are the nonces of all members at the first start.
	Founders [MaxMembers]uint64
}
