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

// fakeEndpoint simulates an endpoint that behaves as its fields say.
type fakeEndpoint struct {
	id        string
	load      float64
	slots     int // announced; 3 when 0
	latency   time.Duration
	kind      admission.ResultKind
	failEvery int  // only every n-th request ends with kind; 0 means all
	stopped   bool // sends no announcements, but still runs requests
}

// harness drives a group with fake endpoints in steps of 10 ms.
type harness struct {
	g        *admission.Group
	now      time.Time
	fakes    []*fakeEndpoint
	sequence uint64
	nextID   uint64
	pending  map[uint64]pendingEnd
	received map[string]int // requests per endpoint
	refused  int
	timeout  time.Duration // from an offer to its deadline
}

type pendingEnd struct {
	endsAt    time.Time
	startedAt time.Time
	kind      admission.ResultKind
}

func newHarness(cfg admission.Config, fakes ...*fakeEndpoint) *harness {
	b := &harness{
		g: admission.NewGroup(cfg), now: start, fakes: fakes,
		pending: map[uint64]pendingEnd{}, received: map[string]int{}, timeout: 500 * time.Millisecond,
	}
	b.announce()
	return b
}

func (b *harness) announce() {
	b.sequence++
	for _, f := range b.fakes {
		if !f.stopped {
			b.g.Announce(b.now, b.announcement(f))
		}
	}
}

func (b *harness) announcement(f *fakeEndpoint) admission.Announcement {
	slots := f.slots
	if slots == 0 {
		slots = 3
	}
	return admission.Announcement{
		ID: f.id, Incarnation: 5, Sequence: b.sequence, Address: "127.0.0.1:1",
		Slots: slots, Connections: 650, State: admission.Ready, Load: f.load,
	}
}

func (b *harness) begin(ticket uint64, id string) {
	for _, f := range b.fakes {
		if f.id == id {
			b.received[id]++
			kind := f.kind
			if f.failEvery > 0 && b.received[id]%f.failEvery != 0 {
				kind = admission.OK
			}
			b.pending[ticket] = pendingEnd{b.now.Add(f.latency), b.now, kind}
		}
	}
}

func (b *harness) grants(grants []admission.Grant) {
	for _, grant := range grants {
		b.begin(grant.Ticket, grant.Endpoint.ID)
	}
}

// run advances the time by d, with the given number of requests per step of
// 10 ms.
func (b *harness) run(d time.Duration, perStep int) {
	for until := b.now.Add(d); b.now.Before(until); b.now = b.now.Add(10 * time.Millisecond) {
		if b.now.Sub(start)%time.Second == 0 {
			b.announce()
		}
		for _, id := range slices.Sorted(maps.Keys(b.pending)) {
			e := b.pending[id]
			if !b.now.Before(e.endsAt) {
				delete(b.pending, id)
				b.grants(b.g.Done(b.now, id, admission.Result{Kind: e.kind, Latency: b.now.Sub(e.startedAt)}))
			}
		}
		grants, _ := b.g.Tick(b.now)
		b.grants(grants)
		for range perStep {
			b.offer()
		}
	}
}

func (b *harness) offer() {
	b.nextID++
	t := admission.Ticket{ID: b.nextID, Deadline: b.now.Add(b.timeout), Local: true}
	switch d := b.g.Offer(b.now, t); d.Kind {
	case admission.Granted:
		b.begin(t.ID, d.Endpoint.ID)
	case admission.Refused:
		b.refused++
	case admission.Queued:
	}
}

func healthyEndpoint(id string) *fakeEndpoint {
	return &fakeEndpoint{id: id, latency: 30 * time.Millisecond}
}

