package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// TestFreshConnectionPreferred guards against new connections where another endpoint, which
// keeps the object warm too, has an idle one with the gateway, and against a preference for
// a connection that is in use.
func TestFreshConnectionPreferred(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "own", map[string]int{"own": 2})
	n := 0
	acquire := func(gateway string, exclude ...string) dispatch.Decision {
		n++
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(n), Gateway: gateway, Service: "s", Kind: "k", Affinity: "a", Target: time.Second,
			Deadline: now.Add(4 * time.Second), Exclude: exclude,
		})
		is.True(decided && d.Grant != "")
		return d
	}
	run := func(took time.Duration, gateway string, exclude ...string) string {
		d := acquire(gateway, exclude...)
		now = now.Add(took)
		pool.Release(now, d.Grant, dispatch.Served, took)
		return d.Endpoint.ID
	}
	const cold, warm = time.Second, 600 * time.Millisecond // what the pool expects
	first := run(cold, "g1")
	second := run(cold, "g2", first)
	for i := range 3 {
		is.Equal([]any{i, run(warm, "g1")}, []any{i, first})
		is.Equal([]any{i, run(warm, "g2")}, []any{i, second})
	}
	is.Equal(acquire("g1").Endpoint.ID, first)
	is.Equal(acquire("g1").Endpoint.ID, second) // its connection to the first is in use
}
