package quorum

// State is what a voter keeps on its disk.
type State struct {
	// ID names the disk.
	ID string `json:"ID"`
	// Epoch is the newest that the voter has entered; its number is zero before
	// the first.
	Epoch Epoch `json:"Epoch"`
	// Promised is never below the ballot of Accepted.
	Promised Ballot   `json:"Promised"`
	Accepted Accepted `json:"Accepted"`
}

// Acceptor is the voting half of a member. It is not safe for concurrent use.
type Acceptor struct{ state State }

// NewAcceptor returns an acceptor that goes on from a state on disk.
func NewAcceptor(state State) *Acceptor { return &Acceptor{state: state} }

// FounderID is the disk ID of a founding voter at an address. Only a process
// that is told that the system starts for the first time may take it.
func FounderID(address string) string { return "founder@" + address }

// Founding returns the first epoch: the disks of the processes at addresses.
func Founding(addresses []string) Epoch {
	epoch := Epoch{Number: 1}
	for _, a := range addresses {
		epoch.Voters = append(epoch.Voters, Voter{ID: FounderID(a), Address: a})
	}
	return epoch
}

// State returns the state that must be durable before any answer that changed
// it is sent.
func (a *Acceptor) State() State { return a.state }

// Prepare gives or refuses a promise. The flag says whether the state changed.
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

// Accept accepts or refuses a value. The flag says whether the state changed.
func (a *Acceptor) Accept(m Accept) (*Refusal, bool) {
	if refusal := a.refuse(m.To, m.Epoch); refusal != nil {
		return refusal, false
	}
	if m.Epoch.Number != a.state.Epoch.Number {
		return &Refusal{Stranger: true}, false
	}
	if m.Ballot.Less(a.state.Promised) {
		return &Refusal{Promised: a.state.Promised}, false
	}
	changed := a.state.Accepted.Ballot != m.Ballot
	a.state.Promised = m.Ballot
	a.state.Accepted = Accepted{Ballot: m.Ballot, Value: m.Value}
	return nil, changed
}

// refuse says why a message for a disk and an epoch can't be served at all.
func (a *Acceptor) refuse(to string, epoch Epoch) *Refusal {
	switch {
	case to != a.state.ID || !epoch.Has(to):
		return &Refusal{Stranger: true, Newer: a.newer(epoch)}
	case epoch.Number < a.state.Epoch.Number:
		return &Refusal{Newer: a.state.Epoch}
	default:
		return nil
	}
}

func (a *Acceptor) newer(epoch Epoch) Epoch {
	if a.state.Epoch.Number > epoch.Number {
		return a.state.Epoch
	}
	return Epoch{}
}

// enter makes the voter take part in a later epoch. The founding epoch begins
// without a value; any other needs its first one.
func (a *Acceptor) enter(to string, epoch Epoch, seed *Value) (entered bool, refusal *Refusal) {
	if refusal := a.refuse(to, epoch); refusal != nil {
		return false, refusal
	}
	if epoch.Number == a.state.Epoch.Number {
		return false, nil
	}
	if seed == nil && epoch.Number > 1 {
		return false, &Refusal{Stranger: true}
	}
	a.state = State{ID: a.state.ID, Epoch: epoch, Accepted: Accepted{Value: seed}}
	return true, nil
}
