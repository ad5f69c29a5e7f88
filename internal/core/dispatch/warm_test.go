package dispatch_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// workload is a load on a pool of endpoints that keep a number of objects
// warm.
type workload struct {
	endpoints, slots, capacity, objects int
	perSecond                           float64
	cold, warm, target                  time.Duration
	duration                            time.Duration
	// burst multiplies the request rate for 3 s in the middle; 0 for no
	// burst.
	burst float64
	seed  uint64
	// phases slow the endpoints' machines down; nil for none. A run's work is spread
	// over spread times its mean in both directions.
	phases phases
	// slowdown returns the factor on the run time of an endpoint with a number of requests,
	// the new one included; nil for 1.
	slowdown func(endpoint string, at time.Time, running int) float64
	limits   dispatch.LimitScope
	spread   float64
	// At the release of a run the pool gets what report returns for its endpoint at a
	// time that is reportAge earlier; nil for no reports.
	reportAge time.Duration
	report    func(endpoint string, at time.Time, running int) registry.Load
}

// completion is the end of a run.
type completion struct {
	at      time.Time
	grant   string
	runTime time.Duration
	// endpoint is the endpoint's ID.
	endpoint string
}

type completionHeap []completion

func (a completionHeap) Len() int           { return len(a) }
func (a completionHeap) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a completionHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *completionHeap) Push(x any)        { *a = append(*a, x.(completion)) }
func (a *completionHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// memory simulates an endpoint's cache of the objects that it served last.
type memory struct {
	kept     []string
	capacity int
}

func (m *memory) serve(object string) (warm bool) {
	for i, o := range m.kept {
		if o == object {
			m.kept = append(append(m.kept[:i:i], m.kept[i+1:]...), object)
			return true
		}
	}
	m.kept = append(m.kept, object)
	if len(m.kept) > m.capacity {
		m.kept = m.kept[1:]
	}
	return false
}

// results counts the requests of a workload by their result.
type results struct{ requested, inTarget, late, refused int }

// policy grants or refuses slots; a Pool is one.
type policy interface {
	Acquire(now time.Time, req dispatch.SlotRequest) (dispatch.Decision, bool)
	Release(now time.Time, id string, outcome dispatch.Outcome, took time.Duration) []dispatch.Decision
	Tick(now time.Time) []dispatch.Decision
}

// run applies the workload to a pool. Without affinity, slot requests name no
// object.
func (s workload) run(affinity bool) results {
	now := time.Unix(1_800_000_000, 0)
	pool := dispatch.NewPool("t/", dispatch.Config{
		ColdRate: func(string) float64 { return 0 }, RegionOf: func(string) string { return "" },
		Random: func() float64 { return 0.5 }, LearnLimits: s.limits,
	})
	for i := range s.endpoints {
		pool.Update(now, registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: s.slots, StartedMillis: 1, LastSeen: now})
	}
	return s.runOn(now, pool, affinity)
}

// runOn applies the workload to a policy, starting at the time now. Each
// policy gets the same sequence of random numbers.
func (s workload) runOn(now time.Time, pool policy, affinity bool) results {
	random := rand.New(rand.NewPCG(1, 2+s.seed))
	began, end := now, now.Add(s.duration)
	memories := make(map[string]*memory)
	for i := range s.endpoints {
		memories[fmt.Sprintf("e%d", i)] = &memory{capacity: s.capacity}
	}
	var out results
	var runs completionHeap
	objects, requested, spread := make(map[string]string), make(map[string]time.Time), make(map[string]float64)
	start := func(d dispatch.Decision) {
		if d.Grant == "" {
			out.refused++
			return
		}
		runTime := s.cold
		if memories[d.Endpoint.ID].serve(objects[d.Request.ID]) {
			runTime = s.warm
		}
		work := float64(runTime) * (1 + s.spread*(2*spread[d.Request.ID]-1))
		if s.slowdown != nil {
			work *= s.slowdown(d.Endpoint.ID, now, running(runs, d.Endpoint.ID, now)+1)
		}
		runTime = s.phases.duration(d.Endpoint.ID, now, time.Duration(work))
		heap.Push(&runs, completion{now.Add(runTime), d.Grant, runTime, d.Endpoint.ID})
		if now.Add(runTime).Sub(requested[d.Request.ID]) <= s.target {
			out.inTarget++
		} else {
			out.late++
		}
	}
	next, tick := now, now
	for now.Before(end) {
		now = next
		if tick.Before(now) {
			now = tick
		}
		for len(runs) > 0 && !runs[0].at.After(now) {
			h := heap.Pop(&runs).(completion)
			now = h.at
			if s.report != nil {
				answered := h.at.Add(-s.reportAge)
				load := s.report(h.endpoint, answered, running(runs, h.endpoint, answered))
				pool.(*dispatch.Pool).ObserveLoad(h.at, h.grant, load, answered)
			}
			for _, d := range pool.Release(h.at, h.grant, dispatch.Served, h.runTime) {
				start(d)
			}
		}
		if !tick.After(now) {
			for _, d := range pool.Tick(now) {
				start(d)
			}
			tick = now.Add(20 * time.Millisecond)
		}
		if next.After(now) {
			continue
		}
		out.requested++
		id, object := fmt.Sprint(out.requested), fmt.Sprint(random.IntN(s.objects))
		objects[id], requested[id] = object, now
		if s.spread > 0 {
			spread[id] = random.Float64()
		}
		request := dispatch.SlotRequest{ID: id, Service: "s", Kind: "k", Target: s.target, Deadline: now.Add(4 * time.Second)}
		if affinity {
			request.Affinity = object
		}
		if d, decided := pool.Acquire(now, request); decided {
			start(d)
		}
		perSecond := s.perSecond
		if since := now.Sub(began); s.burst > 0 && since > s.duration/2 && since < s.duration/2+3*time.Second {
			perSecond *= s.burst
		}
		next = now.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
	}
	return out
}

// TestWarmObjects guards against cold runs of objects that are warm at another
// endpoint: the offered load exceeds capacity when every run is cold and is
// well below it when runs are warm. More than four in five requests must be in
// time, but fewer than half when the pool doesn't know the objects.
func TestWarmObjects(t *testing.T) {
	s := workload{
		endpoints: 8, slots: 9, capacity: 40, objects: 100, perSecond: 110,
		cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond, duration: 40 * time.Second,
	}
	is := is.New(t)
	aware, unaware := s.run(true), s.run(false)
	t.Logf("with objects %+v, without %+v", aware, unaware)
	is.True(5*aware.inTarget > 4*aware.requested)
	is.True(2*unaware.inTarget < unaware.requested)
}
