package claims_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/testseed"
)

const skew = 2 * time.Second

var (
	epoch  = time.Unix(1_000_000, 0)
	limits = claims.Config{MaxEntries: 3, MaxBytes: 1 << 20, Retention: 60 * time.Second, FirstUse: 20 * time.Second, ClockSkew: 4 * skew}
)

// fault is a protocol violation that a schedule contains on purpose.
type fault string

const (
	noFault              fault = ""
	retryAfterLoss       fault = "retry after a lost answer"
	duplicatedDispatch   fault = "a dispatch that the network duplicates"
	startAnywhere        fault = "an entry that starts keys of another coordinator"
	sameIncarnation      fault = "a restart with the same incarnation"
	unsealed             fault = "a hand-over marked complete without sealing the table"
	notRunFromOtherEntry fault = "NotRun reported by an entry that isn't the coordinator"
	reuseNotRun          fault = "an attempt that starts again after NotRun"
)

// packet is a message in flight.
type packet struct {
	deliver func()
	// mayDuplicate is set when the network may deliver the packet again.
	mayDuplicate bool
	to           *node
}

// node simulates an entry.
type node struct {
	self   claims.Coordinator
	table  *claims.Table
	skew   time.Duration
	paused bool
	// running holds the keys whose attempts are in flight, starts those of them
	// that weren't dispatched yet.
	running []claims.Key
	starts  []claims.Key
}

// onceRequest is a once-only request and the verdicts reported to its caller.
type onceRequest struct {
	key      claims.Key
	reported []verdict.Verdict
	runs     int
}

type simulation struct {
	t        *rapid.T
	fault    fault
	now      time.Time
	nodes    []*node
	requests []*onceRequest
	packets  []packet
}

func newSimulation(t *rapid.T, f fault) *simulation {
	w := &simulation{t: t, fault: f, now: epoch}
	for i := range 3 {
		n := &node{self: claims.Coordinator{Entry: fmt.Sprint("e", i)}, skew: time.Duration(i-1) * skew}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

func (w *simulation) restart(n *node) {
	if w.fault != sameIncarnation || n.table == nil {
		n.self.Incarnation++
	}
	n.table = claims.NewTable(n.self, limits)
	n.paused, n.running, n.starts = false, nil, nil
}

func (w *simulation) clock(n *node) time.Time { return w.now.Add(n.skew) }

func (w *simulation) send(to *node, mayDuplicate bool, deliver func()) {
	w.packets = append(w.packets, packet{deliver, mayDuplicate, to})
}

func pick[T any](w *simulation, all []T) T {
	if len(all) == 0 {
		w.t.Skip("nothing to pick")
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(w.t, "pick")]
}

func (w *simulation) maybe() bool { return rapid.Bool().Draw(w.t, "maybe") }

// receive handles a request at an entry.
func (w *simulation) receive(n *node, f *onceRequest) {
	if f.key.Coordinator != n.self {
		coordinator := w.nodes[slices.IndexFunc(w.nodes, func(o *node) bool { return o.self.Entry == f.key.Coordinator.Entry })]
		switch {
		case w.fault == notRunFromOtherEntry && w.maybe():
			w.report(f, verdict.NotRun)
			return
		case w.fault == startAnywhere && w.maybe():
			w.dispatch(n, n.self, f)
			return
		case coordinator.self == f.key.Coordinator && w.maybe():
			w.send(coordinator, true, func() { w.receive(coordinator, f) })
			return
		}
	}
	d := n.table.Begin(w.clock(n), f.key, claims.Fingerprint{})
	switch d.Kind {
	case claims.Start:
		n.running = append(n.running, f.key)
		n.starts = append(n.starts, f.key)
	case claims.Stored, claims.Refuse:
		if w.fault == reuseNotRun && d.Outcome.Verdict == verdict.NotRun {
			w.dispatch(n, n.self, f)
			return
		}
		w.report(f, d.Outcome.Verdict)
	}
}

func (w *simulation) report(f *onceRequest, v verdict.Verdict) {
	w.send(nil, true, func() { f.reported = append(f.reported, v) })
}

// dispatch sends an attempt to an endpoint, which runs it or sheds it.
func (w *simulation) dispatch(n *node, from claims.Coordinator, f *onceRequest) {
	shed := w.maybe()
	w.send(nil, w.fault == duplicatedDispatch, func() {
		v := verdict.NotRun
		if !shed {
			f.runs++
			v = verdict.Ran
		}
		w.send(n, false, func() {
			if n.self == from {
				w.finish(n, f, v)
			}
		})
	})
}

func (w *simulation) finish(n *node, f *onceRequest, v verdict.Verdict) {
	i := slices.Index(n.running, f.key)
	if i < 0 {
		return
	}
	n.running = slices.Delete(n.running, i, i+1)
	n.table.Finish(w.clock(n), f.key, claims.Outcome{Verdict: v})
	w.report(f, v)
}

func (w *simulation) findRequest(k claims.Key) *onceRequest {
	return w.requests[slices.IndexFunc(w.requests, func(f *onceRequest) bool { return f.key == k })]
}

func (w *simulation) pickActive() *node {
	return pick(w, slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.paused }))
}

