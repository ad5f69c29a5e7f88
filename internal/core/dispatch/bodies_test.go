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

// TestBodiesInFlight guards against an endpoint that ends because the bodies that it
// holds exceed its memory. Load: requests with and without bodies of up to 60 MiB, on
// three endpoints of eight slots, that queue, run for a while, and are given up.
func TestBodiesInFlight(t *testing.T) {
	for seed := range uint64(100) {
		r := rand.New(rand.NewPCG(seed, 1))
		now := time.Unix(1_800_000_000, 0)
		pool := regionPool(now, "a", nil)
		for i := range 3 {
			pool.Update(now, registry.Endpoint{ID: fmt.Sprint(i), Zone: "a", Service: "s", Slots: 8, StartedMillis: 1, LastSeen: now})
		}
		var running []dispatch.Decision
		record := func(decisions ...dispatch.Decision) {
			for _, d := range decisions {
				if d.Grant != "" {
					running = append(running, d)
				}
			}
			small, large := make(map[string]int64), make(map[string]int64)
			for _, d := range running {
				if n := d.Request.BodyBytes; n > 8<<20 {
					large[d.Endpoint.ID]++
				} else {
					small[d.Endpoint.ID] += n
				}
			}
			for i := range 3 {
				id := fmt.Sprint(i)
				if large[id] > 1 || small[id] > 8<<20 || large[id] > 0 && small[id] > 64<<10 {
					t.Fatalf("seed %d: endpoint %s holds %d large bodies and %d bytes of others", seed, id, large[id], small[id])
				}
			}
		}
		for i := range 200 {
			now = now.Add(time.Duration(1+r.IntN(60)) * time.Millisecond)
			d, decided := pool.Acquire(now, dispatch.SlotRequest{
				ID: fmt.Sprint(i), Service: "s", Kind: "k", Affinity: fmt.Sprint(i % 5), Target: 300 * time.Millisecond,
				Deadline:  now.Add(time.Second),
				BodyBytes: []int64{0, 200, 50 << 10, 3 << 20, 7 << 20, 60 << 20}[r.IntN(6)],
			})
			if decided {
				record(d)
			}
			if len(running) > 0 && r.IntN(2) == 0 {
				d := running[0]
				running = running[1:]
				record(pool.Release(now, d.Grant, dispatch.Served, 200*time.Millisecond)...)
			}
			if r.IntN(10) == 0 {
				running = keepUnexpired(now, running)
				record(pool.Tick(now)...)
			}
		}
	}
}

func keepUnexpired(now time.Time, running []dispatch.Decision) []dispatch.Decision {
	var kept []dispatch.Decision
	for _, d := range running {
		if !now.After(d.Request.Deadline.Add(time.Second)) {
			kept = append(kept, d)
		}
	}
	return kept
}

// TestLargeBodyBesideSmall guards against a large body that never runs because small ones
// are always in flight, and against small ones that wait for its end.
func TestLargeBodyBesideSmall(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	pool := regionPool(now, "a", nil)
	pool.Update(now, registry.Endpoint{ID: "e", Zone: "a", Service: "s", Slots: 8, StartedMillis: 1, LastSeen: now})
	for i, bytes := range []int64{200, 60 << 20, 200, 0} {
		d, _ := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(i), Service: "s", Target: 300 * time.Millisecond, Deadline: now.Add(time.Second), BodyBytes: bytes,
		})
		is.True(d.Grant != "")
	}
	_, decided := pool.Acquire(now, dispatch.SlotRequest{
		ID: "x", Service: "s", Target: 300 * time.Millisecond, Deadline: now.Add(time.Second), BodyBytes: 60 << 20,
	})
	is.True(!decided) // it waits for the end of the other large one
}