// TestLoadFollowsResultsNotReports guards against load on an endpoint that
// reports or announces falsely. One of four endpoints does; its share of the
// requests must follow from their results.
func TestLoadFollowsResultsNotReports(t *testing.T) {
	slow := 300 * time.Millisecond
	failed, shed := admission.Failed, admission.Shed
	cases := []struct {
		name     string
		faulty   *fakeEndpoint
		perStep  int     // requests per 10 ms; the other three can run 9 in 30 ms
		min, max float64 // share of the requests; an equal one is 0.25
	}{
		{"always reports 0, is slow", &fakeEndpoint{id: "x", latency: slow}, 2, 0, 0.05},
		{"always reports 0, is 2.5 times as slow", &fakeEndpoint{id: "x", latency: 75 * time.Millisecond}, 2, 0, 0.07},
		{"always reports 0, fails at once", &fakeEndpoint{id: "x", latency: time.Millisecond, kind: failed}, 2, 0, 0.02},
		{"fails at once, others full", &fakeEndpoint{id: "x", latency: time.Millisecond, kind: failed}, 4, 0, 0.02},
		{"fails every other time", &fakeEndpoint{id: "x", latency: 30 * time.Millisecond, kind: failed, failEvery: 2}, 2, 0, 0.1},
		{"always reports 0, sheds", &fakeEndpoint{id: "x", latency: time.Millisecond, kind: shed}, 2, 0, 0.05},
		{"sheds, others full", &fakeEndpoint{id: "x", latency: time.Millisecond, kind: shed}, 4, 0, 0.02},
		{"always reports 0, never answers", &fakeEndpoint{id: "x", latency: 500 * time.Millisecond, kind: admission.Timeout}, 2, 0, 0.02},
		{"always reports full load, is healthy", &fakeEndpoint{id: "x", latency: 30 * time.Millisecond, load: 1}, 2, 0.2, 0.3},
		{"announces many slots, is slow", &fakeEndpoint{id: "x", slots: 1000, latency: slow}, 2, 0, 0.1},
		{"announces many slots, sheds", &fakeEndpoint{id: "x", slots: 1000, latency: time.Millisecond, kind: shed}, 2, 0, 0.05},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newHarness(admission.Config{}, healthyEndpoint("a"), healthyEndpoint("b"), healthyEndpoint("c"), c.faulty)
			b.run(10*time.Second, c.perStep)
			total := 0
			for _, n := range b.received {
				total += n
			}
			share := float64(b.received["x"]) / float64(total)
			if share < c.min || share > c.max {
				t.Errorf("share %.3f of %d, want %.2f to %.2f", share, total, c.min, c.max)
			}
		})
	}
}

// TestFaultyAnnouncements guards against the loss of working endpoints, and
// the return of ended ones, when announcements stop, are delayed or arrive
// out of order.
func TestFaultyAnnouncements(t *testing.T) {
	four := func() *harness {
		return newHarness(admission.Config{}, healthyEndpoint("a"), healthyEndpoint("b"), healthyEndpoint("c"), healthyEndpoint("d"))
	}
	cases := []struct {
		name string
		run  func(b *harness)
		want int // endpoints in use
	}{
		{"one stops, 2.9 s", func(b *harness) {
			b.fakes[0].stopped = true
			b.run(2900*time.Millisecond, 1)
		}, 4},
		{"one stops, 4.1 s", func(b *harness) {
			b.run(time.Second, 1)
			b.fakes[0].stopped = true
			b.run(4100*time.Millisecond, 1)
		}, 3},
		{"two of four stop", func(b *harness) {
			b.fakes[0].stopped, b.fakes[1].stopped = true, true
			b.run(5*time.Second, 1)
		}, 2},
		{"three of four stop", func(b *harness) {
			b.fakes[0].stopped, b.fakes[1].stopped, b.fakes[2].stopped = true, true, true
			b.run(60*time.Second, 1)
		}, 4},
		{"all stop in turn within a second", func(b *harness) {
			for _, f := range b.fakes {
				b.now = b.now.Add(250 * time.Millisecond)
				b.announce()
				f.stopped = true
			}
			b.now = b.now.Truncate(time.Second).Add(time.Second)
			b.run(60*time.Second, 1)
		}, 4},
		{"all stop and one fails", func(b *harness) {
			for _, f := range b.fakes {
				f.stopped = true
			}
			b.fakes[0].kind = admission.Failed
			b.run(10*time.Second, 2)
		}, 3},
		{"all are delayed by 10 s", func(b *harness) {
			b.run(5*time.Second, 1)
			for i := range 1000 { // in steps of 10 ms
				b.sequence = uint64(6 + i/100) // no newer than what was sent 10 s ago
				b.now = b.now.Add(10 * time.Millisecond)
				b.g.Tick(b.now)
				if i%100 == 99 {
					b.announce()
				}
			}
		}, 4},
		{"a stale announcement", func(b *harness) {
			b.run(2*time.Second, 1)
			old := b.announcement(b.fakes[0])
			old.Sequence, old.State = 1, admission.Starting
			b.g.Announce(b.now, old)
		}, 4},
		{"an earlier incarnation leaves", func(b *harness) {
			old := b.announcement(b.fakes[0])
			old.Incarnation, old.Sequence, old.State = 4, 99, admission.Leaving
			b.g.Announce(b.now, old)
		}, 4},
		{"leaves, and a stale announcement arrives late", func(b *harness) {
			leaving := b.announcement(b.fakes[0])
			leaving.Sequence, leaving.State = 50, admission.Leaving
			b.g.Announce(b.now, leaving)
			b.announce()
		}, 3},
		{"leaves, and a newer announcement overtakes", func(b *harness) {
			leaving := b.announcement(b.fakes[0])
			leaving.State = admission.Leaving
			newer := b.announcement(b.fakes[0])
			newer.Sequence = 70
			b.g.Announce(b.now, newer)
			b.g.Announce(b.now, leaving)
			b.run(5*time.Second, 1)
		}, 3},
		{"leaves and stops announcing, then announces again", func(b *harness) {
			leaving := b.announcement(b.fakes[0])
			leaving.State = admission.Leaving
			b.g.Announce(b.now, leaving)
			b.fakes[0].stopped = true
			b.run(10*time.Second, 1)
			b.fakes[0].stopped = false
			b.run(5*time.Second, 1)
		}, 3},
		{"leaves and starts again", func(b *harness) {
			again := b.announcement(b.fakes[0])
			again.State = admission.Leaving
			b.g.Announce(b.now, again)
			again.Incarnation, again.State = 6, admission.Ready
			b.g.Announce(b.now, again)
		}, 4},
		{"lost, and a stale announcement arrives late", func(b *harness) {
			b.g.MarkLost(b.now, "a", 5)
			b.g.Announce(b.now, b.announcement(b.fakes[0]))
		}, 3},
		{"another incarnation lost", func(b *harness) { b.g.MarkLost(b.now, "a", 4) }, 4},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := four()
			c.run(b)
			is.New(t).Equal(b.g.Stats(b.now).Endpoints, c.want)
		})
	}
}

