package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// baseline assigns each request to an endpoint immediately. There it waits
// for a slot or, if the endpoint's queue is full, is refused.
type baseline struct {
	choose    func(b *baseline) int
	slots     int
	busy      []int
	queues    [][]dispatch.SlotRequest
	endpoints map[string]int // by grant
	count     int
}

func newBaseline(s workload, choose func(b *baseline) int) *baseline {
	return &baseline{
		choose: choose, slots: s.slots, busy: make([]int, s.endpoints), queues: make([][]dispatch.SlotRequest, s.endpoints),
		endpoints: make(map[string]int),
	}
}

// atRandom and leastInFlight are common policies for clients without a
// dispatcher.
func atRandom() func(b *baseline) int {
	random := rand.New(rand.NewPCG(5, 6))
	return func(b *baseline) int { return random.IntN(len(b.busy)) }
}

func leastInFlight(b *baseline) int {
	best := 0
	for i := range b.busy {
		if b.busy[i]+len(b.queues[i]) < b.busy[best]+len(b.queues[best]) {
			best = i
		}
	}
	return best
}

// queueFactor is the length of an endpoint's queue as a multiple of its
// slots.
const queueFactor = 3

func (b *baseline) grant(i int, req dispatch.SlotRequest) dispatch.Decision {
	b.count++
	b.busy[i]++
	grant := fmt.Sprint(b.count)
	b.endpoints[grant] = i
	return dispatch.Decision{Request: req, Grant: grant, Endpoint: registry.Endpoint{ID: fmt.Sprintf("e%d", i)}}
}

func (b *baseline) Acquire(_ time.Time, req dispatch.SlotRequest) (dispatch.Decision, bool) {
	i := b.choose(b)
	switch {
	case b.busy[i] < b.slots:
		return b.grant(i, req), true
	case len(b.queues[i]) < queueFactor*b.slots:
		b.queues[i] = append(b.queues[i], req)
		return dispatch.Decision{}, false
	default:
		return dispatch.Decision{Request: req}, true
	}
}

func (b *baseline) Release(_ time.Time, id string, _ dispatch.Outcome, _ time.Duration) []dispatch.Decision {
	i := b.endpoints[id]
	delete(b.endpoints, id)
	b.busy[i]--
	if len(b.queues[i]) == 0 {
		return nil
	}
	next := b.queues[i][0]
	b.queues[i] = b.queues[i][1:]
	return []dispatch.Decision{b.grant(i, next)}
}

func (b *baseline) Tick(time.Time) []dispatch.Decision { return nil }

// TestPolicies guards against a pool that serves fewer requests within the
// target than common policies do on the same sequence of requests. It must
// serve at least as many under each load, within 0.01 of the share, and at
// least twice as many when the offered load exceeds the capacity of cold runs.
func TestPolicies(t *testing.T) {
	usual := workload{
		endpoints: 8, slots: 9, capacity: 30, objects: 150, perSecond: 60, duration: 30 * time.Second,
		cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond,
	}
	loads := map[string]func(s workload) workload{
		"usual":          func(s workload) workload { return s },
		"above capacity": func(s workload) workload { s.perSecond = 130; return s },
		"a burst":        func(s workload) workload { s.perSecond, s.burst = 100, 2.5; return s },
		"nothing is kept warm": func(s workload) workload {
			s.warm, s.cold = 270*time.Millisecond, 270*time.Millisecond
			s.perSecond = 200
			return s
		},
		"more objects than fit": func(s workload) workload { s.objects, s.perSecond = 400, 100; return s },
	}
	for name, load := range loads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := load(usual)
			now := time.Unix(1_800_000_000, 0)
			share := func(p results) float64 { return float64(p.inTarget) / float64(p.requested) }
			random := share(s.runOn(now, newBaseline(s, atRandom()), true))
			least := share(s.runOn(now, newBaseline(s, leastInFlight), true))
			pool := share(s.run(true))
			t.Logf("in target: at random %.3f, least in flight %.3f, pool %.3f", random, least, pool)
			is.True(pool >= max(random, least)-0.01)
			if name == "above capacity" {
				is.True(pool >= 2*max(random, least))
			}
		})
	}
}
