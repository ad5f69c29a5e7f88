package register

import "sassafrasreach/internal/port"

// Phase is how far an attempt has come.
type Phase uint8

const (
	// Preparing waits for promises.
	Preparing Phase = iota
	// Accepting waits for acceptances: the value may become chosen.
	Accepting
	// Chosen means that a quorum accepted the value.
	Chosen
	// Rejected means that the attempt can't succeed: a member promised a
	// higher ballot, or a member's answer was of an older generation.
	Rejected
	// Refused means that the change can't be proposed at all; see Err.
	Refused
)

// Decide computes the value to accept from the one in the register, nil when
// it is empty.
type Decide func(current *Value) (*Value, port.Outcome, error)

// Keep is the Decide of a read: it accepts the value again as it is.
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
	highest  Holding
	proposed *Value
	outcome  port.Outcome
	err      error
	seen     Ballot
}

// NewAttempt returns an attempt under a ballot that no other attempt has. The
// proposer holds have already, so that members needn't send it.
func NewAttempt(g Group, b Ballot, have Holding, decide Decide) *Attempt {
	return &Attempt{group: g, ballot: b, decide: decide, highest: have}
}

// Prepare returns the message to every member that starts the attempt.
func (a *Attempt) Prepare() Prepare { return Prepare{Ballot: a.ballot, Have: a.highest.Accepted} }

// Promise takes a member's answer. It returns true when the message of Accept
// is to be sent to every member.
func (a *Attempt) Promise(m Promise) bool {
	a.seen = maxBallot(a.seen, m.Promised)
	if a.phase != Preparing || m.Ballot != a.ballot {
		return false
	}
	if !m.OK {
		a.reject(m.Standing)
		return false
	}
	a.promises.add(m.Standing)
	if a.highest.Accepted.Less(m.Accepted) {
		a.highest = m.Holding
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

// Accept returns the message to every member after Promise returned true.
func (a *Attempt) Accept() Accept { return Accept{Ballot: a.ballot, Value: a.proposed} }

// Accepted takes a member's answer. It returns true when the value was chosen
// by it; the message of Learn may be sent to every member then.
func (a *Attempt) Accepted(m Accepted) bool {
	a.seen = maxBallot(a.seen, m.Promised)
	if a.phase != Accepting || m.Ballot != a.ballot {
		return false
	}
	if !m.OK {
		a.reject(m.Standing)
		return false
	}
	a.accepts.add(m.Standing)
	if a.accepts.count() < a.group.Quorum() {
		return false
	}
	a.phase = Chosen
	return true
}

// Learn returns the message to every member after Accepted returned true.
func (a *Attempt) Learn() Learn { return Learn{Ballot: a.ballot} }

// reject ends the attempt when a voting member promised a higher ballot. A
// member that doesn't vote is only missing from the quorum.
func (a *Attempt) reject(s Standing) {
	if s.Voting {
		a.phase = Rejected
	}
}

// Phase returns how far the attempt has come.
func (a *Attempt) Phase() Phase { return a.phase }

// Seen returns the highest ballot that members said they promised.
func (a *Attempt) Seen() Ballot { return a.seen }

// Ballot returns the attempt's ballot.
func (a *Attempt) Ballot() Ballot { return a.ballot }

// Outcome returns the change's outcome; it holds only in phase Chosen. The
// error is set only in phase Refused.
func (a *Attempt) Outcome() (port.Outcome, error) { return a.outcome, a.err }

// Value returns the value that was proposed; nil before.
func (a *Attempt) Value() *Value { return a.proposed }

// tally counts the members that agreed and leaves out those of an older
// generation than some other answer names.
type tally struct {
	generations Ballots
	agreed      [MaxMembers]bool
	fences      Ballots
}

func (t *tally) add(s Standing) {
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

// counts says whether a member agreed in the newest generation that is known.
func (t *tally) counts(i int) bool {
	return t.agreed[i] && !t.generations[i].Less(t.fences[i])
}