// TestLeavingGetsNoWork guards against grants to an endpoint after it has
// announced that it leaves.
func TestLeavingGetsNoWork(t *testing.T) {
	is := is.New(t)
	b := newHarness(admission.Config{}, healthyEndpoint("a"), healthyEndpoint("b"))
	b.run(time.Second, 2)
	leaving := b.announcement(b.fakes[0])
	leaving.State = admission.Leaving
	b.g.Announce(b.now, leaving)
	before := b.received["a"]
	b.run(5*time.Second, 2)
	is.True(before > 0)
	is.Equal(b.received["a"], before)
}

func TestOffer(t *testing.T) {
	ready := func() *harness { // 3 slots, latency of 100 ms
		return newHarness(admission.Config{ReservePercent: 40}, &fakeEndpoint{id: "a", latency: 100 * time.Millisecond})
	}
	fill := func(b *harness, n int) {
		for range n {
			b.offer()
		}
	}
	ticket := func(b *harness, local bool, ms int) admission.Ticket {
		return admission.Ticket{ID: 1 << 40, Local: local, Deadline: b.now.Add(time.Duration(ms) * time.Millisecond)}
	}
	excluded := func(b *harness) admission.Ticket {
		t := ticket(b, true, 900)
		t.Exclude = []string{"a"}
		return t
	}
	cases := []struct {
		name   string
		busy   int
		ticket func(b *harness) admission.Ticket
		kind   admission.DecisionKind
		reason verdict.Reason
	}{
		{"free slot", 2, func(b *harness) admission.Ticket { return ticket(b, true, 300) }, admission.Granted, ""},
		{"full", 3, func(b *harness) admission.Ticket { return ticket(b, true, 900) }, admission.Queued, ""},
		{"a sixteenth of the deadline is too short", 3, func(b *harness) admission.Ticket { return ticket(b, true, 300) }, admission.Refused, verdict.ReasonOverload},
		{"deadline passed", 0, func(b *harness) admission.Ticket { return ticket(b, true, 0) }, admission.Refused, verdict.ReasonDeadline},
		{"queue can't meet the deadline", 9, func(b *harness) admission.Ticket { return ticket(b, true, 300) }, admission.Refused, verdict.ReasonOverload},
		{"longer deadline", 4, func(b *harness) admission.Ticket { return ticket(b, true, 1200) }, admission.Queued, ""},
		{"longer than the median latency", 6, func(b *harness) admission.Ticket { return ticket(b, true, 60_000) }, admission.Refused, verdict.ReasonOverload},
		{"no time left for the endpoint", 3, func(b *harness) admission.Ticket { return ticket(b, true, 120) }, admission.Refused, verdict.ReasonOverload},
		{"spilled below the reserve", 0, func(b *harness) admission.Ticket { return ticket(b, false, 900) }, admission.Granted, ""},
		{"spilled into the reserve", 1, func(b *harness) admission.Ticket { return ticket(b, false, 900) }, admission.Refused, verdict.ReasonOverload},
		{"spilled, long deadline", 1, func(b *harness) admission.Ticket { return ticket(b, false, 60_000) }, admission.Queued, ""},
		{"local into the reserve", 1, func(b *harness) admission.Ticket { return ticket(b, true, 900) }, admission.Granted, ""},
		{"no other endpoint", 0, excluded, admission.Refused, verdict.ReasonNoEndpoint},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := ready()
			b.run(2*time.Second, 1)
			b.run(2*time.Second, 0)
			b.timeout = time.Minute
			fill(b, c.busy)
			got := b.g.Offer(b.now, c.ticket(b))
			is.Equal(got.Kind, c.kind)
			is.Equal(got.Reason, c.reason)
		})
	}
}

