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

// scene is a load on a pool of endpoints that keep a number of objects warm.
type scene struct {
	endpoints, slots, keeps, objects int
	perSecond                        float64
	cold, warm, target               time.Duration
	lasts                            time.Duration
	// burst is how many times as many requests come for 3 s in the middle; 0 for none.
	burst float64
}

// happening is the end of a run, at a moment.
type happening struct {
	at    time.Time
	grant string
	took  time.Duration
}

type agenda []happening

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// memory is an endpoint that keeps the objects it served last.
type memory struct {
	kept  []string
	keeps int
}

func (m *memory) serve(object string) (warm bool) {
	for i, o := range m.kept {
		if o == object {
			m.kept = append(append(m.kept[:i:i], m.kept[i+1:]...), object)
			return true
		}
	}
	m.kept = append(m.kept, object)
	if len(m.kept) > m.keeps {
		m.kept = m.kept[1:]
	}
	return false
}

// played counts what became of the requests of a scene.
type played struct{ asked, inTarget, late, refused int }

// policy decides who gets a slot; a pool is one.
type policy interface {
	Acquire(now time.Time, a dispatch.Ask) (dispatch.Decision, bool)
	Release(now time.Time, id string, outcome dispatch.Outcome, took time.Duration) []dispatch.Decision
	Tick(now time.Time) []dispatch.Decision
}

// play runs a scene on a pool; without affinity it isn't told the objects.
func (s scene) play(affinity bool) played {
	now := time.Unix(1_800_000_000, 0)
	pool := dispatch.NewPool("t/", dispatch.Setup{
		ColdRate: func(string) float64 { return 0 }, RegionOf: func(string) string { return "" },
		Draw: func() float64 { return 0.5 },
	})
	for i := range s.endpoints {
		pool.Learn(now, registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: s.slots, Born: 1, Heard: now})
	}
	return s.playOn(now, pool, affinity)
}

// playOn runs a scene on a policy from a time on; all see the same requests.
func (s scene) playOn(now time.Time, pool policy, affinity bool) played {
	draw := rand.New(rand.NewPCG(1, 2))
	began, end := now, now.Add(s.lasts)
	memories := make(map[string]*memory)
	for i := range s.endpoints {
		memories[fmt.Sprintf("e%d", i)] = &memory{keeps: s.keeps}
	}
	var out played
	var runs agenda
	objects, asked := make(map[string]string), make(map[string]time.Time)
	start := func(d dispatch.Decision) {
		if d.Grant == "" {
			out.refused++
			return
		}
		took := s.cold
		if memories[d.Endpoint.ID].serve(objects[d.Ask.ID]) {
			took = s.warm
		}
		heap.Push(&runs, happening{now.Add(took), d.Grant, took})
		if now.Add(took).Sub(asked[d.Ask.ID]) <= s.target {
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
			h := heap.Pop(&runs).(happening)
			now = h.at
			for _, d := range pool.Release(h.at, h.grant, dispatch.Served, h.took) {
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
		out.asked++
		id, object := fmt.Sprint(out.asked), fmt.Sprint(draw.IntN(s.objects))
		objects[id], asked[id] = object, now
		ask := dispatch.Ask{ID: id, Service: "s", Kind: "k", Target: s.target, Deadline: now.Add(4 * time.Second)}
		if affinity {
			ask.Affinity = object
		}
		if d, decided := pool.Acquire(now, ask); decided {
			start(d)
		}
		perSecond := s.perSecond
		if since := now.Sub(began); s.burst > 0 && since > s.lasts/2 && since < s.lasts/2+3*time.Second {
			perSecond *= s.burst
		}
		next = now.Add(time.Duration(draw.ExpFloat64() / perSecond * float64(time.Second)))
	}
	return out
}

// TestWarmObjects answers the load of objects that endpoints keep warm: offered
// work is above capacity when every run is cold and well below it when warm.
// More than four in five have to be in time, and fewer than half are when the
// pool doesn't know the objects.
func TestWarmObjects(t *testing.T) {
	s := scene{
		endpoints: 8, slots: 9, keeps: 40, objects: 100, perSecond: 110,
		cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond, lasts: 40 * time.Second,
	}
	is := is.New(t)
	aware, blind := s.play(true), s.play(false)
	t.Logf("with objects %+v, without %+v", aware, blind)
	is.True(5*aware.inTarget > 4*aware.asked)
	is.True(2*blind.inTarget < blind.asked)
}
