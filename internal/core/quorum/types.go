package quorum

import (
	"cmp"
	"slices"
)

// Voter is one disk that votes.
type Voter struct {
	// ID names the disk.
	ID string `json:"ID"`
	// Address is the IP:port where its process answers.
	Address string `json:"Address"`
}

// Epoch is one set of voters. Epochs are numbered from 1.
type Epoch struct {
	Number uint64  `json:"Number"`
	Voters []Voter `json:"Voters"`
}

// Majority is the number of voters that decide.
func (e Epoch) Majority() int { return len(e.Voters)/2 + 1 }

// Has says whether a disk votes in the epoch.
func (e Epoch) Has(id string) bool {
	return slices.ContainsFunc(e.Voters, func(v Voter) bool { return v.ID == id })
}

// Ballot orders the attempts of an epoch. Proposers never share a ballot. The
// zero ballot precedes all others.
type Ballot struct {
	Round uint64 `json:"Round"`
	// Proposer names an incarnation of a process.
	Proposer string `json:"Proposer"`
}

// Compare returns -1, 0 or +1 as b is lower than, equal to or higher than o.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Round, o.Round), cmp.Compare(b.Proposer, o.Proposer))
}

// Less says whether b is lower than o.
func (b Ballot) Less(o Ballot) bool { return b.Compare(o) < 0 }

// Value is what the register holds. It is never changed after it was proposed.
type Value struct {
	// Sequence grows with each value.
	Sequence uint64 `json:"Sequence"`
	// State is the content.
	State []byte `json:"State"`
	// Next names the voters of the next epoch; nil unless the value seals its
	// epoch.
	Next []Voter `json:"Next"`
}

// Accepted is a value with the ballot under which a voter accepted it.
type Accepted struct {
	Ballot Ballot `json:"Ballot"`
	Value  *Value `json:"Value"`
}

// Refusal says why a voter didn't do what it was asked; nil when it did.
type Refusal struct {
	// Promised is the higher ballot that stands in the way.
	Promised Ballot
	// Newer is a later epoch that the voter has entered.
	Newer Epoch
	// Stranger says that the asked disk isn't here, or can't take part in the
	// epoch without its first value.
	Stranger bool
}

// Prepare asks for a promise to ignore lower ballots of an epoch.
type Prepare struct {
	To     string
	Epoch  Epoch
	Ballot Ballot
	// Seed is the epoch's first value, or a later one; nil when it isn't known.
	Seed *Value
	// Have is the accepted ballot whose value the proposer holds; zero if none.
	Have Ballot
}

// Promise answers Prepare. Accepted lacks its value if the proposer holds it.
type Promise struct {
	Refusal  *Refusal
	Accepted Accepted
}

// Accept asks to accept a value.
type Accept struct {
	To     string
	Epoch  Epoch
	Ballot Ballot
	Value  *Value
}