// TestLocalTrafficTakesPrecedence guards against spilled-in requests that delay
// local ones: a spilled-in request is queued first, a local one after it, and
// then a slot is released.
func TestLocalTrafficTakesPrecedence(t *testing.T) {
	is := is.New(t)
	b := newHarness(admission.Config{}, &fakeEndpoint{id: "a", slots: 1, latency: time.Hour})
	b.offer()
	deadline := b.now.Add(time.Minute)
	b.g.Offer(b.now, admission.Ticket{ID: 100, Deadline: deadline})
	b.g.Offer(b.now, admission.Ticket{ID: 101, Deadline: deadline, Local: true})
	grants := b.g.Done(b.now, 1, admission.Result{Latency: time.Millisecond})
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Ticket, uint64(101))
	is.True(b.g.Cancel(b.now, 100))
	is.Equal(len(b.g.Done(b.now, 101, admission.Result{Latency: time.Millisecond})), 0)
}

// TestSlowStart guards against overload of a cold endpoint. One of three
// endpoints starts, or returns after its announcements had stopped. It begins
// with a part of its slots, and grows only while its latency is close to that
// of its peers.
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
			cold := &fakeEndpoint{id: "c", slots: 10, latency: 30 * time.Millisecond, stopped: !c.known}
			b := newHarness(admission.Config{},
				&fakeEndpoint{id: "a", slots: 10, latency: 30 * time.Millisecond},
				&fakeEndpoint{id: "b", slots: 10, latency: 30 * time.Millisecond}, cold)
			b.run(2*time.Second, 6)
			cold.stopped, cold.latency = true, c.latency
			b.run(6*time.Second, 6)
			is.Equal(b.g.Stats(b.now).Slots, 20)
			cold.stopped = false
			b.announce()
			is.Equal(b.g.Stats(b.now).Slots, 22)
			b.run(11*time.Second, 6)
			got := b.g.Stats(b.now).Slots
			is.True(got >= c.low && got <= c.high)
		})
	}
}

// TestNewOwnerStartsAtFullCapacity guards against a new owner that treats
// running endpoints as cold. The endpoints announce themselves one after the
// other, with ticks between.
func TestNewOwnerStartsAtFullCapacity(t *testing.T) {
	is := is.New(t)
	b := newHarness(admission.Config{}, healthyEndpoint("a"))
	for _, id := range []string{"b", "c", "d"} {
		b.run(300*time.Millisecond, 1)
		b.g.Announce(b.now, b.announcement(healthyEndpoint(id)))
	}
	is.Equal(b.g.Stats(b.now).Slots, 12)
	b.run(5*time.Second, 0)
	b.g.Announce(b.now, b.announcement(healthyEndpoint("e")))
	is.Equal(b.g.Stats(b.now).Slots, 12+1) // e joins later and is cold
}

// TestQueueLeavesTimeForSlowRequests guards against queued requests that miss
// their deadline at a slow run: the request would end in time at the median
// latency, but not at the 0.9 quantile.
func TestQueueLeavesTimeForSlowRequests(t *testing.T) {
	is := is.New(t)
	b := newHarness(admission.Config{}, &fakeEndpoint{id: "a"})
	b.run(100*time.Millisecond, 0)
	for id := range uint64(100) {
		latency := 10 * time.Millisecond
		if id%5 == 0 {
			latency = 400 * time.Millisecond
		}
		b.g.Offer(b.now, admission.Ticket{ID: id, Local: true, Deadline: b.now.Add(time.Minute)})
		b.g.Done(b.now, id, admission.Result{Latency: latency})
	}
	b.nextID = 1000
	for range 3 {
		b.offer()
	}
	refused := b.g.Offer(b.now, admission.Ticket{ID: 1, Local: true, Deadline: b.now.Add(350 * time.Millisecond)})
	is.Equal(refused.Reason, verdict.ReasonOverload)
	queued := b.g.Offer(b.now, admission.Ticket{ID: 2, Local: true, Deadline: b.now.Add(600 * time.Millisecond)})
	is.Equal(queued.Kind, admission.Queued)
	again := b.g.Offer(b.now, admission.Ticket{ID: 2, Local: true, Deadline: b.now.Add(600 * time.Millisecond)})
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
