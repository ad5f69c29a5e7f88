package admission_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/verdict"
)

var start = time.Unix(1_800_000_000, 0)

// fake is an endpoint that answers as its fields say.
type fake struct {
	id      string
	load    float64
	slots   int // announced; 3 when 0
	latency time.Duration
	kind    admission.ResultKind
	every   int // only each such request ends with kind; 0 means all
	silent  bool
}

// bench drives a group with fakes in steps of 10 ms.
type bench struct {
	g        *admission.Group
	now      time.Time
	fakes    []*fake
	sequence uint64
	nextID   uint64
	ends     map[uint64]end
	got      map[string]int // requests per endpoint
	refused  int
	patience time.Duration
}

type end struct {
	at    time.Time
	since time.Time
	kind  admission.ResultKind
}

func newBench(cfg admission.Config, fakes ...*fake) *bench {
	b := &bench{
		g: admission.NewGroup(cfg), now: start, fakes: fakes,
		ends: map[uint64]end{}, got: map[string]int{}, patience: 500 * time.Millisecond,
	}
	b.announce()
	return b
}

func (b *bench) announce() {
	b.sequence++
	for _, f := range b.fakes {
		if !f.silent {
			b.g.Announce(b.now, b.report(f))
		}
	}
}

func (b *bench) report(f *fake) admission.Announcement {
	slots := f.slots
	if slots == 0 {
		slots = 3
	}
	return admission.Announcement{
		ID: f.id, Incarnation: 5, Sequence: b.sequence, Address: "127.0.0.1:1",
		Slots: slots, Connections: 650, State: admission.Ready, Load: f.load,
	}
}

func (b *bench) begin(ticket uint64, id string) {
	for _, f := range b.fakes {
		if f.id == id {
			b.got[id]++
			kind := f.kind
			if f.every > 0 && b.got[id]%f.every != 0 {
				kind = admission.OK
			}
			b.ends[ticket] = end{b.now.Add(f.latency), b.now, kind}
		}
	}
}

func (b *bench) grants(grants []admission.Grant) {
	for _, grant := range grants {
		b.begin(grant.Ticket, grant.Endpoint.ID)
	}
}

// run lets time pass with the given requests per step of 10 ms.
func (b *bench) run(d time.Duration, perStep int) {
	for until := b.now.Add(d); b.now.Before(until); b.now = b.now.Add(10 * time.Millisecond) {
		if b.now.Sub(start)%time.Second == 0 {
			b.announce()
		}
		for _, id := range slices.Sorted(maps.Keys(b.ends)) {
			e := b.ends[id]
			if !b.now.Before(e.at) {
				delete(b.ends, id)
				b.grants(b.g.Done(b.now, id, admission.Result{Kind: e.kind, Latency: b.now.Sub(e.since)}))
			}
		}
		grants, _ := b.g.Tick(b.now)
		b.grants(grants)
		for range perStep {
			b.offer()
		}
	}
}

func (b *bench) offer() {
	b.nextID++
	t := admission.Ticket{ID: b.nextID, Deadline: b.now.Add(b.patience), Own: true}
	switch d := b.g.Offer(b.now, t); d.Kind {
	case admission.Granted:
		b.begin(t.ID, d.Endpoint.ID)
	case admission.Refused:
		b.refused++
	case admission.Queued:
	}
}

func good(id string) *fake { return &fake{id: id, latency: 30 * time.Millisecond} }

// TestWorkFollowsRequests lets one of four endpoints lie in its reports; the
// share of work that it gets must follow from what its requests show.
func TestWorkFollowsRequests(t *testing.T) {
	slow := 300 * time.Millisecond
	failed, shed := admission.Failed, admission.Shed
	cases := []struct {
		name     string
		liar     *fake
		perStep  int     // requests per 10 ms; the honest three can run 9 in 30 ms
		min, max float64 // share of the work, a fair one being 0.25
	}{
		{"says 0 for ever, is slow", &fake{id: "x", latency: slow}, 2, 0, 0.05},
		{"says 0 for ever, is twice as slow", &fake{id: "x", latency: 75 * time.Millisecond}, 2, 0, 0.07},
		{"says 0 for ever, fails at once", &fake{id: "x", latency: time.Millisecond, kind: failed}, 2, 0, 0.02},
		{"fails at once, others full", &fake{id: "x", latency: time.Millisecond, kind: failed}, 4, 0, 0.02},
		{"fails every other time", &fake{id: "x", latency: 30 * time.Millisecond, kind: failed, every: 2}, 2, 0, 0.1},
		{"says 0 for ever, sheds", &fake{id: "x", latency: time.Millisecond, kind: shed}, 2, 0, 0.05},
		{"sheds, others full", &fake{id: "x", latency: time.Millisecond, kind: shed}, 4, 0, 0.02},
		{"says 0 for ever, never answers", &fake{id: "x", latency: 500 * time.Millisecond, kind: admission.Timeout}, 2, 0, 0.02},
		{"says full for ever, is fine", &fake{id: "x", latency: 30 * time.Millisecond, load: 1}, 2, 0.2, 0.3},
		{"claims many slots, is slow", &fake{id: "x", slots: 1000, latency: slow}, 2, 0, 0.1},
		{"claims many slots, sheds", &fake{id: "x", slots: 1000, latency: time.Millisecond, kind: shed}, 2, 0, 0.05},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(admission.Config{}, good("a"), good("b"), good("c"), c.liar)
			b.run(10*time.Second, c.perStep)
			total := 0
			for _, n := range b.got {
				total += n
			}
			share := float64(b.got["x"]) / float64(total)
			if share < c.min || share > c.max {
				t.Errorf("share %.3f of %d, want %.2f to %.2f", share, total, c.min, c.max)
			}
		})
	}
}

