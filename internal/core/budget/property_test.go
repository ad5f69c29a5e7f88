package budget_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrasreach/internal/core/budget"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/testseed"
)

const (
	propertySeed   = 7
	propertyChecks = 3_000
)

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: propertySeed, Checks: propertyChecks})
}

// simulation is three entries, each with its own clock, that share the cap of
// one rule and one link, and the messages between them.
type simulation struct {
	rt        *rapid.T
	now       time.Duration // real time
	entries   []*entry
	documents []*document.Document // by version, from 1
	messages  []message
	inFlight  []inFlightRequest
	arrivals  []time.Duration // when requests arrived
	linkBytes []linkTransfer
	versions  []versionInterval
}

// linkTransfer is a number of bytes that went over the link at one time.
type linkTransfer struct {
	at    time.Duration
	bytes int64
}

// linkLimit is how many bytes the link may carry in a second: 50% of 8 Mbit/s.
const linkLimit = 500_000

// inFlightRequest is a request that was sent and isn't settled yet.
type inFlightRequest struct {
	sender           *entry
	ledger           *budget.Ledger
	reservation      *budget.Reservation
	bytes            int64 // on the link; 0 for a unit of the rule
	arrives, settles time.Duration
	arrived          bool
}

// entry is one entry VM, with its own clock.
type entry struct {
	name        string
	ledger      *budget.Ledger
	incarnation uint64
	offset      time.Duration
	ppm         int64
	version     uint64
}

// message is a loan request, an answer to one, or a report of an entry's
// version.
type message struct {
	to      int
	request *budget.LoanRequest
	answer  *budget.Grant
	sentAt  time.Time
	from    string
	version uint64
}

// versionInterval is the time in which a version was in force at an entry.
type versionInterval struct {
	entry    int
	version  uint64
	from, to time.Duration
}

const never = time.Duration(1<<62 - 1)

func (s *simulation) clock(e *entry) time.Time {
	drift := time.Duration(int64(s.now/time.Microsecond) * e.ppm / 1000)
	return epoch.Add(e.offset + s.now + drift)
}

func (s *simulation) restart(i int) {
	e := s.entries[i]
	e.incarnation++
	e.ledger = budget.NewLedger(
		budget.Owner{Entry: e.name, Incarnation: e.incarnation},
		budget.Config{ReportTimeout: -1}, s.clock(e))
	e.version = 0
}

// adopt puts the newest version in force at an entry.
func (s *simulation) adopt(i int) {
	e := s.entries[i]
	version := uint64(len(s.documents))
	if e.version == version {
		return
	}
	for k := range s.versions {
		if s.versions[k].entry == i && s.versions[k].to == never {
			s.versions[k].to = s.now
		}
	}
	s.versions = append(s.versions, versionInterval{i, version, s.now, never})
	e.version = version
	e.ledger.SetDocument(s.clock(e), version, s.documents[version-1])
}

// burst sends as many requests as an entry admits at one moment, up to limit.
// They arrive after a delay, and are settled then or when their transit is
// over.
func (s *simulation) burst(i, limit int) {
	e := s.entries[i]
	delay := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 50}).Draw(s.rt, "delay")) * time.Millisecond
	late := rapid.Bool().Draw(s.rt, "late")
	bytes := rapid.SampledFrom([]int64{0, 0, 0, 7_000, 60_000}).Draw(s.rt, "bytes")
	for range limit {
		reservation := e.take(s.clock(e), bytes)
		if reservation == nil {
			break
		}
		f := inFlightRequest{
			sender: e, ledger: e.ledger, reservation: reservation, bytes: bytes,
			arrives: s.now + delay, settles: s.now + delay,
		}
		if late {
			f.settles = s.now + budget.DefaultTransit
		}
		s.inFlight = append(s.inFlight, f)
	}
	s.advance(0)
}

// take reserves bytes on the link, or a unit of the rule when bytes is 0.
func (e *entry) take(now time.Time, bytes int64) *budget.Reservation {
	if bytes == 0 {
		return e.ledger.Take(now, ruleNames)
	}
	return e.ledger.Admit(now, budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: bytes})
}

// recordArrival counts a request that has arrived and checks the limits.
func (s *simulation) recordArrival(f inFlightRequest) {
	if f.bytes == 0 {
		s.arrivals = append(s.arrivals, s.now)
		s.check()
		return
	}
	s.linkBytes = append(s.linkBytes, linkTransfer{s.now, f.bytes})
	sum := int64(0)
	for _, c := range s.linkBytes {
		if c.at >= s.now-time.Second {
			sum += c.bytes
		}
	}
	if sum > linkLimit {
		s.rt.Fatalf("%d bytes in the second before %v, limit %d", sum, s.now, linkLimit)
	}
}

// advance lets time pass, in which requests arrive and are settled.
func (s *simulation) advance(d time.Duration) {
	end := s.now + d
	for at := s.now; at <= end; at += time.Millisecond {
		s.now = at
		left := s.inFlight[:0]
		for _, f := range s.inFlight {
			if !f.arrived && f.arrives <= at {
				f.arrived = true
				s.recordArrival(f)
			}
			if f.arrived && f.settles <= at {
				f.ledger.Settle(s.clock(f.sender), f.reservation, f.bytes)
				continue
			}
			left = append(left, f)
		}
		s.inFlight = left
		if len(left) == 0 {
			break
		}
	}
	s.now = end
}

