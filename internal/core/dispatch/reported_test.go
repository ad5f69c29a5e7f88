package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// phases holds, by endpoint, the times at which its machine becomes slow and usual again
// in turn. A slow machine works slowFactor times slower.
type phases map[string][]time.Time

const slowFactor = 2.5

// newPhases returns phases of 600 ms in the mean, which take 15% of the time.
func newPhases(from time.Time, endpoints int, d time.Duration) phases {
	random, p := rand.New(rand.NewPCG(3, 4)), make(phases)
	for i := range endpoints {
		for t := from; t.Before(from.Add(2 * d)); {
			begin := t.Add(time.Duration(3.4 * random.ExpFloat64() * float64(time.Second)))
			t = begin.Add(time.Duration(0.6 * random.ExpFloat64() * float64(time.Second)))
			p[fmt.Sprintf("e%d", i)] = append(p[fmt.Sprintf("e%d", i)], begin, t)
		}
	}
	return p
}

// slow reports whether an endpoint is slow at a time, and until when it stays so or not.
func (p phases) slow(endpoint string, at time.Time) (bool, time.Time) {
	changes := p[endpoint]
	i := sort.Search(len(changes), func(i int) bool { return changes[i].After(at) })
	if i == len(changes) {
		return false, at.Add(time.Hour)
	}
	return i%2 == 1, changes[i]
}

// duration returns how long a run takes that begins at a time and would take work on a
// machine that is never slow.
func (p phases) duration(endpoint string, begin time.Time, work time.Duration) time.Duration {
	at := begin
	for {
		slow, until := p.slow(endpoint, at)
		factor := 1.0
		if slow {
			factor = slowFactor
		}
		left := time.Duration(factor * float64(work))
		if end := at.Add(left); !end.After(until) {
			return end.Sub(begin)
		}
		work -= time.Duration(float64(until.Sub(at)) / factor)
		at = until
	}
}

// running counts the runs at an endpoint that have begun but not ended at a time.
func running(runs completionHeap, endpoint string, at time.Time) int {
	n := 0
	for _, r := range runs {
		if r.endpoint == endpoint && r.at.After(at) && !r.at.Add(-r.runTime).After(at) {
			n++
		}
	}
	return n
}

// TestReportedPace guards against reports that don't help or that harm. The load is that
// of a service with 20 requests per second and endpoint, whose machines are 2.5 times
// slower for 15% of the time. True reports must raise the share in target by 0.004, and
// false ones from all endpoints, which are learned to be false, must not lower it by more
// than 0.01. Where endpoints have no room for more objects, true ones must not lower it by
// more than that either: they did by 0.03 when they moved objects.
func TestReportedPace(t *testing.T) {
	s := workload{
		endpoints: 24, slots: 6, capacity: 20, objects: 130, perSecond: 480, duration: 30 * time.Second, spread: 0.7,
		cold: 680 * time.Millisecond, warm: 204 * time.Millisecond, target: 600 * time.Millisecond, reportAge: 30 * time.Millisecond,
	}
	s.phases = newPhases(time.Unix(1_800_000_000, 0), s.endpoints, s.duration)
	random := rand.New(rand.NewPCG(7, 8))
	truth := func(endpoint string, at time.Time, running int) registry.Load {
		l := registry.Load{Known: true, Running: running, Slots: s.slots, Pace: 1}
		if slow, _ := s.phases.slow(endpoint, at); slow {
			l.Pace = slowFactor
		}
		return l
	}
	reports := map[string]func(string, time.Time, int) registry.Load{
		"none": nil, "true": truth,
		"random": func(string, time.Time, int) registry.Load {
			return registry.Load{Known: true, Running: random.IntN(100), Waiting: random.IntN(100), Slots: 1, Pace: 0.1 + 10*random.Float64()}
		},
		"opposite": func(endpoint string, at time.Time, _ int) registry.Load {
			l := truth(endpoint, at, 0)
			l.Pace = slowFactor / l.Pace
			return l
		},
		"idle and fast": func(string, time.Time, int) registry.Load { return registry.Load{Known: true, Slots: 1000, Pace: 0.01} },
		"busy and slow": func(string, time.Time, int) registry.Load {
			return registry.Load{Known: true, Running: 1000, Waiting: 1000, Slots: 1000, Pace: 100}
		},
	}
	shares := make(map[string]float64)
	for name, report := range reports {
		s.report = report
		out := s.run(true)
		shares[name] = float64(out.inTarget) / float64(out.requested)
		t.Logf("reports %s: in target %.4f of %d, refused %d", name, shares[name], out.requested, out.refused)
	}
	is := is.New(t)
	is.True(shares["true"] > shares["none"]+0.004)
	for _, share := range shares {
		is.True(share > shares["none"]-0.01)
	}
	// More objects than fit: a run elsewhere evicts another one.
	s.objects, s.capacity, s.perSecond = 410, 16, 380
	var full []float64
	for _, s.report = range []func(string, time.Time, int) registry.Load{nil, truth} {
		out := s.run(true)
		full = append(full, float64(out.inTarget)/float64(out.requested))
	}
	t.Logf("more objects than fit, without and with reports: %.4f", full)
	is.True(full[1] > full[0]-0.01)
}

// TestUnknownWork guards against a new dispatcher that sends requests to endpoints whose
// slots are in use by those of the former one, and against an endpoint that gets more
// requests than it has slots because it reports fewer.
func TestUnknownWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 2})
	acquire := func(object string) dispatch.Decision {
		d, _ := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(now, object), Service: "s", Kind: "k", Affinity: object, Target: time.Second, Deadline: now.Add(4 * time.Second),
		})
		return d
	}
	first := acquire("a")
	now = now.Add(time.Second)
	busy := registry.Load{Known: true, Running: first.Endpoint.Slots, Waiting: first.Endpoint.Slots, Slots: first.Endpoint.Slots}
	pool.ObserveLoad(now, first.Grant, busy, now)
	pool.Release(now, first.Grant, dispatch.Served, time.Second)
	pool.Tick(now)
	is.True(acquire("a").Endpoint.ID != first.Endpoint.ID) // the slots are in use
	granted := make(map[string]int)
	for i := range 4 * first.Endpoint.Slots {
		if d := acquire(fmt.Sprint(i)); d.Grant != "" {
			granted[d.Endpoint.ID]++
			pool.ObserveLoad(now, d.Grant, registry.Load{Known: true, Slots: 1000, Pace: 0.1}, now)
		}
	}
	is.True(granted[first.Endpoint.ID] <= first.Endpoint.Slots)
}
