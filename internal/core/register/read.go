package register

// Read collects the reports of one query round. A quorum of reports yields the
// newest chosen value without a ballot if the value accepted under the highest
// ballot is known to be chosen. It is not safe for concurrent use.
type Read struct {
	group   Group
	round   uint64
	reports tally
	holders [MaxMembers]Ballot
	highest AcceptedValue
	have    AcceptedValue
	known   AcceptedValue
}

// NewRead returns a query round of a reader that already has the value of have.
// Each round of an incarnation needs its own number: an answer to another round
// may be stale, or lack a value that the reader no longer has.
func NewRead(g Group, round uint64, have AcceptedValue) *Read {
	return &Read{group: g, round: round, have: have, highest: have}
}

// Query returns the message for every member.
func (r *Read) Query() Query { return Query{Round: r.round, Have: r.have.Accepted} }

// Report handles a member's answer. It ignores those to other rounds and those
// of members that don't vote.
func (r *Read) Report(m Report) {
	if !m.Voting || m.Round != r.round {
		return
	}
	r.reports.add(m.MemberState)
	r.holders[m.Member] = m.Accepted
	if m.Accepted == r.have.Accepted {
		m.Value = r.have.Value
	}
	if m.Committed && r.known.Accepted.Less(m.Accepted) {
		r.known = m.AcceptedValue
	}
	switch c := r.highest.Accepted.Compare(m.Accepted); {
	case c < 0:
		r.highest = m.AcceptedValue
	case c == 0:
		r.highest.Committed = r.highest.Committed || m.Committed
	}
}

// Quorum says whether a quorum reported.
func (r *Read) Quorum() bool { return r.reports.count() >= r.group.Quorum() }

// Chosen returns the newest chosen value; for an empty register that is the
// empty AcceptedValue. It returns false without a quorum of reports, and if the
// value accepted under the highest ballot isn't known to be chosen: an Attempt
// with Keep is then needed to read the register.
func (r *Read) Chosen() (AcceptedValue, bool) {
	if !r.Quorum() {
		return AcceptedValue{}, false
	}
	if r.highest.Committed {
		return r.highest, true
	}
	n := 0
	for i, b := range r.holders {
		if r.reports.counts(i) && b == r.highest.Accepted {
			n++
		}
	}
	r.highest.Committed = n >= r.group.Quorum()
	return r.highest, r.highest.Committed
}

// Known returns the newest value that the reports show to be chosen, even without a
// quorum of reports. It need not be the newest chosen value.
func (r *Read) Known() (AcceptedValue, bool) {
	if v, chosen := r.Chosen(); chosen {
		return v, true
	}
	return r.known, r.known.Committed
}

// Fences returns the newest fence of each member in the reports.
func (r *Read) Fences() Ballots { return r.reports.fences }
