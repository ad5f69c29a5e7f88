package quorum

// State is the durable state of a voter.
type State struct {
	// ID identifies the disk.
	ID string `json:"ID"`
	// Epoch is the newest epoch that the voter has entered; its number is zero if
	// it has entered none.
	Epoch Epoch `json:"Epoch"`
	// Promised is the highest promised ballot of the epoch. It is never below the
	// ballot of Accepted.
	Promised Ballot   `json:"Promised"`
	Accepted Accepted `json:"Accepted"`
}

// Acceptor is the Paxos acceptor of a voter. It is not safe for concurrent use.
type Acceptor struct{ state State }

// NewAcceptor returns an acceptor that resumes from a stored state.
func NewAcceptor(state State) *Acceptor { return &Acceptor{state: state} }

// FounderID is the disk ID of a founding voter at an address. A process may use it
// only if it is configured to start the system for the first time.
func FounderID(address string) string { return "founder@" + address }

// Founding returns the first epoch. Its voters are the disks of the processes at
// addresses.
func Founding(addresses []string) Epoch {
	epoch := Epoch{Number: 1}
	for _, a := range addresses {
		epoch.Voters = append(epoch.Voters, Voter{ID: FounderID(a), Address: a})
	}
	return epoch
}

// State returns the current state. After a call that changed it, the caller
// must make it durable before it sends the answer.
func (a *Acceptor) State() State { return a.state }

// Prepare gives or refuses a promise, and enters the epoch of the message if it is
// later than the voter's. The flag says whether the state changed.
func (a *Acceptor) Prepare(m Prepare) (Promise, bool) {
	entered, refusal := a.enter(m.To, m.Epoch, m.Seed)
	if refusal != nil {
		return Promise{Refusal: refusal}, false
	}
	if m.Ballot.Less(a.state.Promised) {
		return Promise{Refusal: &Refusal{Promised: a.state.Promised}}, entered
	}
	changed := entered || a.state.Promised != m.Ballot
	a.state.Promised = m.Ballot
	promise := Promise{Accepted: a.state.Accepted}
	if m.Have != (Ballot{}) && m.Have == a.state.Accepted.Ballot {
		promise.Accepted.Value = nil
	}
	return promise, changed
}

// Accept accepts or refuses a value. Unlike Prepare it doesn't enter an epoch. The
// flag says whether the state changed.
func (a *Acceptor) Accept(m Accept) (*Refusal, bool) {
	if refusal := a.checkTarget(m.To, m.Epoch); refusal != nil {
		return refusal, false
	}
	if m.Epoch.Number != a.state.Epoch.Number {
		return &Refusal{CannotVote: true}, false
	}
	if m.Ballot.Less(a.state.Promised) {
		return &Refusal{Promised: a.state.Promised}, false
	}
	changed := a.state.Accepted.Ballot != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Accepted = Accepted{Ballot: m.Ballot, Value: m.Value}
	return nil, changed
}

// checkTarget returns a refusal if the message is for another disk, for an epoch
// that doesn't name the disk, or for an epoch older than the voter's.
func (a *Acceptor) checkTarget(to string, epoch Epoch) *Refusal {
	switch {
	case to != a.state.ID || !epoch.Has(to):
		return &Refusal{CannotVote: true, Newer: a.newer(epoch)}
	case epoch.Number < a.state.Epoch.Number:
		return &Refusal{Newer: a.state.Epoch}
	default:
		return nil
	}
}

// newer returns the voter's epoch if it is later than epoch, otherwise none.
func (a *Acceptor) newer(epoch Epoch) Epoch {
	if a.state.Epoch.Number > epoch.Number {
		return a.state.Epoch
	}
	return Epoch{}
}

// enter makes the voter enter a later epoch. The founding epoch may begin without
// a value; any other needs a seed.
func (a *Acceptor) enter(to string, epoch Epoch, seed *Value) (entered bool, refusal *Refusal) {
	if refusal := a.checkTarget(to, epoch); refusal != nil {
		return false, refusal
	}
	if epoch.Number == a.state.Epoch.Number {
		return false, nil
	}
	if seed == nil && epoch.Number > 1 {
		return false, &Refusal{CannotVote: true}
	}
	a.state = State{ID: a.state.ID, Epoch: epoch, Accepted: Accepted{Value: seed}}
	return true, nil
}
