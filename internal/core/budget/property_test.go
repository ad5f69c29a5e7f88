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
	nodes     []*node
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
	sender           *node
	ledger           *budget.Ledger
	reservation      *budget.Reservation
	bytes            int64 // on the link; 0 for a unit of the rule
	arrives, settles time.Duration
	arrived          bool
}

type node struct {
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
	request *budget.BorrowRequest
	answer  *budget.Grant
	sentAt  time.Time
	from    string
	version uint64
}

// versionInterval is the time in which a version was in force at an entry.
type versionInterval struct {
	node     int
	version  uint64
	from, to time.Duration
}

const never = time.Duration(1<<62 - 1)

func (w *simulation) clock(n *node) time.Time {
	drift := time.Duration(int64(w.now/time.Microsecond) * n.ppm / 1000)
	return epoch.Add(n.offset + w.now + drift)
}

func (w *simulation) restart(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.ledger = budget.NewLedger(
		budget.Owner{Entry: n.name, Incarnation: n.incarnation},
		budget.Config{ReportTimeout: -1}, w.clock(n))
	n.version = 0
}

// adopt puts the newest version in force at an entry.
func (w *simulation) adopt(i int) {
	n := w.nodes[i]
	version := uint64(len(w.documents))
	if n.version == version {
		return
	}
	for k := range w.versions {
		if w.versions[k].node == i && w.versions[k].to == never {
			w.versions[k].to = w.now
		}
	}
	w.versions = append(w.versions, versionInterval{i, version, w.now, never})
	n.version = version
	n.ledger.SetDocument(w.clock(n), version, w.documents[version-1])
}

// burst sends as many requests as an entry admits at one moment, up to limit.
// They arrive after a delay, and are settled then or when their transit is
// over.
func (w *simulation) burst(i, limit int) {
	n := w.nodes[i]
	delay := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 50}).Draw(w.rt, "delay")) * time.Millisecond
	late := rapid.Bool().Draw(w.rt, "late")
	bytes := rapid.SampledFrom([]int64{0, 0, 0, 7_000, 60_000}).Draw(w.rt, "bytes")
	for range limit {
		reservation := n.take(w.clock(n), bytes)
		if reservation == nil {
			break
		}
		f := inFlightRequest{
			sender: n, ledger: n.ledger, reservation: reservation, bytes: bytes,
			arrives: w.now + delay, settles: w.now + delay,
		}
		if late {
			f.settles = w.now + budget.DefaultTransit
		}
		w.inFlight = append(w.inFlight, f)
	}
	w.advance(0)
}

// take reserves bytes on the link, or a unit of the rule when bytes is 0.
func (n *node) take(now time.Time, bytes int64) *budget.Reservation {
	if bytes == 0 {
		return n.ledger.Take(now, ruleNames)
	}
	return n.ledger.Admit(now, budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: bytes})
}

// recordArrival counts a request that has arrived and checks the limits.
func (w *simulation) recordArrival(f inFlightRequest) {
	if f.bytes == 0 {
		w.arrivals = append(w.arrivals, w.now)
		w.check()
		return
	}
	w.linkBytes = append(w.linkBytes, linkTransfer{w.now, f.bytes})
	sum := int64(0)
	for _, c := range w.linkBytes {
		if c.at >= w.now-time.Second {
			sum += c.bytes
		}
	}
	if sum > linkLimit {
		w.rt.Fatalf("%d bytes in the second before %v, limit %d", sum, w.now, linkLimit)
	}
}

// advance lets time pass, in which requests arrive and are settled.
func (w *simulation) advance(d time.Duration) {
	end := w.now + d
	for at := w.now; at <= end; at += time.Millisecond {
		w.now = at
		left := w.inFlight[:0]
		for _, f := range w.inFlight {
			if !f.arrived && f.arrives <= at {
				f.arrived = true
				w.recordArrival(f)
			}
			if f.arrived && f.settles <= at {
				f.ledger.Settle(w.clock(f.sender), f.reservation, f.bytes)
				continue
			}
			left = append(left, f)
		}
		w.inFlight = left
		if len(left) == 0 {
			break
		}
	}
	w.now = end
}

// check compares the arrivals in the window that ends now with the highest cap
// that was in force at any entry when they were sent.
func (w *simulation) check() {
	begin := w.now - time.Second
	count := 0
	for k := len(w.arrivals) - 1; k >= 0 && w.arrivals[k] >= begin; k-- {
		count++
	}
	highest := 0
	for _, c := range w.versions {
		if c.to >= begin-budget.DefaultTransit {
			highest = max(highest, w.documents[c.version-1].Rules[0].RequestsPerS)
		}
	}
	if count > highest {
		w.rt.Fatalf("%d requests in the second before %v, cap %d", count, w.now, highest)
	}
}

