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

// fault is what a schedule does wrong on purpose.
type fault string

const (
	none             fault = ""
	retryAfterLoss   fault = "retry after a lost answer"
	replayedDispatch fault = "a dispatch that the network doubles"
	startAnywhere    fault = "an entry that starts keys of another home"
	sameIncarnation  fault = "a restart with the same incarnation"
	unsealed         fault = "a hand-over called complete without a seal"
	notRunElsewhere  fault = "NotRun said by an entry that isn't the home"
	reuseNotRun      fault = "an attempt that starts again after NotRun"
)

// packet is a message on its way.
type packet struct {
	deliver func()
	// doubles says that the network may deliver it again.
	doubles bool
	to      *node
}

// node is an entry as a state machine.
type node struct {
	self   claims.Home
	table  *claims.Table
	skew   time.Duration
	frozen bool
	// running holds the keys whose attempts are under way.
	running []claims.Key
	starts  []claims.Key
}

// filing is a once-only request and what its caller was told.
type filing struct {
	key  claims.Key
	told []verdict.Verdict
	runs int
}

type world struct {
	t       *rapid.T
	fault   fault
	now     time.Time
	nodes   []*node
	filings []*filing
	net     []packet
}

func newWorld(t *rapid.T, f fault) *world {
	w := &world{t: t, fault: f, now: epoch}
	for i := range 3 {
		n := &node{self: claims.Home{Entry: fmt.Sprint("e", i)}, skew: time.Duration(i-1) * skew}
		w.nodes = append(w.nodes, n)
		w.restart(n)
	}
	return w
}

func (w *world) restart(n *node) {
	if w.fault != sameIncarnation || n.table == nil {
		n.self.Incarnation++
	}
	n.table = claims.NewTable(n.self, limits)
	n.frozen, n.running, n.starts = false, nil, nil
}

func (w *world) clock(n *node) time.Time { return w.now.Add(n.skew) }

func (w *world) send(to *node, doubles bool, deliver func()) {
	w.net = append(w.net, packet{deliver, doubles, to})
}

func pick[T any](w *world, all []T) T {
	if len(all) == 0 {
		w.t.Skip("nothing to pick")
	}
	return all[rapid.IntRange(0, len(all)-1).Draw(w.t, "pick")]
}

func (w *world) maybe() bool { return rapid.Bool().Draw(w.t, "maybe") }

