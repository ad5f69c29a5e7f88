package quorum

// Phase is the progress of an attempt.
type Phase uint8

const (
	// Preparing means that the attempt waits for a majority of promises.
	Preparing Phase = iota
	// Accepting means that the attempt waits for a majority of acceptances. The
	// value may become chosen even if the attempt never learns it.
	Accepting
	// Chosen means that a majority accepted the value.
	Chosen
	// Outdated means that a voter refused because of a higher ballot or a later
	// epoch.
	Outdated
	// Declined means that Decide returned an error for an empty register. Nothing
	// was proposed.
	Declined
)

// Decide computes the value to propose from the current one, which is nil when the
// register is empty. An error declines the change.
type Decide func(current *Value) (*Value, error)

// Attempt is one read-modify-write of an epoch's register under one ballot. It
// is not safe for concurrent use.
type Attempt struct {
	epoch       Epoch
	ballot      Ballot
	seed        *Value
	have        Accepted
	decide      Decide
	phase       Phase
	promised    map[string]bool
	accepted    map[string]bool
	highest     Accepted
	proposed    *Value
	epochSealed bool
	seen        Ballot
	newer       Epoch
	err         error
}

// NewAttempt returns an attempt under a ballot that no other attempt uses. The
// seed is a value of the epoch for voters that haven't entered it; it may be nil.
// The proposer already has the value of have, which was accepted in the epoch, so
// that voters omit it from their promises; have may be zero.
func NewAttempt(epoch Epoch, ballot Ballot, seed *Value, have Accepted, decide Decide) *Attempt {
	return &Attempt{
		epoch: epoch, ballot: ballot, seed: seed, have: have, decide: decide, seen: ballot,
		promised: make(map[string]bool), accepted: make(map[string]bool),
	}
}

// Prepare returns the message that starts the attempt, for one voter.
func (a *Attempt) Prepare(to string) Prepare {
	return Prepare{To: to, Epoch: a.epoch, Ballot: a.ballot, Seed: a.seed, Have: a.have.Ballot}
}

// Promise handles a voter's answer to Prepare. It returns true when a majority has
// promised and Accept is to be sent to every voter.
func (a *Attempt) Promise(from string, m Promise) bool {
	if a.recordRefusal(m.Refusal) || a.phase != Preparing || !a.epoch.Has(from) {
		return false
	}
	a.promised[from] = true
	if m.Accepted.Value == nil && m.Accepted.Ballot == a.have.Ballot {
		m.Accepted.Value = a.have.Value
	}
	if a.highest.Value == nil || a.highest.Ballot.Less(m.Accepted.Ballot) {
		a.highest = m.Accepted
	}
	if len(a.promised) < a.epoch.Majority() {
		return false
	}
	return a.propose()
}

// propose selects the value to propose. A sealed epoch keeps its last value. If the
// change is declined, the current value is proposed again: once it is chosen, the
// value that the change was declined for is known to be a chosen one.
func (a *Attempt) propose() bool {
	a.phase = Accepting
	if current := a.highest.Value; current != nil && current.Next != nil {
		a.proposed, a.epochSealed = current, true
		return true
	}
	if a.proposed, a.err = a.decide(a.highest.Value); a.err == nil {
		return true
	}
	a.proposed = a.highest.Value
	if a.proposed == nil {
		a.phase = Declined
		return false
	}
	return true
}

// Accept returns the message for one voter after Promise returned true.
func (a *Attempt) Accept(to string) Accept {
	return Accept{To: to, Epoch: a.epoch, Ballot: a.ballot, Value: a.proposed}
}

// Accepted handles a voter's answer to Accept. It returns true when this answer
// completes the majority, so that the value is chosen.
func (a *Attempt) Accepted(from string, refusal *Refusal) bool {
	if a.recordRefusal(refusal) || a.phase != Accepting || !a.epoch.Has(from) {
		return false
	}
	a.accepted[from] = true
	if len(a.accepted) < a.epoch.Majority() {
		return false
	}
	a.phase = Chosen
	return true
}

// recordRefusal records a refusal and says whether there is one. A voter that can't
// vote in the epoch doesn't count for the majority, but doesn't end the attempt
// either.
func (a *Attempt) recordRefusal(r *Refusal) bool {
	if r == nil {
		return false
	}
	if a.seen.Less(r.Promised) {
		a.seen = r.Promised
	}
	if r.Newer.Number > max(a.epoch.Number, a.newer.Number) {
		a.newer = r.Newer
	}
	if !r.CannotVote && (a.phase == Preparing || a.phase == Accepting) {
		a.phase = Outdated
	}
	return true
}

// Phase returns the progress of the attempt.
func (a *Attempt) Phase() Phase { return a.phase }

// Err returns the error of Decide; nil if the change wasn't declined. If it isn't
// nil in phase Chosen, the register's value was chosen again unchanged.
func (a *Attempt) Err() error { return a.err }

// Seen returns the highest of the attempt's ballot and those that refusals
// reported.
func (a *Attempt) Seen() Ballot { return a.seen }

// Newer returns the latest epoch after the attempt's that refusals reported; its
// number is zero if there is none.
func (a *Attempt) Newer() Epoch { return a.newer }

// EpochSealed says that the epoch was already sealed, so that the change wasn't
// made.
func (a *Attempt) EpochSealed() bool { return a.epochSealed }

// Result returns the proposed value and the attempt's ballot. In phase Chosen the
// value was chosen.
func (a *Attempt) Result() Accepted { return Accepted{Ballot: a.ballot, Value: a.proposed} }

// Seed returns a value with which other voters can enter the epoch: the newest
// that voters reported, otherwise the seed of the attempt, which may be nil.
func (a *Attempt) Seed() *Value {
	if a.highest.Value != nil {
		return a.highest.Value
	}
	return a.seed
}

// NextEpoch returns the next epoch and its first value after a chosen value that
// seals its epoch. It returns false if the value doesn't seal it.
func NextEpoch(epoch Epoch, v *Value) (Epoch, *Value, bool) {
	if v == nil || v.Next == nil {
		return Epoch{}, nil, false
	}
	next := Epoch{Number: epoch.Number + 1, Voters: v.Next}
	return next, &Value{Sequence: v.Sequence, State: v.State}, true
}