func (w *simulation) sendLoanRequests(i int) {
	n := w.nodes[i]
	for _, r := range n.ledger.LoanRequests(w.clock(n)) {
		for k, other := range w.nodes {
			if other.name == r.Lender {
				w.messages = append(w.messages, message{to: k, request: &r, sentAt: w.clock(n), from: n.name})
			}
		}
	}
}

func (w *simulation) deliver(k int, keep bool) {
	m := w.messages[k]
	if !keep {
		w.messages = append(w.messages[:k:k], w.messages[k+1:]...)
	}
	n := w.nodes[m.to]
	switch {
	case m.answer != nil:
		n.ledger.RecordLoan(w.clock(n), *m.request, m.sentAt, *m.answer)
	case m.request != nil:
		grant := n.ledger.Lend(w.clock(n), *m.request)
		for back, other := range w.nodes {
			if other.name == m.from {
				w.messages = append(w.messages, message{to: back, request: m.request, answer: &grant, sentAt: m.sentAt})
			}
		}
	default:
		n.ledger.SetVersions(w.clock(n), map[string]uint64{m.from: m.version})
	}
}

// sendVersion sends the version of entry i to every other entry.
func (w *simulation) sendVersion(i int) {
	for k := range w.nodes {
		if k != i {
			w.messages = append(w.messages, message{to: k, from: w.nodes[i].name, version: w.nodes[i].version})
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

func (w *simulation) change() {
	cap := rapid.SampledFrom([]int{9, 30, 60}).Draw(w.rt, "cap")
	splits := [][]int{nil, {100, 0, 0}, {0, 100, 0}, {0, 0, 100}, {50, 50, 0}}
	w.documents = append(w.documents, threeEntries(cap, rapid.SampledFrom(splits).Draw(w.rt, "split")))
}

// convergeFor delivers all messages and lets time pass, so that shares become
// usable.
func (w *simulation) convergeFor(seconds int) {
	for range seconds {
		for i := range w.nodes {
			w.adopt(i)
			w.sendVersion(i)
		}
		for len(w.messages) > 0 {
			w.deliver(0, false)
		}
		w.advance(time.Second)
	}
}

func (w *simulation) step() {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(w.rt, "entry")
	switch rapid.SampledFrom([]string{
		"burst", "burst", "burst", "trickle", "request loans", "request loans", "deliver", "deliver", "deliver", "deliver", "deliver twice",
		"drop messages", "wait", "wait", "wait", "restart", "change document", "adopt document", "send version", "converge",
	}).Draw(w.rt, "step") {
	case "burst":
		w.burst(i, 100)
	case "trickle":
		w.burst(i, rapid.IntRange(1, 12).Draw(w.rt, "requests"))
	case "request loans":
		w.sendLoanRequests(i)
	case "deliver":
		for range min(3, len(w.messages)) {
			w.deliver(rapid.IntRange(0, len(w.messages)-1).Draw(w.rt, "mail"), false)
		}
	case "deliver twice":
		if len(w.messages) > 0 {
			w.deliver(len(w.messages)-1, true)
		}
	case "drop messages":
		w.messages = nil
	case "wait":
		ms := rapid.SampledFrom([]int{1, 10, 50, 200, 500, 800, 1000, 2900, 5000}).Draw(w.rt, "ms")
		w.advance(time.Duration(ms) * time.Millisecond)
	case "restart":
		w.restart(i)
		w.adopt(i)
	case "change document":
		w.change()
	case "adopt document":
		w.adopt(i)
	case "send version":
		w.sendVersion(i)
	case "converge":
		w.convergeFor(rapid.IntRange(1, 8).Draw(w.rt, "seconds"))
	}
}

// TestCapHoldsInEveryWindow runs three entries through random schedules of
// requests, loans, lost and repeated messages, restarts and document changes.
// It guards against a window in which more arrives than the highest cap in
// force, or more bytes than the link may carry.
func TestCapHoldsInEveryWindow(t *testing.T) {
	admitted, transfers := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &simulation{rt: rt, documents: []*document.Document{threeEntries(30, nil)}}
		for k := range 3 {
			w.nodes = append(w.nodes, &node{
				name:   fmt.Sprintf("e%d", k+1),
				offset: time.Duration(k) * time.Hour,
				ppm:    int64(rapid.SampledFrom([]int{-1000, 0, 1000}).Draw(rt, "ppm")),
			})
			w.restart(k)
		}
		w.convergeFor(8)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			w.step()
		}
		admitted += len(w.arrivals)
		transfers += len(w.linkBytes)
	})
	t.Logf("%d requests and %d link transfers admitted", admitted, transfers)
}
