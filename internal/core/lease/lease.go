// Package lease decides who dispatches the requests of a region.
//
// A holder needs the votes of a majority. A voter gives its vote for a region
// to one candidate at a time, for a term, and keeps it in memory; so one that
// has just started gives none before a whole term has passed. The holder counts
// a term from when it asked, the voter from when it answered, and a margin
// covers clocks that run apart: no two holders overlap.
package lease

import (
	"cmp"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

const (
	// Term is how long a vote binds.
	Term = 1500 * time.Millisecond
	// margin is the part of a term that a holder doesn't use.
	margin = 150 * time.Millisecond
)

// Ballots are the votes that one voter has given. Not safe for concurrent use.
type Ballots struct {
	mayVote time.Time
	votes   map[string]vote
}

type vote struct {
	holder string
	until  time.Time
}

// NewBallots returns the ballots of a voter that starts now.
func NewBallots(now time.Time) *Ballots {
	return &Ballots{mayVote: now.Add(Term), votes: make(map[string]vote)}
}

// Ask gives or refuses a vote for a region.
func (b *Ballots) Ask(now time.Time, region, candidate string) bool {
	if now.Before(b.mayVote) {
		return false
	}
	if v := b.votes[region]; v.holder != candidate && now.Before(v.until) {
		return false
	}
	b.votes[region] = vote{candidate, now.Add(Term)}
	return true
}

// Drop takes a vote back that the holder no longer needs.
func (b *Ballots) Drop(region, holder string) {
	if b.votes[region].holder == holder {
		delete(b.votes, region)
	}
}

// Candidate gathers the votes for one region. Not safe for concurrent use.
type Candidate struct{ until map[string]time.Time }

// NewCandidate returns a candidate without votes.
func NewCandidate() *Candidate { return &Candidate{until: make(map[string]time.Time)} }

// Voted takes the answer of a voter that was asked at a time.
func (c *Candidate) Voted(voter string, asked time.Time, given bool) {
	if given {
		c.until[voter] = asked.Add(Term - margin)
	}
}

// Holds says whether a majority of the voters has given its votes.
func (c *Candidate) Holds(now time.Time, voters []string) bool {
	n := 0
	for _, v := range voters {
		if now.Before(c.until[v]) {
			n++
		}
	}
	return n > len(voters)/2
}

// Resign forgets all votes.
func (c *Candidate) Resign() { c.until = make(map[string]time.Time) }

// Before says whether a controller is to dispatch a region rather than another:
// one of the region's own first, then by rendezvous hashing, which spreads the
// regions and needs no agreement.
func Before(region, regionA, addressA, regionB, addressB string) bool {
	if (regionA == region) != (regionB == region) {
		return regionA == region
	}
	return cmp.Or(
		cmp.Compare(rendezvous.Weight(addressA, region), rendezvous.Weight(addressB, region)), cmp.Compare(addressA, addressB)) > 0
}
