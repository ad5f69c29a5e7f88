package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// TestWarmCapacityIsLearned guards against objects that evict each other
// because the pool doesn't know how many an endpoint keeps. The objects need
// nine tenths of the endpoints' capacity. The pool has to learn the capacity
// from the run times, whether it is lower or higher than first assumed.
func TestWarmCapacityIsLearned(t *testing.T) {
	for _, capacity := range []int{12, 24, 60} {
		s := workload{
			endpoints: 8, slots: 9, capacity: capacity, objects: 8 * capacity * 9 / 10, perSecond: 130,
			cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond, duration: 60 * time.Second,
		}
		is := is.New(t)
		out := s.run(true)
		t.Logf("capacity %d: %+v", capacity, out)
		is.True(10*out.inTarget > 9*out.requested)
	}
}

// TestObjectsAreSpread guards against many objects at a few endpoints. This
// arises when objects are placed while all endpoints are idle; later their
// requests wait for the few slots there while other slots are idle.
func TestObjectsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const endpoints, objects = 24, 120
	pool := regionPool(now, "own", map[string]int{"own": endpoints})
	placed := make(map[string]int)
	for i := range objects {
		now = now.Add(25 * time.Millisecond)
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(i), Service: "s", Kind: "k", Affinity: fmt.Sprint(i),
			Target: 300 * time.Millisecond, Deadline: now.Add(2 * time.Second),
		})
		is.True(decided && d.Grant != "")
		placed[d.Endpoint.ID]++
		pool.Release(now.Add(20*time.Millisecond), d.Grant, dispatch.Served, 20*time.Millisecond)
		pool.Tick(now)
	}
	for _, n := range placed {
		is.True(n <= 2*objects/endpoints)
	}
	is.Equal(len(placed), endpoints)
}