// check compares the arrivals in the window that ends now with the highest cap
// that was in force at any entry when they were sent.
func (s *simulation) check() {
	begin := s.now - time.Second
	count := 0
	for k := len(s.arrivals) - 1; k >= 0 && s.arrivals[k] >= begin; k-- {
		count++
	}
	highest := 0
	for _, c := range s.versions {
		if c.to >= begin-budget.DefaultTransit {
			highest = max(highest, s.documents[c.version-1].Rules[0].RequestsPerS)
		}
	}
	if count > highest {
		s.rt.Fatalf("%d requests in the second before %v, cap %d", count, s.now, highest)
	}
}

func (s *simulation) sendLoanRequests(i int) {
	e := s.entries[i]
	for _, r := range e.ledger.LoanRequests(s.clock(e)) {
		for k, other := range s.entries {
			if other.name == r.Lender {
				s.messages = append(s.messages, message{to: k, request: &r, sentAt: s.clock(e), from: e.name})
			}
		}
	}
}

func (s *simulation) deliver(k int, keep bool) {
	m := s.messages[k]
	if !keep {
		s.messages = append(s.messages[:k:k], s.messages[k+1:]...)
	}
	e := s.entries[m.to]
	switch {
	case m.answer != nil:
		e.ledger.RecordLoan(s.clock(e), *m.request, m.sentAt, *m.answer)
	case m.request != nil:
		grant := e.ledger.Lend(s.clock(e), *m.request)
		for back, other := range s.entries {
			if other.name == m.from {
				s.messages = append(s.messages, message{to: back, request: m.request, answer: &grant, sentAt: m.sentAt})
			}
		}
	default:
		e.ledger.SetVersions(s.clock(e), map[string]uint64{m.from: m.version})
	}
}

// sendVersion sends the version of entry i to every other entry.
func (s *simulation) sendVersion(i int) {
	for k := range s.entries {
		if k != i {
			s.messages = append(s.messages, message{to: k, from: s.entries[i].name, version: s.entries[i].version})
		}
	}
}

func threeEntries(cap int, percents []int) *document.Document {
	doc := twoEntries(cap)
	doc.Places[1].Entries = []document.Entry{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}}
	for k, p := range percents {
		doc.Rules[0].Shares = append(doc.Rules[0].Shares, document.Share{Entry: fmt.Sprintf("e%d", k+1), Percent: p})
	}
	return doc
}

func (s *simulation) change() {
	cap := rapid.SampledFrom([]int{9, 30, 60}).Draw(s.rt, "cap")
	splits := [][]int{nil, {100, 0, 0}, {0, 100, 0}, {0, 0, 100}, {50, 50, 0}}
	s.documents = append(s.documents, threeEntries(cap, rapid.SampledFrom(splits).Draw(s.rt, "split")))
}

// convergeFor delivers all messages and lets time pass, so that shares become
// usable.
func (s *simulation) convergeFor(seconds int) {
	for range seconds {
		for i := range s.entries {
			s.adopt(i)
			s.sendVersion(i)
		}
		for len(s.messages) > 0 {
			s.deliver(0, false)
		}
		s.advance(time.Second)
	}
}

func (s *simulation) step() {
	i := rapid.IntRange(0, len(s.entries)-1).Draw(s.rt, "entry")
	switch rapid.SampledFrom([]string{
		"burst", "burst", "burst", "trickle", "request loans", "request loans", "deliver", "deliver", "deliver", "deliver", "deliver twice",
		"drop messages", "wait", "wait", "wait", "restart", "change document", "adopt document", "send version", "converge",
	}).Draw(s.rt, "step") {
	case "burst":
		s.burst(i, 100)
	case "trickle":
		s.burst(i, rapid.IntRange(1, 12).Draw(s.rt, "requests"))
	case "request loans":
		s.sendLoanRequests(i)
	case "deliver":
		for range min(3, len(s.messages)) {
			s.deliver(rapid.IntRange(0, len(s.messages)-1).Draw(s.rt, "mail"), false)
		}
	case "deliver twice":
		if len(s.messages) > 0 {
			s.deliver(len(s.messages)-1, true)
		}
	case "drop messages":
		s.messages = nil
	case "wait":
		ms := rapid.SampledFrom([]int{1, 10, 50, 200, 500, 800, 1000, 2900, 5000}).Draw(s.rt, "ms")
		s.advance(time.Duration(ms) * time.Millisecond)
	case "restart":
		s.restart(i)
		s.adopt(i)
	case "change document":
		s.change()
	case "adopt document":
		s.adopt(i)
	case "send version":
		s.sendVersion(i)
	case "converge":
		s.convergeFor(rapid.IntRange(1, 8).Draw(s.rt, "seconds"))
	}
}

// TestCapHoldsInEveryWindow runs three entries through random schedules of
// requests, loans, lost and repeated messages, restarts and document changes.
// It guards against a window in which more arrives than the highest cap in
// force, or more bytes than the link may carry.
func TestCapHoldsInEveryWindow(t *testing.T) {
	admitted, transfers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := &simulation{rt: rt, documents: []*document.Document{threeEntries(30, nil)}}
		for k := range 3 {
			s.entries = append(s.entries, &entry{
				name:   fmt.Sprintf("e%d", k+1),
				offset: time.Duration(k) * time.Hour,
				ppm:    int64(rapid.SampledFrom([]int{-1000, 0, 1000}).Draw(rt, "ppm")),
			})
			s.restart(k)
		}
		s.convergeFor(8)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			s.step()
		}
		admitted += len(s.arrivals)
		transfers += len(s.linkBytes)
	})
	t.Logf("%d requests and %d link transfers admitted", admitted, transfers)
}