// arrive is a request at an entry.
func (w *world) arrive(n *node, f *filing) {
	if f.key.Home != n.self {
		home := w.nodes[slices.IndexFunc(w.nodes, func(o *node) bool { return o.self.Entry == f.key.Home.Entry })]
		switch {
		case w.fault == notRunElsewhere && w.maybe():
			w.tell(f, verdict.NotRun)
			return
		case w.fault == startAnywhere && w.maybe():
			w.dispatch(n, n.self, f)
			return
		case home.self == f.key.Home && w.maybe():
			w.send(home, true, func() { w.arrive(home, f) })
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
		w.tell(f, d.Outcome.Verdict)
	}
}

func (w *world) tell(f *filing, v verdict.Verdict) {
	w.send(nil, true, func() { f.told = append(f.told, v) })
}

// dispatch sends an attempt to an endpoint, which runs it or sheds it.
func (w *world) dispatch(n *node, from claims.Home, f *filing) {
	shed := w.maybe()
	w.send(nil, w.fault == replayedDispatch, func() {
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

func (w *world) finish(n *node, f *filing, v verdict.Verdict) {
	i := slices.Index(n.running, f.key)
	if i < 0 {
		return
	}
	n.running = slices.Delete(n.running, i, i+1)
	n.table.Finish(w.clock(n), f.key, claims.Outcome{Verdict: v})
	w.tell(f, v)
}

func (w *world) filing(k claims.Key) *filing {
	return w.filings[slices.IndexFunc(w.filings, func(f *filing) bool { return f.key == k })]
}

func (w *world) awake() *node {
	return pick(w, slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.frozen }))
}

// take picks any packet, so that packets overtake each other, and leaves it to
// be delivered again if it may be doubled.
func (w *world) take(double bool) packet {
	if len(w.net) == 0 {
		w.t.Skip("nothing under way")
	}
	i := rapid.IntRange(0, len(w.net)-1).Draw(w.t, "packet")
	p := w.net[i]
	if p.to != nil && p.to.frozen {
		w.t.Skip("frozen")
	}
	if !double || !p.doubles {
		w.net = slices.Delete(w.net, i, i+1)
	}
	return p
}

// actions are the steps that a schedule is made of.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"look up and send": func(*rapid.T) {
			n := w.awake()
			key, err := claims.ParseKey(claims.NewToken(n.self, w.clock(n)) + fmt.Sprint(".u", len(w.filings)))
			if err != nil {
				w.t.Fatal(err)
			}
			f := &filing{key: key}
			w.filings = append(w.filings, f)
			to := pick(w, w.nodes)
			w.send(to, true, func() { w.arrive(to, f) })
		},
		"resend": func(*rapid.T) {
			f, to := pick(w, w.filings), pick(w, w.nodes)
			w.send(to, true, func() { w.arrive(to, f) })
		},
		"deliver": func(*rapid.T) { w.take(w.maybe()).deliver() },
		"lose":    func(*rapid.T) { w.take(false) },
		"dispatch": func(*rapid.T) {
			n := w.awake()
			k := pick(w, n.starts)
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == k })
			if slices.Contains(n.running, k) {
				w.dispatch(n, n.self, w.filing(k))
			}
		},
		"fail before the dispatch": func(*rapid.T) {
			n := w.awake()
			k := pick(w, n.starts)
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == k })
			w.finish(n, w.filing(k), verdict.NotRun)
		},
		"give up": func(*rapid.T) {
			n := w.awake()
			f := w.filing(pick(w, n.running))
			if w.fault == retryAfterLoss {
				w.dispatch(n, n.self, f)
				return
			}
			n.starts = slices.DeleteFunc(n.starts, func(o claims.Key) bool { return o == f.key })
			w.finish(n, f, verdict.MayHaveRun)
		},
		"freeze or thaw": func(*rapid.T) { n := pick(w, w.nodes); n.frozen = !n.frozen },
		"restart":        func(*rapid.T) { w.restart(pick(w, w.nodes)) },
		"stop":           func(*rapid.T) { w.stop(w.awake()) },
		"seal":           func(*rapid.T) { w.awake().table.Seal() },
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

// stop is a planned stop: the claims go to the other entries, while the entry
// goes on until it is restarted.
func (w *world) stop(n *node) {
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

func (w *world) check(t *rapid.T) {
	for _, f := range w.filings {
		if f.runs > 1 {
			t.Fatalf("%s ran %d times", f.key, f.runs)
		}
		if f.runs > 0 && slices.Contains(f.told, verdict.NotRun) {
			t.Fatalf("%s ran, and its caller was told NotRun", f.key)
		}
		if f.runs == 0 && slices.Contains(f.told, verdict.Ran) {
			t.Fatalf("%s did not run, and its caller was told Ran", f.key)
		}
	}
}

func schedules(f fault) func(*rapid.T) {
	return func(t *rapid.T) {
		w := newWorld(t, f)
		t.Repeat(w.actions())
	}
}

// verdictOf runs schedules and notes whether they fail.
type verdictOf struct {
	*testing.T
	failed bool
}

func (v *verdictOf) Errorf(string, ...any) { v.failed = true }
func (v *verdictOf) Fatalf(string, ...any) { v.failed = true }
func (v *verdictOf) Fail()                 { v.failed = true }
func (v *verdictOf) FailNow()              { v.failed = true }
func (v *verdictOf) Failed() bool          { return v.failed }
func (v *verdictOf) Logf(string, ...any)   {}
func (v *verdictOf) Log(...any)            {}

func TestMain(m *testing.M) {
	testseed.Main(m, testseed.Settings{Seed: 4, Checks: 20_000, Steps: 80})
}

// TestSchedules runs callers, entries and endpoints through random schedules of
// loss, doubling, reordering, freezes, restarts, planned stops and clock changes.
func TestSchedules(t *testing.T) { rapid.Check(t, schedules(none)) }

func TestSchedulesCatchFaults(t *testing.T) {
	for _, f := range []fault{retryAfterLoss, replayedDispatch, startAnywhere, sameIncarnation, unsealed, notRunElsewhere, reuseNotRun} {
		t.Run(string(f), func(t *testing.T) {
			v := &verdictOf{T: t}
			rapid.Check(v, schedules(f))
			is.New(t).True(v.failed)
		})
	}
}