// TestReportsAtFault lets reports stop, lag and cross.
func TestReportsAtFault(t *testing.T) {
	four := func() *bench {
		return newBench(admission.Config{}, good("a"), good("b"), good("c"), good("d"))
	}
	cases := []struct {
		name string
		run  func(b *bench)
		want int // endpoints in use
	}{
		{"one stops, 2.9 s", func(b *bench) {
			b.fakes[0].silent = true
			b.run(2900*time.Millisecond, 1)
		}, 4},
		{"one stops, 4.1 s", func(b *bench) {
			b.run(time.Second, 1)
			b.fakes[0].silent = true
			b.run(4100*time.Millisecond, 1)
		}, 3},
		{"two of four stop", func(b *bench) {
			b.fakes[0].silent, b.fakes[1].silent = true, true
			b.run(5*time.Second, 1)
		}, 2},
		{"three of four stop", func(b *bench) {
			b.fakes[0].silent, b.fakes[1].silent, b.fakes[2].silent = true, true, true
			b.run(60*time.Second, 1)
		}, 4},
		{"all stop in turn within a second", func(b *bench) {
			for _, f := range b.fakes {
				b.now = b.now.Add(250 * time.Millisecond)
				b.announce()
				f.silent = true
			}
			b.now = b.now.Truncate(time.Second).Add(time.Second)
			b.run(60*time.Second, 1)
		}, 4},
		{"all stop and one fails", func(b *bench) {
			for _, f := range b.fakes {
				f.silent = true
			}
			b.fakes[0].kind = admission.Failed
			b.run(10*time.Second, 2)
		}, 3},
		{"all lag 10 s", func(b *bench) {
			b.run(5*time.Second, 1)
			for i := range 1000 { // in steps of 10 ms
				b.sequence = uint64(6 + i/100) // no newer one than was sent 10 s ago
				b.now = b.now.Add(10 * time.Millisecond)
				b.g.Tick(b.now)
				if i%100 == 99 {
					b.announce()
				}
			}
		}, 4},
		{"an older report", func(b *bench) {
			b.run(2*time.Second, 1)
			old := b.report(b.fakes[0])
			old.Sequence, old.State = 1, admission.Starting
			b.g.Announce(b.now, old)
		}, 4},
		{"an earlier incarnation leaves", func(b *bench) {
			old := b.report(b.fakes[0])
			old.Incarnation, old.Sequence, old.State = 4, 99, admission.Leaving
			b.g.Announce(b.now, old)
		}, 4},
		{"leaves, and an older report comes late", func(b *bench) {
			leaving := b.report(b.fakes[0])
			leaving.Sequence, leaving.State = 50, admission.Leaving
			b.g.Announce(b.now, leaving)
			b.announce()
		}, 3},
		{"leaves, and a crossed newer report follows", func(b *bench) {
			leaving := b.report(b.fakes[0])
			leaving.State = admission.Leaving
			newer := b.report(b.fakes[0])
			newer.Sequence = 70
			b.g.Announce(b.now, newer)
			b.g.Announce(b.now, leaving)
			b.run(5*time.Second, 1)
		}, 3},
		{"leaves and is silent, then reports", func(b *bench) {
			leaving := b.report(b.fakes[0])
			leaving.State = admission.Leaving
			b.g.Announce(b.now, leaving)
			b.fakes[0].silent = true
			b.run(10*time.Second, 1)
			b.fakes[0].silent = false
			b.run(5*time.Second, 1)
		}, 3},
		{"leaves and starts again", func(b *bench) {
			again := b.report(b.fakes[0])
			again.State = admission.Leaving
			b.g.Announce(b.now, again)
			again.Incarnation, again.State = 6, admission.Ready
			b.g.Announce(b.now, again)
		}, 4},
		{"lost, and a late report of it", func(b *bench) {
			b.g.Lost(b.now, "a", 5)
			b.g.Announce(b.now, b.report(b.fakes[0]))
		}, 3},
		{"another incarnation lost", func(b *bench) { b.g.Lost(b.now, "a", 4) }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := four()
			c.run(b)
			is.New(t).Equal(b.g.Stats(b.now).Endpoints, c.want)
		})
	}
}

