package quorum

// Phase is how far an attempt has come.
type Phase uint8

const (
	// Preparing waits for promises.
	Preparing Phase = iota
	// Accepting waits for acceptances: the value may become chosen.
	Accepting
	// Chosen means that a majority accepted the value.
	Chosen
	// Outdated means that a higher ballot or a later epoch stands in the way.
	Outdated
	// Declined means that the change can't be made in an empty register; nothing
	// was proposed.
	Declined
)

// Decide computes the value to accept from the current one, nil when the
// register is empty. An error declines the change.
type Decide func(current *Value) (*Value, error)

// Attempt is one read-modify-write of an epoch's register under one ballot. It
// is not safe for concurrent use.
type Attempt struct {
	epoch    Epoch
	ballot   Ballot
	seed     *Value
	have     Accepted
	decide   Decide
	phase    Phase
	promised map[string]bool
	accepted map[string]bool
	highest  Accepted
	proposed *Value
	kept     bool
	seen     Ballot
	newer    Epoch
	err      error
}

// NewAttempt returns an attempt under a ballot that no other attempt has. The
// seed is a value of the epoch for voters that haven't entered it; it may be nil.
// The proposer has what was accepted under a ballot of the epoch; it may be none.
func NewAttempt(epoch Epoch, ballot Ballot, seed *Value, have Accepted, decide Decide) *Attempt {
	return &Attempt{
		epoch: epoch, ballot: ballot, seed: seed, have: have, decide: decide, seen: ballot,
		promised: make(map[string]bool), accepted: make(map[string]bool),
	}
}

// Prepare returns the message to a voter that starts the attempt.
func (a *Attempt) Prepare(to string) Prepare {
	return Prepare{To: to, Epoch: a.epoch, Ballot: a.ballot, Seed: a.seed, Have: a.have.Ballot}
}

// Promise takes a voter's answer. It returns true when Accept is to be sent to
// every voter.
func (a *Attempt) Promise(from string, m Promise) bool {
	if a.refused(m.Refusal) || a.phase != Preparing || !a.epoch.Has(from) {
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

// propose decides the value. A sealed epoch keeps its last value. A change that
// is declined accepts the current value again, so that what it was judged by is
// known to be chosen.
func (a *Attempt) propose() bool {
	a.phase = Accepting
	if current := a.highest.Value; current != nil && current.Next != nil {
		a.proposed, a.kept = current, true
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

// Accept returns the message to a voter after Promise returned true.
func (a *Attempt) Accept(to string) Accept {
	return Accept{To: to, Epoch: a.epoch, Ballot: a.ballot, Value: a.proposed}
}

// Accepted takes a voter's answer. It returns true when the value was chosen
// by it.
func (a *Attempt) Accepted(from string, refusal *Refusal) bool {
	if a.refused(refusal) || a.phase != Accepting || !a.epoch.Has(from) {
		return false
	}
	a.accepted[from] = true
	if len(a.accepted) < a.epoch.Majority() {
		return false
	}
	a.phase = Chosen
	return true
}

// refused takes note of a refusal. A stranger is only missing from the majority.
func (a *Attempt) refused(r *Refusal) bool {
	if r == nil {
		return false
	}
	if a.seen.Less(r.Promised) {
		a.seen = r.Promised
	}
	if r.Newer.Number > max(a.epoch.Number, a.newer.Number) {
		a.newer = r.Newer
	}
	if !r.Stranger && (a.phase == Preparing || a.phase == Accepting) {
		a.phase = Outdated
	}
	return true
}

// Phase returns how far the attempt has come.
func (a *Attempt) Phase() Phase { return a.phase }

// Err returns why the change was declined. In phase Chosen the register's value
// stayed as it was then.
func (a *Attempt) Err() error { return a.err }

// Seen returns the highest ballot that was heard of.
func (a *Attempt) Seen() Ballot { return a.seen }

// Newer returns the latest epoch that was heard of; its number is zero if none.
func (a *Attempt) Newer() Epoch { return a.newer }

// Kept says that the epoch was sealed already, so that the change wasn't made.
func (a *Attempt) Kept() bool { return a.kept }

// Result returns the value of the attempt and its ballot; in phase Chosen it
// was chosen.
func (a *Attempt) Result() Accepted { return Accepted{Ballot: a.ballot, Value: a.proposed} }

// Seed returns a value that voters which haven't entered the epoch can enter it
// with; nil if no voter reported one.
func (a *Attempt) Seed() *Value {
	if a.highest.Value != nil {
		return a.highest.Value
	}
	return a.seed
}

// Following returns the epoch that a chosen value opens and the first value of
// it; false if the value seals nothing.
func Following(epoch Epoch, v *Value) (Epoch, *Value, bool) {
	if v == nil || v.Next == nil {
		return Epoch{}, nil, false
	}
	next := Epoch{Number: epoch.Number + 1, Voters: v.Next}
	return next, &Value{Sequence: v.Sequence, State: v.State}, true
}