// takePacket picks any packet, so that packets are reordered. With keep set it
// leaves the packet to be delivered again if it may be duplicated.
func (w *simulation) takePacket(keep bool) packet {
	if len(w.packets) == 0 {
		w.t.Skip("no packet in flight")
	}
	i := rapid.IntRange(0, len(w.packets)-1).Draw(w.t, "packet")
	p := w.packets[i]
	if p.to != nil && p.to.paused {
		w.t.Skip("receiver is paused")
	}
	if !keep || !p.mayDuplicate {
		w.packets = slices.Delete(w.packets, i, i+1)
	}
	return p
}

// actions are the steps of which a schedule consists.
func (w *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"look up and send": func(*rapid.T) {
			n := w.pickActive()
			key, err := claims.ParseKey(claims.NewToken(n.self, w.clock(n)) + fmt.Sprint(".u", len(w.requests)))
			if err != nil {
				w.t.Fatal(err)
			}
			f := &onceRequest{key: key}
			w.requests = append(w.requests, f)
			to := pick(w, w.nodes)
			w.send(to, true, func() { w.receive(to, f) })
		},
		"resend": func(*rapid.T) {
			f, to := pick(w, w.requests), pick(w, w.nodes)
			w.send(to, true, func() { w.receive(to, f) })
		},
		"deliver": func(*rapid.T) { w.takePacket(w.maybe()).deliver() },
		"lose":    func(*rapid.T) { w.takePacket(false) },
		"dispatch": func(*rapid.T) {
			n := w.pickActive()
			k := pick(w, n.starts)
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == k })
			if slices.Contains(n.running, k) {
				w.dispatch(n, n.self, w.findRequest(k))
			}
		},
		"fail before the dispatch": func(*rapid.T) {
			n := w.pickActive()
			k := pick(w, n.starts)
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == k })
			w.finish(n, w.findRequest(k), verdict.NotRun)
		},
		"give up": func(*rapid.T) {
			n := w.pickActive()
			f := w.findRequest(pick(w, n.running))
			if w.fault == retryAfterLoss {
				w.dispatch(n, n.self, f)
				return
			}
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == f.key })
			w.finish(n, f, verdict.MayHaveRun)
		},
		"freeze or thaw": func(*rapid.T) { n := pick(w, w.nodes); n.paused = !n.paused },
		"restart":        func(*rapid.T) { w.restart(pick(w, w.nodes)) },
		"stop":           func(*rapid.T) { w.stop(w.pickActive()) },
		"seal":           func(*rapid.T) { w.pickActive().table.Seal() },
		"pass time": func(*rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.SampledFrom([]int{1, 5, 25, 70}).Draw(w.t, "seconds")) * time.Second)
		},
		"set a clock back": func(*rapid.T) {
			if n := pick(w, w.nodes); n.skew >= 0 {
				n.skew -= 2 * skew
			}
		},
	}
}

// stop is a planned stop: the claims are sent to the other entries, while the
// entry keeps running until it is restarted.
func (w *simulation) stop(n *node) {
	if w.fault != unsealed {
		n.table.Seal()
	}
	for _, h := range n.table.HandOvers(w.clock(n)) {
		complete := h.Complete || w.fault == unsealed && h.From == n.self
		for _, o := range w.nodes {
			if o != n {
				w.send(o, true, func() { o.table.Import(w.clock(o), h.From, h.Rows, complete) })
			}
		}
	}
}

func (w *simulation) check(t *rapid.T) {
	for _, f := range w.requests {
		if f.runs > 1 {
			t.Fatalf("%s ran %d times", f.key, f.runs)
		}
		if f.runs > 0 && slices.Contains(f.reported, verdict.NotRun) {
			t.Fatalf("%s ran, but NotRun was reported to its caller", f.key)
		}
		if f.runs == 0 && slices.Contains(f.reported, verdict.Ran) {
			t.Fatalf("%s did not run, but Ran was reported to its caller", f.key)
		}
	}
}

func schedules(f fault) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newSimulation(t, f)
		t.Repeat(w.actions())
	}
}

// failureRecorder runs schedules and records whether they fail.
type failureRecorder struct {
	*testing.T
	failed bool
}

func (v *failureRecorder) Errorf(string, ...any) { v.failed = true }
func (v *failureRecorder) Fatalf(string, ...any) { v.failed = true }
func (v *failureRecorder) Fail()                 { v.failed = true }
func (v *failureRecorder) FailNow()              { v.failed = true }
func (v *failureRecorder) Failed() bool          { return v.failed }
func (v *failureRecorder) Logf(string, ...any)   {}
func (v *failureRecorder) Log(...any)            {}

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 4, Checks: 20_000, Steps: 80})
}

// TestSchedules runs callers, entries and endpoints through random schedules of
// packet loss, duplication, reordering, pauses, restarts, planned stops and
// clock changes. It guards against a request that runs twice and against a
// verdict that is untrue.
func TestSchedules(t *testing.T) { rapid.Check(t, schedules(noFault)) }

// TestSchedulesCatchFaults runs schedules with one protocol violation each. It
// guards against a check that no longer finds violations.
func TestSchedulesCatchFaults(t *testing.T) {
	for _, f := range []fault{retryAfterLoss, duplicatedDispatch, startAnywhere, sameIncarnation, unsealed, notRunFromOtherEntry, reuseNotRun} {
		t.Run(string(f), func(t *testing.T) {
			v := &failureRecorder{T: t}
			rapid.Check(v, schedules(f))
			is.New(t).True(v.failed)
		})
	}
}