// TestLeavingGetsNoWork offers work from the moment of leaving on.
func TestLeavingGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newBench(admission.Config{}, good("a"), good("b"))
	b.run(time.Second, 2)
	leaving := b.report(b.fakes[0])
	leaving.State = admission.Leaving
	b.g.Announce(b.now, leaving)
	before := b.got["a"]
	b.run(5*time.Second, 2)
	is.True(before > 0)
	is.Equal(b.got["a"], before)
}

func TestOffer(t *testing.T) {
	ready := func() *bench { // 3 slots of 100 ms, all known
		return newBench(admission.Config{ReservePercent: 40}, &fake{id: "a", latency: 100 * time.Millisecond})
	}
	fill := func(b *bench, n int) {
		for range n {
			b.offer()
		}
	}
	ticket := func(b *bench, own bool, ms int) admission.Ticket {
		return admission.Ticket{ID: 1 << 40, Own: own, Deadline: b.now.Add(time.Duration(ms) * time.Millisecond)}
	}
	excluded := func(b *bench) admission.Ticket {
		t := ticket(b, true, 900)
		t.Exclude = []string{"a"}
		return t
	}
	cases := []struct {
		name   string
		busy   int
		ticket func(b *bench) admission.Ticket
		kind   admission.DecisionKind
		reason verdict.Reason
	}{
		{"free slot", 2, func(b *bench) admission.Ticket { return ticket(b, true, 300) }, admission.Granted, ""},
		{"full", 3, func(b *bench) admission.Ticket { return ticket(b, true, 900) }, admission.Queued, ""},
		{"a sixteenth of the deadline is too short", 3, func(b *bench) admission.Ticket { return ticket(b, true, 300) }, admission.Refused, verdict.ReasonOverload},
		{"deadline passed", 0, func(b *bench) admission.Ticket { return ticket(b, true, 0) }, admission.Refused, verdict.ReasonDeadline},
		{"queue can't meet the deadline", 9, func(b *bench) admission.Ticket { return ticket(b, true, 300) }, admission.Refused, verdict.ReasonOverload},
		{"longer deadline", 4, func(b *bench) admission.Ticket { return ticket(b, true, 1200) }, admission.Queued, ""},
		{"longer than the median latency", 6, func(b *bench) admission.Ticket { return ticket(b, true, 60_000) }, admission.Refused, verdict.ReasonOverload},
		{"no time left for the endpoint", 3, func(b *bench) admission.Ticket { return ticket(b, true, 120) }, admission.Refused, verdict.ReasonOverload},
		{"spilled below the reserve", 0, func(b *bench) admission.Ticket { return ticket(b, false, 900) }, admission.Granted, ""},
		{"spilled into the reserve", 1, func(b *bench) admission.Ticket { return ticket(b, false, 900) }, admission.Refused, verdict.ReasonOverload},
		{"spilled, long deadline", 1, func(b *bench) admission.Ticket { return ticket(b, false, 60_000) }, admission.Queued, ""},
		{"own into the reserve", 1, func(b *bench) admission.Ticket { return ticket(b, true, 900) }, admission.Granted, ""},
		{"no other endpoint", 0, excluded, admission.Refused, verdict.ReasonNoEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := ready()
			b.run(2*time.Second, 1)
			b.run(2*time.Second, 0)
			b.patience = time.Minute
			fill(b, c.busy)
			got := b.g.Offer(b.now, c.ticket(b))
			is.Equal(got.Kind, c.kind)
			is.Equal(got.Reason, c.reason)
		})
	}
}

// TestOwnTrafficGoesFirst queues spilled-in work before own work.
func TestOwnTrafficGoesFirst(t *testing.T) {
	is := is.New(t)
	b := newBench(admission.Config{}, &fake{id: "a", slots: 1, latency: time.Hour})
	b.offer()
	deadline := b.now.Add(time.Minute)
	b.g.Offer(b.now, admission.Ticket{ID: 100, Deadline: deadline})
	b.g.Offer(b.now, admission.Ticket{ID: 101, Deadline: deadline, Own: true})
	grants := b.g.Done(b.now, 1, admission.Result{Latency: time.Millisecond})
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Ticket, uint64(101))
	is.True(b.g.Cancel(b.now, 100))
	is.Equal(len(b.g.Done(b.now, 101, admission.Result{Latency: time.Millisecond})), 0)
}

