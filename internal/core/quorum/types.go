package quorum

import (
	"cmp"
	"slices"
)

// Voter is a disk that votes, and the address of its process.
type Voter struct {
	// ID identifies the disk.
	ID string `json:"ID"`
	// Address is the IP:port of the process that serves the disk.
	Address string `json:"Address"`
}

// Epoch is a period with a fixed set of voters. Epochs are numbered from 1.
type Epoch struct {
	Number uint64  `json:"Number"`
	Voters []Voter `json:"Voters"`
}

// Majority is the number of voters that form a majority.
func (e Epoch) Majority() int { return len(e.Voters)/2 + 1 }

// Has says whether a disk is a voter of the epoch.
func (e Epoch) Has(id string) bool {
	return slices.ContainsFunc(e.Voters, func(v Voter) bool { return v.ID == id })
}

// HasAddress says whether the process at an address serves a voter of the epoch.
func (e Epoch) HasAddress(address string) bool {
	return slices.ContainsFunc(e.Voters, func(v Voter) bool { return v.Address == address })
}

// Ballot orders the attempts of an epoch. No two proposers use the same ballot. The
// zero ballot precedes all others.
type Ballot struct {
	Round uint64 `json:"Round"`
	// Proposer identifies an incarnation of the proposing process.
	Proposer string `json:"Proposer"`
}

// Compare returns -1, 0 or +1 if b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer, o.Proposer))
}

// Less says whether b is lower than o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

// Value is the content of the register. It is never modified after it was proposed.
type Value struct {
	// Sequence increases with each change of the content. A value that changes only
	// the voters, and the first value of the next epoch, keep it.
	Sequence uint64 `json:"Sequence"`
	// State is the encoded content.
	State []byte `json:"State"`
	// Next holds the voters of the next epoch; nil unless the value seals its
	// epoch.
	Next []Voter `json:"Next"`
}

// Accepted is a value with the ballot under which a voter accepted it.
type Accepted struct {
	Ballot Ballot `json:"Ballot"`
	Value  *Value `json:"Value"`
}

// Refusal is the reason why a voter gave no promise or didn't accept a value. A nil
// Refusal means that it did.
type Refusal struct {
	// Promised is the higher ballot that the voter has promised; zero if that
	// isn't the reason.
	Promised Ballot
	// Newer is a later epoch that the voter has entered; its number is zero if
	// there is none.
	Newer Epoch
	// CannotVote says that the disk can't vote in the epoch: the process has
	// another disk, the epoch doesn't name the disk, or the disk hasn't entered
	// the epoch and the message is an Accept or has no Seed to enter it with.
	CannotVote bool
}

// Prepare requests a promise to ignore lower ballots of an epoch.
type Prepare struct {
	// To is the ID of the voter's disk.
	To     string
	Epoch  Epoch
	Ballot Ballot
	// Seed is the epoch's first value, or a later one; nil if none is known.
	Seed *Value
	// Have is the accepted ballot whose value the proposer already has; zero if
	// none.
	Have Ballot
}

// Promise answers Prepare. Accepted has no value if the proposer already has it.
type Promise struct {
	Refusal  *Refusal
	Accepted Accepted
}

// Accept requests that a voter accept a value.
type Accept struct {
	// To is the ID of the voter's disk.
	To     string
	Epoch  Epoch
	Ballot Ballot
	Value  *Value
}
