package measure

import (
	"bytes"
	"fmt"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/document"
)

const (
	// shareEntries entries share a cap of shareCap requests per second.
	shareEntries = 16
	shareCap     = 1600
	// shareStart is the time of the first request, shareWarm the time at which
	// counting begins, and shareEnd the time at which it ends, all since the start
	// of the entries.
	shareStart = 6 * time.Second
	shareWarm  = 15 * time.Second
	shareEnd   = 35 * time.Second
	// loanPeriod is the period at which an entry tries to borrow.
	loanPeriod = 250 * time.Millisecond
	// shareDelay is the one-way delay of a message between entries.
	shareDelay = time.Millisecond
	// shareRule is the rule that all requests cross.
	shareRule = "r"
)

// ShareCase is a distribution of the demand for one cap over the sixteen entries.
type ShareCase struct {
	Name string
	// Demand returns the demand at an entry, in requests per second.
	Demand func(entry int) int
	// Cut says that the entries exchange no messages, so that none can borrow.
	Cut bool
}

// ShareCases returns the cases of the printed table.
func ShareCases() []ShareCase {
	one := demandOf(1, 2*shareCap, 0)
	even := demandOf(0, 0, 110)
	return []ShareCase{
		{Name: "all at one entry", Demand: one},
		{Name: "80% at two entries", Demand: demandOf(2, 800, 30)},
		{Name: "even", Demand: even},
		{Name: "even, cut off", Demand: even, Cut: true},
		{Name: "one entry, cut off", Demand: one, Cut: true},
	}
}

// demandOf returns a demand of first at the first count entries and of rest at the
// others.
func demandOf(count, first, rest int) func(int) int {
	return func(entry int) int {
		if entry < count {
			return first
		}
		return rest
	}
}

// UsableShare returns the admitted requests as a fraction of what the cap and the
// demand allow. The reservation of an admitted request is settled after arrival.
func UsableShare(c ShareCase, arrival time.Duration) float64 {
	s := newShareRun(c, arrival)
	for at := shareStart; at < shareEnd; at += time.Millisecond {
		s.step(at)
	}
	allowed := shareCap * int((shareEnd-shareWarm)/time.Second)
	return float64(s.admitted) / float64(min(s.wanted, allowed))
}

// shareRun is the simulation of one case.
type shareRun struct {
	ShareCase
	arrival          time.Duration
	names            []string
	ledgers          map[string]*budget.Ledger
	sent             []inFlight
	wanted, admitted int
}

// inFlight is a request that was sent and doesn't count as arrived yet.
type inFlight struct {
	ledger      *budget.Ledger
	reservation *budget.Reservation
	arrives     time.Duration
}

func newShareRun(c ShareCase, arrival time.Duration) *shareRun {
	s := &shareRun{ShareCase: c, arrival: arrival, ledgers: make(map[string]*budget.Ledger)}
	doc := &document.Document{
		Regions: []document.Region{{Name: "west"}, {Name: "east"}},
		Places:  []document.Place{{Name: "w", Region: "west"}, {Name: "e", Region: "east"}},
		Rules:   []document.Rule{{Name: shareRule, From: "w", To: "e", RequestsPerS: shareCap}},
	}
	versions := make(map[string]uint64)
	for k := range shareEntries {
		name := fmt.Sprintf("e%02d", k)
		s.names = append(s.names, name)
		doc.Places[1].Entries = append(doc.Places[1].Entries, document.Entry{Name: name})
		versions[name] = 1
	}
	for _, name := range s.names {
		l := budget.NewLedger(budget.Owner{Entry: name, Incarnation: 1}, budget.Config{}, clockAt(0))
		l.SetDocument(clockAt(0), 1, doc)
		l.SetVersions(clockAt(shareStart-time.Second), versions)
		s.ledgers[name] = l
	}
	return s
}

func clockAt(since time.Duration) time.Time { return time.Unix(1_800_000_000, 0).Add(since) }

// step simulates one millisecond.
func (s *shareRun) step(at time.Duration) {
	s.arrive(at)
	ms := int(at / time.Millisecond)
	for k, name := range s.names {
		rate := s.Demand(k)
		for range (ms+1)*rate/1000 - ms*rate/1000 {
			s.request(at, s.ledgers[name])
		}
		if !s.Cut && at%loanPeriod == time.Duration(k)*time.Millisecond {
			s.borrow(at, s.ledgers[name])
		}
	}
}

// arrive settles the reservations of requests that have arrived.
func (s *shareRun) arrive(at time.Duration) {
	for len(s.sent) > 0 && s.sent[0].arrives <= at {
		s.sent[0].ledger.Settle(clockAt(at), s.sent[0].reservation, 0)
		s.sent = s.sent[1:]
	}
}

// request sends a request if the entry's share of the cap permits it.
func (s *shareRun) request(at time.Duration, l *budget.Ledger) {
	reservation := l.Take(clockAt(at), []string{shareRule})
	counts := at >= shareWarm
	if counts {
		s.wanted++
	}
	if reservation == nil {
		return
	}
	if counts {
		s.admitted++
	}
	s.sent = append(s.sent, inFlight{ledger: l, reservation: reservation, arrives: at + s.arrival})
	if s.arrival == 0 {
		s.arrive(at)
	}
}

func (s *shareRun) borrow(at time.Duration, l *budget.Ledger) {
	for _, r := range l.LoanRequests(clockAt(at)) {
		g := s.ledgers[r.Lender].Lend(clockAt(at+shareDelay), r)
		l.RecordLoan(clockAt(at+2*shareDelay), r, clockAt(at), g)
	}
}

// WriteShares writes a Markdown table of the usable fraction of a cap that
// sixteen entries share.
func WriteShares(out *bytes.Buffer) {
	fmt.Fprintf(out, "## Usable fraction of a shared cap\n\n")
	fmt.Fprintf(out, "%d entries share a cap of %d requests per second. The figures are the percentage used of what\n", shareEntries, shareCap)
	fmt.Fprintf(out, "the cap and the demand together allow. Answers that take longer than %v are slow.\n\n", budget.DefaultTransit)
	fmt.Fprintln(out, "| demand | quick answers | slow answers |")
	fmt.Fprintln(out, "|---|---|---|")
	for _, c := range ShareCases() {
		quick, slow := UsableShare(c, 0), UsableShare(c, budget.DefaultTransit)
		fmt.Fprintf(out, "| %s | %.1f%% | %.1f%% |\n", c.Name, 100*quick, 100*slow)
	}
	fmt.Fprintln(out)
}
