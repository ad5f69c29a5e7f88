package register

import "sassafrasreach/internal/port"

// Phase is the progress of an attempt.
type Phase uint8

const (
	// Preparing means that the attempt waits for a quorum of promises.
	Preparing Phase = iota
	// Accepting means that the attempt waits for a quorum of acceptances. The
	// value may become chosen even if the attempt never learns it.
	Accepting
	// Chosen means that a quorum accepted the value.
	Chosen
	// Rejected means that a voting member refused because it promised a higher
	// ballot.
	Rejected
	// Refused means that Decide returned an error and nothing was proposed; see
	// Outcome.
	Refused
)

// Decide computes the value to propose from the current value, which is nil
// when the register is empty. After an error nothing is proposed.
type Decide func(current *Value) (*Value, port.Outcome, error)

// Keep is the Decide of a read: it proposes the current value unchanged.
func Keep(current *Value) (*Value, port.Outcome, error) { return current, port.Outcome{}, nil }

// Attempt is one read-modify-write of the register under one ballot. It is not
// safe for concurrent use.
type Attempt struct {
	group    Group
	ballot   Ballot
	decide   Decide
	phase    Phase
	promises tally
	accepts  tally
	highest  AcceptedValue
	proposed *Value
	outcome  port.Outcome
	err      error
	seen     Ballot
}

// NewAttempt returns an attempt under a ballot that no other attempt uses. The
// proposer already has the value of have, so members omit it from their answers.
func NewAttempt(g Group, b Ballot, have AcceptedValue, decide Decide) *Attempt {
	return &Attempt{group: g, ballot: b, decide: decide, highest: have}
}

// Prepare returns the message that starts the attempt, for every member.
func (a *Attempt) Prepare() Prepare { return Prepare{Ballot: a.ballot, Have: a.highest.Accepted} }

// Promise handles a member's answer to Prepare. It returns true when a quorum
// has promised and the message of Accept is to be sent to every member.
func (a *Attempt) Promise(m Promise) bool {
	a.seen = maxBallot(a.seen, m.Promised)
	if a.phase != Preparing || m.Ballot != a.ballot {
		return false
	}
	if !m.OK {
		a.reject(m.MemberState)
		return false
	}
	a.promises.add(m.MemberState)
	if a.highest.Accepted.Less(m.Accepted) {
		a.highest = m.AcceptedValue
	}
	if a.promises.count() < a.group.Quorum() {
		return false
	}
	return a.propose()
}

func (a *Attempt) propose() bool {
	a.proposed, a.outcome, a.err = a.decide(a.highest.Value)
	if a.err != nil {
		a.phase = Refused
		return false
	}
	a.phase = Accepting
	return true
}

// Accept returns the message for every member after Promise returned true.
func (a *Attempt) Accept() Accept { return Accept{Ballot: a.ballot, Value: a.proposed} }

// Accepted handles a member's answer to Accept. It returns true when this
// answer completes the quorum, so that the value is chosen; the message of Learn
// may then be sent to every member.
func (a *Attempt) Accepted(m Accepted) bool {
	a.seen = maxBallot(a.seen, m.Promised)
	if a.phase != Accepting || m.Ballot != a.ballot {
		return false
	}
	if !m.OK {
		a.reject(m.MemberState)
		return false
	}
	a.accepts.add(m.MemberState)
	if a.accepts.count() < a.group.Quorum() {
		return false
	}
	a.phase = Chosen
	return true
}

// Learn returns the message for every member after Accepted returned true.
func (a *Attempt) Learn() Learn { return Learn{Ballot: a.ballot} }

// reject ends the attempt when a voting member promised a higher ballot. A
// member that doesn't vote can't contribute to the quorum, but doesn't end the
// attempt either.
func (a *Attempt) reject(s MemberState) {
	if s.Voting {
		a.phase = Rejected
	}
}

// Phase returns the progress of the attempt.
func (a *Attempt) Phase() Phase { return a.phase }

// Seen returns the highest ballot that members reported as promised.
func (a *Attempt) Seen() Ballot { return a.seen }

// Ballot returns the attempt's ballot.
func (a *Attempt) Ballot() Ballot { return a.ballot }

// Outcome returns the outcome of the change, which is valid only in phase
// Chosen. The error is that of Decide and is set only in phase Refused.
func (a *Attempt) Outcome() (port.Outcome, error) { return a.outcome, a.err }

// Value returns the proposed value, nil before it is proposed.
func (a *Attempt) Value() *Value { return a.proposed }

// tally counts the members that agreed. It leaves out a member whose answer is
// of an older generation than the newest fence reported for that member.
type tally struct {
	generations Ballots
	agreed      [MaxMembers]bool
	fences      Ballots
}

func (t *tally) add(s MemberState) {
	t.fences.merge(s.Fences)
	t.fences[s.Member] = maxBallot(t.fences[s.Member], s.Generation)
	if t.agreed[s.Member] && s.Generation.Less(t.generations[s.Member]) {
		return
	}
	t.agreed[s.Member] = true
	t.generations[s.Member] = s.Generation
}

func (t *tally) count() int {
	n := 0
	for i := range t.agreed {
		if t.counts(i) {
			n++
		}
	}
	return n
}

// counts says whether a member agreed in its newest known generation.
func (t *tally) counts(i int) bool {
	return t.agreed[i] && !t.generations[i].Less(t.fences[i])
}
