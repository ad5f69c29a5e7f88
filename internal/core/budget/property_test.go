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

// world is three entries with clocks of their own that share the cap of one
// rule and one link, and the messages between them.
type world struct {
	rt      *rapid.T
	now     time.Duration // true time
	nodes   []*node
	docs    []*document.Document // by version, from 1
	mail    []message
	flights []onItsWay
	admits  []time.Duration // when requests arrived
	carried []bytesAt
	changes []inForce
}

// bytesAt is what went over the link at one moment.
type bytesAt struct {
	at    time.Duration
	bytes int64
}

// linkLimit is what the link may carry in a second: 50% of 8 Mbit/s.
const linkLimit = 500_000

// onItsWay is a request that was sent and hasn't been counted as arrived yet.
type onItsWay struct {
	sender           *node
	ledger           *budget.Ledger
	hold             *budget.Hold
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

// message is a request, an answer, or the sight of another's version.
type message struct {
	to      int
	request *budget.BorrowRequest
	answer  *budget.Grant
	sentAt  time.Time
	from    string
	version uint64
}

// inForce says that a version was in force at an entry until a time.
type inForce struct {
	node     int
	version  uint64
	from, to time.Duration
}

const never = time.Duration(1<<62 - 1)

func (w *world) clock(n *node) time.Time {
	drift := time.Duration(int64(w.now/time.Microsecond) * n.ppm / 1000)
	return epoch.Add(n.offset + w.now + drift)
}

func (w *world) restart(i int) {
	n := w.nodes[i]
	n.incarnation++
	n.ledger = budget.NewLedger(
		budget.Owner{Entry: n.name, Incarnation: n.incarnation},
		budget.Config{Forget: -1}, w.clock(n))
	n.version = 0
}

// adopt puts the newest version in force at an entry.
func (w *world) adopt(i int) {
	n := w.nodes[i]
	version := uint64(len(w.docs))
	if n.version == version {
		return
	}
	for k := range w.changes {
		if w.changes[k].node == i && w.changes[k].to == never {
			w.changes[k].to = w.now
		}
	}
	w.changes = append(w.changes, inForce{i, version, w.now, never})
	n.version = version
	n.ledger.SetDocument(w.clock(n), version, w.docs[version-1])
}

// burst sends as much as an entry lets through at one moment. It arrives after
// a delay, and is counted as arrived then, or when its transit is over.
func (w *world) burst(i, most int) {
	n := w.nodes[i]
	delay := time.Duration(rapid.SampledFrom([]int{0, 0, 20, 50}).Draw(w.rt, "delay")) * time.Millisecond
	late := rapid.Bool().Draw(w.rt, "late")
	bytes := rapid.SampledFrom([]int64{0, 0, 0, 7_000, 60_000}).Draw(w.rt, "bytes")
	for range most {
		hold := n.take(w.clock(n), bytes)
		if hold == nil {
			break
		}
		f := onItsWay{
			sender: n, ledger: n.ledger, hold: hold, bytes: bytes,
			arrives: w.now + delay, settles: w.now + delay,
		}
		if late {
			f.settles = w.now + budget.DefaultTransit
		}
		w.flights = append(w.flights, f)
	}
	w.pass(0)
}

// take reserves bytes on the link, or a unit of the rule for none.
func (n *node) take(now time.Time, bytes int64) *budget.Hold {
	if bytes == 0 {
		return n.ledger.Take(now, move)
	}
	return n.ledger.Admit(now, budget.Charge{Link: &budget.LinkID{From: "west", To: "east"}, Bytes: bytes})
}

// land counts what has arrived.
func (w *world) land(f onItsWay) {
	if f.bytes == 0 {
		w.admits = append(w.admits, w.now)
		w.check()
		return
	}
	w.carried = append(w.carried, bytesAt{w.now, f.bytes})
	sum := int64(0)
	for _, c := range w.carried {
		if c.at >= w.now-time.Second {
			sum += c.bytes
		}
	}
	if sum > linkLimit {
		w.rt.Fatalf("%d bytes in the second before %v, limit %d", sum, w.now, linkLimit)
	}
}

// pass lets time pass, in which requests arrive and are counted as arrived.
func (w *world) pass(d time.Duration) {
	end := w.now + d
	for at := w.now; at <= end; at += time.Millisecond {
		w.now = at
		left := w.flights[:0]
		for _, f := range w.flights {
			if !f.arrived && f.arrives <= at {
				f.arrived = true
				w.land(f)
			}
			if f.arrived && f.settles <= at {
				f.ledger.Settle(w.clock(f.sender), f.hold, f.bytes)
				continue
			}
			left = append(left, f)
		}
		w.flights = left
		if len(left) == 0 {
			break
		}
	}
	w.now = end
}

// check compares the arrivals in the window that ends now with the highest cap
// that was in force anywhere when they were sent.
func (w *world) check() {
	begin := w.now - time.Second
	count := 0
	for k := len(w.admits) - 1; k >= 0 && w.admits[k] >= begin; k-- {
		count++
	}
	highest := 0
	for _, c := range w.changes {
		if c.to >= begin-budget.DefaultTransit {
			highest = max(highest, w.docs[c.version-1].Rules[0].RequestsPerS)
		}
	}
	if count > highest {
		w.rt.Fatalf("%d requests in the second before %v, cap %d", count, w.now, highest)
	}
}

func (w *world) ask(i int) {
	n := w.nodes[i]
	for _, r := range n.ledger.Wants(w.clock(n)) {
		for k, other := range w.nodes {
			if other.name == r.Lender {
				w.mail = append(w.mail, message{to: k, request: &r, sentAt: w.clock(n), from: n.name})
			}
		}
	}
}

func (w *world) deliver(k int, keep bool) {
	m := w.mail[k]
	if !keep {
		w.mail = append(w.mail[:k:k], w.mail[k+1:]...)
	}
	n := w.nodes[m.to]
	switch {
	case m.answer != nil:
		n.ledger.Borrowed(w.clock(n), *m.request, m.sentAt, *m.answer)
	case m.request != nil:
		grant := n.ledger.Lend(w.clock(n), *m.request)
		for back, other := range w.nodes {
			if other.name == m.from {
				w.mail = append(w.mail, message{to: back, request: m.request, answer: &grant, sentAt: m.sentAt})
			}
		}
	default:
		n.ledger.SetVersions(w.clock(n), map[string]uint64{m.from: m.version})
	}
}

// tell sends every other entry the version of entry i.
func (w *world) tell(i int) {
	for k := range w.nodes {
		if k != i {
			w.mail = append(w.mail, message{to: k, from: w.nodes[i].name, version: w.nodes[i].version})
		}
	}
}

func threeEntries(cap int, percents []int) *document.Document {
	doc := pair(cap)
	doc.Places[1].Entries = []document.Entry{{Name: "e1"}, {Name: "e2"}, {Name: "e3"}}
	for k, p := range percents {
		doc.Rules[0].Shares = append(doc.Rules[0].Shares, document.Share{Entry: fmt.Sprintf("e%d", k+1), Percent: p})
	}
	return doc
}

func (w *world) change() {
	cap := rapid.SampledFrom([]int{9, 30, 60}).Draw(w.rt, "cap")
	splits := [][]int{nil, {100, 0, 0}, {0, 100, 0}, {0, 0, 100}, {50, 50, 0}}
	w.docs = append(w.docs, threeEntries(cap, rapid.SampledFrom(splits).Draw(w.rt, "split")))
}

// settle lets messages through and time pass, so that shares get usable.
func (w *world) settle(seconds int) {
	for range seconds {
		for i := range w.nodes {
			w.adopt(i)
			w.tell(i)
		}
		for len(w.mail) > 0 {
			w.deliver(0, false)
		}
		w.pass(time.Second)
	}
}

func (w *world) step() {
	i := rapid.IntRange(0, len(w.nodes)-1).Draw(w.rt, "entry")
	switch rapid.SampledFrom([]string{
		"burst", "burst", "burst", "trickle", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "repeat",
		"lose", "wait", "wait", "wait", "restart", "change", "adopt", "tell", "settle",
	}).Draw(w.rt, "step") {
	case "burst":
		w.burst(i, 100)
	case "trickle":
		w.burst(i, rapid.IntRange(1, 12).Draw(w.rt, "requests"))
	case "ask":
		w.ask(i)
	case "deliver":
		for range min(3, len(w.mail)) {
			w.deliver(rapid.IntRange(0, len(w.mail)-1).Draw(w.rt, "mail"), false)
		}
	case "repeat":
		if len(w.mail) > 0 {
			w.deliver(len(w.mail)-1, true)
		}
	case "lose":
		w.mail = nil
	case "wait":
		ms := rapid.SampledFrom([]int{1, 10, 50, 200, 500, 800, 1000, 2900, 5000}).Draw(w.rt, "ms")
		w.pass(time.Duration(ms) * time.Millisecond)
	case "restart":
		w.restart(i)
		w.adopt(i)
	case "change":
		w.change()
	case "adopt":
		w.adopt(i)
	case "tell":
		w.tell(i)
	case "settle":
		w.settle(rapid.IntRange(1, 8).Draw(w.rt, "seconds"))
	}
}

func TestCapHoldsInEveryWindow(t *testing.T) {
	admitted, parcels := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{rt: rt, docs: []*document.Document{threeEntries(30, nil)}}
		for k := range 3 {
			w.nodes = append(w.nodes, &node{
				name:   fmt.Sprintf("e%d", k+1),
				offset: time.Duration(k) * time.Hour,
				ppm:    int64(rapid.SampledFrom([]int{-1000, 0, 1000}).Draw(rt, "ppm")),
			})
			w.restart(k)
		}
		w.settle(8)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			w.step()
		}
		admitted += len(w.admits)
		parcels += len(w.carried)
	})
	t.Logf("%d requests and %d parcels admitted", admitted, parcels)
}