// TestSlowStart starts one of three endpoints, or brings it back after it was
// silent: it begins with a part of its slots, grows while its latency is near
// its peers', and not while it is far from them.
func TestSlowStart(t *testing.T) {
	for _, c := range []struct {
		name    string
		known   bool
		latency time.Duration
		low     int // slots of the group after 11 s, 2 * 10 of them warm
		high    int
	}{
		{"new, near its peers", false, 40 * time.Millisecond, 30, 30},
		{"new, far from its peers", false, 200 * time.Millisecond, 21, 24},
		{"returned, near its peers", true, 40 * time.Millisecond, 30, 30},
		{"returned, far from its peers", true, 200 * time.Millisecond, 21, 24},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			cold := &fake{id: "c", slots: 10, latency: 30 * time.Millisecond, silent: !c.known}
			b := newBench(admission.Config{},
				&fake{id: "a", slots: 10, latency: 30 * time.Millisecond},
				&fake{id: "b", slots: 10, latency: 30 * time.Millisecond}, cold)
			b.run(2*time.Second, 6)
			cold.silent, cold.latency = true, c.latency
			b.run(6*time.Second, 6)
			is.Equal(b.g.Stats(b.now).Slots, 20)
			cold.silent = false
			b.announce()
			is.Equal(b.g.Stats(b.now).Slots, 22)
			b.run(11*time.Second, 6)
			got := b.g.Stats(b.now).Slots
			is.True(got >= c.low && got <= c.high)
		})
	}
}

// TestNewOwnerStartsAtFullCapacity lets endpoints announce themselves to a new
// owner one after the other, with ticks between.
func TestNewOwnerStartsAtFullCapacity(t *testing.T) {
	is := is.New(t)
	b := newBench(admission.Config{}, good("a"))
	for _, id := range []string{"b", "c", "d"} {
		b.run(300*time.Millisecond, 1)
		b.g.Announce(b.now, b.report(good(id)))
	}
	is.Equal(b.g.Stats(b.now).Slots, 12)
	b.run(5*time.Second, 0)
	b.g.Announce(b.now, b.report(good("e")))
	is.Equal(b.g.Stats(b.now).Slots, 12+1) // e comes later and is cold
}

// TestQueueLeavesTimeForSlowRequests refuses a request that would end in time
// at the median latency, but not at that of the slowest tenth.
func TestQueueLeavesTimeForSlowRequests(t *testing.T) {
	is := is.New(t)
	b := newBench(admission.Config{}, &fake{id: "a"})
	b.run(100*time.Millisecond, 0)
	for id := range uint64(100) {
		latency := 10 * time.Millisecond
		if id%5 == 0 {
			latency = 400 * time.Millisecond
		}
		b.g.Offer(b.now, admission.Ticket{ID: id, Own: true, Deadline: b.now.Add(time.Minute)})
		b.g.Done(b.now, id, admission.Result{Latency: latency})
	}
	b.nextID = 1000
	for range 3 {
		b.offer()
	}
	refused := b.g.Offer(b.now, admission.Ticket{ID: 1, Own: true, Deadline: b.now.Add(350 * time.Millisecond)})
	is.Equal(refused.Reason, verdict.ReasonOverload)
	queued := b.g.Offer(b.now, admission.Ticket{ID: 2, Own: true, Deadline: b.now.Add(600 * time.Millisecond)})
	is.Equal(queued.Kind, admission.Queued)
	again := b.g.Offer(b.now, admission.Ticket{ID: 2, Own: true, Deadline: b.now.Add(600 * time.Millisecond)})
	is.Equal(again.Reason, verdict.ReasonInternal) // the same ticket twice
}

func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := admission.NewRetryBudget()
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.Withdraw(start) {
			retries++
		}
	}
	is.True(retries >= 99 && retries <= 101)
	is.True(!b.Withdraw(start))
	is.True(b.Withdraw(start.Add(2 * time.Second)))
	is.True(!b.Withdraw(start.Add(2 * time.Second)))
}

func TestLatencyWindow(t *testing.T) {
	is := is.New(t)
	w := admission.NewLatencyWindow()
	is.True(!w.Late(time.Hour))
	is.Equal(w.Quantile(0.9), time.Duration(0))
	for i := range 10_000 {
		w.Add(time.Duration(1+i%100) * time.Millisecond)
	}
	for _, q := range []float64{0.5, 0.9, 0.99} {
		got := w.Quantile(q).Seconds() * 1000
		is.True(got >= 100*q && got <= 100*q*1.1+1)
	}
	is.True(w.Late(120 * time.Millisecond))
	is.True(!w.Late(90 * time.Millisecond))
	for range 2000 {
		w.Add(time.Millisecond)
	}
	is.True(w.Late(3 * time.Millisecond))
}
