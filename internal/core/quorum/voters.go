package quorum

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a controller's disk, as known to the controller that proposes the next
// voters.
type Candidate struct {
	Voter
	// Region and Zone are those of its VM; empty if they aren't known.
	Region, Zone string
	// Unreachable is the time since the controller last answered.
	Unreachable time.Duration
	// Lost means that the disk is gone: its address has another one now.
	Lost bool
	// Stopping means that the controller has said that its process ends.
	Stopping bool
}

const (
	// replaceAfter is how long a voter has to be unreachable before another disk
	// replaces it, or before it is removed where that costs no tolerance: longer than
	// a restart, shorter than the time until another voter may be lost.
	replaceAfter = 2 * time.Second
	// minVoters is the smallest number of voters that remain after some are removed
	// without a replacement.
	minVoters = 3
	// maxVoters bounds the voters of an epoch: further ones add little safety and
	// slow every change.
	maxVoters = 9
)

// gone reports whether the voter is to be replaced.
func (c Candidate) gone() bool { return c.Lost || c.Stopping || c.Unreachable > replaceAfter }

// NextVoters returns the voters that the next epoch should have, given those of the
// current one and the spares, the disks of live controllers that don't vote. It returns
// nil if the current ones should stay. tolerated is the number of disks that may be lost
// at the same time.
//
// The number of voters is kept odd: 2k voters tolerate k-1 losses, as 2k-1 do, but each
// of the 2k that is gone counts against them. So a spare replaces a voter in one step,
// and the number grows by two spares at a time.
func NextVoters(current, spares []Candidate, tolerated int) []Voter {
	e := election{voters: slices.Clone(current), spares: slices.Clone(spares), least: LeastVoters(tolerated)}
	e.spares = slices.DeleteFunc(e.spares, Candidate.gone)
	e.replaceGone()
	e.grow()
	if !e.changed {
		e.removeGone()
	}
	if !e.changed {
		e.spread()
	}
	if !e.changed {
		return nil
	}
	out := make([]Voter, len(e.voters))
	for i, v := range e.voters {
		out[i] = v.Voter
	}
	return out
}

// LeastVoters returns the smallest number of voters that bears the loss of so many disks
// at the same time.
func LeastVoters(tolerated int) int { return max(minVoters, 2*tolerated+1) }

// election is the choice of the next voters.
type election struct {
	voters, spares []Candidate
	// least is the number of voters below which none is removed without a replacement.
	least   int
	changed bool
}

// replaceGone replaces the voters that are gone: those whose address has another disk
// now by that disk, the others by the spares.
func (e *election) replaceGone() {
	for i, v := range e.voters {
		sameAddress := func(s Candidate) bool { return s.Address == v.Address }
		if at := slices.IndexFunc(e.spares, sameAddress); at >= 0 {
			e.replace(i, at)
		}
	}
	for _, worse := range []func(Candidate) bool{
		func(v Candidate) bool { return v.Lost },
		func(v Candidate) bool { return v.gone() && !v.Stopping },
		Candidate.gone,
	} {
		for i, v := range e.voters {
			if worse(v) && len(e.spares) > 0 {
				e.replace(i, e.nextSpare())
			}
		}
	}
}

// replace replaces voter i by a spare.
func (e *election) replace(i, spare int) {
	e.voters[i] = e.spares[spare]
	e.spares = slices.Delete(e.spares, spare, spare+1)
	e.changed = true
}

// grow adds spares up to the largest odd number of voters.
func (e *election) grow() {
	for len(e.voters) < maxVoters {
		missing := 1 + len(e.voters)%2
		if len(e.spares) < missing {
			return
		}
		for range missing {
			at := e.nextSpare()
			e.voters = append(e.voters, e.spares[at])
			e.spares = slices.Delete(e.spares, at, at+1)
		}
		e.changed = true
	}
}

// removeGone removes voters for which there is no spare: one of an even number, since
// the others tolerate as many losses without it, or two of an odd number if the others
// bear the tolerated losses alone. With fewer than these, those that come back with
// their disks are needed.
func (e *election) removeGone() {
	count := 1 + len(e.voters)%2
	var gone []int
	for i, v := range e.voters {
		if v.gone() {
			gone = append(gone, i)
		}
	}
	if len(gone) < count || len(e.voters)-count < e.least {
		return
	}
	for _, i := range slices.Backward(gone[:count]) {
		e.voters = slices.Delete(e.voters, i, i+1)
	}
	e.changed = true
}

// spread replaces one voter of a region or failure domain whose loss would take the
// majority by a spare outside it.
func (e *election) spread() {
	for _, domain := range []func(Candidate) string{
		func(c Candidate) string { return c.Region }, func(c Candidate) string { return c.Zone },
	} {
		majority := len(e.voters)/2 + 1
		for i, v := range slices.Backward(e.voters) {
			count := e.countIn(domain, domain(v))
			if domain(v) == "" || len(e.voters)-count >= majority {
				continue
			}
			at := e.nextSpare()
			if at >= 0 && domain(e.spares[at]) != domain(v) && e.countIn(domain, domain(e.spares[at]))+1 < count {
				e.replace(i, at)
				return
			}
		}
	}
}

// nextSpare returns the index of the spare whose region, then failure domain, has the
// fewest voters that aren't gone; -1 without a spare.
func (e *election) nextSpare() int {
	best := -1
	for i, s := range e.spares {
		if best < 0 || e.compareSpares(s, e.spares[best]) < 0 {
			best = i
		}
	}
	return best
}

func (e *election) compareSpares(a, b Candidate) int {
	region := func(c Candidate) string { return c.Region }
	zone := func(c Candidate) string { return c.Zone }
	return cmp.Or(
		cmp.Compare(e.countIn(region, a.Region), e.countIn(region, b.Region)),
		cmp.Compare(e.countIn(zone, a.Zone), e.countIn(zone, b.Zone)),
		cmp.Compare(a.Address, b.Address),
	)
}

// countIn returns the number of voters in a domain that aren't gone.
func (e *election) countIn(domain func(Candidate) string, name string) int {
	n := 0
	for _, v := range e.voters {
		if !v.gone() && domain(v) == name {
			n++
		}
	}
	return n
}
