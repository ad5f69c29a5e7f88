// Package lease decides which controller dispatches the requests of a region.
//
// The dispatcher of a region holds a lease: the votes of a majority of the
// voters. A voter grants its vote for a region to one candidate at a time, for
// one term, and keeps it in memory only; a voter that has just started
// therefore grants no vote until a whole term has passed. The holder counts the
// term from when it sent its request, the voter from when it granted the vote,
// and the holder stops earlier by a margin that covers clocks running at
// different rates. So two holders never overlap.
package lease

import (
	"cmp"
	"slices"
	"time"

	"sassafrasreach/internal/core/rendezvous"
)

const (
	// Term is how long a granted vote binds the voter.
	Term = 1500 * time.Millisecond
	// margin is the part of a term that the holder does not use.
	margin = 150 * time.Millisecond
)

// GrantedVotes holds the votes that one voter has granted, at most one per
// region. Not safe for concurrent use.
type GrantedVotes struct {
	mayVoteAt time.Time
	votes     map[string]vote
}

type vote struct {
	holder string
	until  time.Time
}

// NewGrantedVotes returns the votes of a voter that starts now. It grants none
// for one Term.
func NewGrantedVotes(now time.Time) *GrantedVotes {
	return &GrantedVotes{mayVoteAt: now.Add(Term), votes: make(map[string]vote)}
}

// RequestVote handles a candidate's request for the vote for a region and says
// whether the vote is granted. It is refused for one Term after the voter's
// start, and while another candidate has an unexpired vote. A candidate that
// already has the vote gets it for another Term from now.
func (g *GrantedVotes) RequestVote(now time.Time, region, candidate string) bool {
	if now.Before(g.mayVoteAt) {
		return false
	}
	if v := g.votes[region]; v.holder != candidate && now.Before(v.until) {
		return false
	}
	g.votes[region] = vote{candidate, now.Add(Term)}
	return true
}

// ReleaseVote releases the vote for a region if holder has it, so that another
// candidate can get it before the term ends.
func (g *GrantedVotes) ReleaseVote(region, holder string) {
	if g.votes[region].holder == holder {
		delete(g.votes, region)
	}
}

// Candidate collects the votes granted to one candidate for one region. Not
// safe for concurrent use.
type Candidate struct{ expiry map[string]time.Time }

// NewCandidate returns a candidate without votes.
func NewCandidate() *Candidate { return &Candidate{expiry: make(map[string]time.Time)} }

// RecordReply records the reply of a voter to a request sent at sentAt. A
// refusal leaves an earlier vote in place.
func (c *Candidate) RecordReply(voter string, sentAt time.Time, granted bool) {
	if granted {
		c.expiry[voter] = sentAt.Add(Term - margin)
	}
}

// Holds says whether a majority of the voters has granted votes that are
// unexpired at now.
func (c *Candidate) Holds(now time.Time, voters []string) bool {
	n := 0
	for _, v := range voters {
		if now.Before(c.expiry[v]) {
			n++
		}
	}
	return n > len(voters)/2
}

// Until returns when the last majority of unexpired votes ends if no further votes come;
// zero if there was never one.
func (c *Candidate) Until(voters []string) time.Time {
	ends := make([]time.Time, len(voters))
	for i, v := range voters {
		ends[i] = c.expiry[v]
	}
	slices.SortFunc(ends, func(a, b time.Time) int { return b.Compare(a) })
	if len(ends) == 0 {
		return time.Time{}
	}
	return ends[len(ends)/2]
}

// DiscardVotes discards all votes.
func (c *Candidate) DiscardVotes() { c.expiry = make(map[string]time.Time) }

// Precedes says whether controller A is preferred to controller B as the
// dispatcher of a region: one located in the region comes first, then the one
// with the higher rendezvous weight, then the one with the higher address.
// Rendezvous hashing spreads the regions over the controllers and needs no
// agreement between them.
func Precedes(region, regionA, addressA, regionB, addressB string) bool {
	if (regionA == region) != (regionB == region) {
		return regionA == region
	}
	return cmp.Or(
		cmp.Compare(rendezvous.Weight(addressA, region), rendezvous.Weight(addressB, region)), cmp.Compare(addressA, addressB)) > 0
}
