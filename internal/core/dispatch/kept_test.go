package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// TestKeptObjects answers the load of more objects than the endpoints keep warm
// if nobody minds their number: nine tenths of their room are needed, and how
// much each has is found out from the runs, whether it is less or more than
// assumed at first.
func TestKeptObjects(t *testing.T) {
	for _, keeps := range []int{12, 24, 60} {
		s := scene{
			endpoints: 8, slots: 9, keeps: keeps, objects: 8 * keeps * 9 / 10, perSecond: 130,
			cold: 900 * time.Millisecond, warm: 270 * time.Millisecond, target: 600 * time.Millisecond, lasts: 60 * time.Second,
		}
		is := is.New(t)
		out := s.play(true)
		t.Logf("keeps %d: %+v", keeps, out)
		is.True(10*out.inTarget > 9*out.asked)
	}
}

// TestObjectsAreSpread answers the load of endpoints with few slots: where objects are
// placed while all are idle, none is given many more than the others, whose slots
// would stay idle while requests wait for its own.
func TestObjectsAreSpread(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const endpoints, objects = 24, 120
	pool := regionPool(now, "own", map[string]int{"own": endpoints})
	placed := make(map[string]int)
	for i := range objects {
		now = now.Add(25 * time.Millisecond)
		d, decided := pool.Acquire(now, dispatch.Ask{
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
