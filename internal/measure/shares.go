package measure

import (
	"bytes"
	"fmt"
	"time"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/document"
)

const (
	// shareEntries share a cap of shareCap requests a second.
	shareEntries = 16
	shareCap     = 1600
	// shareStart is when entries are asked for the first request, shareWarm when
	// the count begins, and shareEnd when it ends, since they started.
	shareStart = 6 * time.Second
	shareWarm  = 15 * time.Second
	shareEnd   = 35 * time.Second
	// shareLoans is the time between an entry's looks for loans.
	shareLoans = 250 * time.Millisecond
	// shareDelay is the time that a message between entries takes.
	shareDelay = time.Millisecond
	// shareRule is the rule that all requests cross.
	shareRule = "r"
)

// ShareCase is how the demand for one cap lies over sixteen entries.
type ShareCase struct {
	Name string
	// Demand is what an entry is asked for, in requests per second.
	Demand func(entry int) int
	// Cut says that no entry hears of another.
	Cut bool
}

// ShareCases are the cases that the page lists.
func ShareCases() []ShareCase {
	one := only(1, 2*shareCap, 0)
	even := only(0, 0, 110)
	return []ShareCase{
		{Name: "all at one entry", Demand: one},
		{Name: "80% at two entries", Demand: only(2, 800, 30)},
		{Name: "even", Demand: even},
		{Name: "even, cut off", Demand: even, Cut: true},
		{Name: "one entry, cut off", Demand: one, Cut: true},
	}
}

// only returns a demand of first at the first entries and of rest at the others.
func only(count, first, rest int) func(int) int {
	return func(entry int) int {
		if entry < count {
			return first
		}
		return rest
	}
}

// UsableShare returns the part used of what the cap and the demand allow, when
// a request counts as arrived after a time.
func UsableShare(c ShareCase, arrival time.Duration) float64 {
	s := newSharing(c, arrival)
	for at := shareStart; at < shareEnd; at += time.Millisecond {
		s.step(at)
	}
	allowed := shareCap * int((shareEnd-shareWarm)/time.Second)
	return float64(s.admitted) / float64(min(s.wanted, allowed))
}

// sharing is the run of one case.
type sharing struct {
	ShareCase
	arrival          time.Duration
	names            []string
	ledgers          map[string]*budget.Ledger
	sent             []flight
	wanted, admitted int
}

// flight is a request that was sent and doesn't count as arrived yet.
type flight struct {
	ledger  *budget.Ledger
	hold    *budget.Hold
	arrives time.Duration
}

func newSharing(c ShareCase, arrival time.Duration) *sharing {
	s := &sharing{ShareCase: c, arrival: arrival, ledgers: make(map[string]*budget.Ledger)}
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

// step is one millisecond.
func (s *sharing) step(at time.Duration) {
	s.arrive(at)
	ms := int(at / time.Millisecond)
	for k, name := range s.names {
		rate := s.Demand(k)
		for range (ms+1)*rate/1000 - ms*rate/1000 {
			s.ask(at, s.ledgers[name])
		}
		if !s.Cut && at%shareLoans == time.Duration(k)*time.Millisecond {
			s.borrow(at, s.ledgers[name])
		}
	}
}

// arrive counts what has arrived.
func (s *sharing) arrive(at time.Duration) {
	for len(s.sent) > 0 && s.sent[0].arrives <= at {
		s.sent[0].ledger.Settle(clockAt(at), s.sent[0].hold, 0)
		s.sent = s.sent[1:]
	}
}

// ask sends a request if the cap has room.
func (s *sharing) ask(at time.Duration, l *budget.Ledger) {
	hold := l.Take(clockAt(at), []string{shareRule})
	counts := at >= shareWarm
	if counts {
		s.wanted++
	}
	if hold == nil {
		return
	}
	if counts {
		s.admitted++
	}
	s.sent = append(s.sent, flight{ledger: l, hold: hold, arrives: at + s.arrival})
	if s.arrival == 0 {
		s.arrive(at)
	}
}

func (s *sharing) borrow(at time.Duration, l *budget.Ledger) {
	for _, r := range l.Wants(clockAt(at)) {
		g := s.ledgers[r.Lender].Lend(clockAt(at+shareDelay), r)
		l.Borrowed(clockAt(at+2*shareDelay), r, clockAt(at), g)
	}
}

// WriteShares writes how much of a cap sixteen entries can use.
func WriteShares(out *bytes.Buffer) {
	fmt.Fprintf(out, "## The part of a cap that can be used\n\n")
	fmt.Fprintf(out, "%d entries share a cap of %d requests a second. The part is of what the cap and the demand\n", shareEntries, shareCap)
	fmt.Fprintf(out, "allow together. Answers that take longer than %v are slow.\n\n", budget.DefaultTransit)
	fmt.Fprintln(out, "| demand | quick answers | slow answers |")
	fmt.Fprintln(out, "|---|---|---|")
	for _, c := range ShareCases() {
		quick, slow := UsableShare(c, 0), UsableShare(c, budget.DefaultTransit)
		fmt.Fprintf(out, "| %s | %.1f%% | %.1f%% |\n", c.Name, 100*quick, 100*slow)
	}
	fmt.Fprintln(out)
}
