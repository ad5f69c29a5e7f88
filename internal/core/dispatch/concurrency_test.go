package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// TestLearnedLimits guards against limits that don't keep endpoints from slowing down, and
// against limits of endpoints that are sound or whose speed doesn't depend on what they
// run. Each load is served with and without learned limits; gain is the least difference of
// the shares in target.
func TestLearnedLimits(t *testing.T) {
	third := func(endpoint string) bool { return endpoint[len(endpoint)-1]%3 == 0 }
	// beyondHalf slows an endpoint with 6 slots down beyond 3 requests.
	beyondHalf := func(running int) float64 { return max(1, math.Pow(float64(running)/3, 2)) }
	began := time.Unix(1_800_000_000, 0)
	loads := []struct {
		name      string
		perSecond float64
		slowdown  func(endpoint string, at time.Time, running int) float64
		phases    bool
		gain      float64
	}{
		{"sound endpoints under overload", 840, nil, false, -0.001},
		{"phases of machines that don't report them", 432, nil, true, -0.003},
		{"one endpoint four times slower", 384, func(e string, _ time.Time, _ int) float64 {
			if e == "e3" {
				return 4
			}
			return 1
		}, false, -0.003},
		{"a third slows down beyond half of its slots", 432, func(e string, _ time.Time, n int) float64 {
			if third(e) {
				return beyondHalf(n)
			}
			return 1
		}, false, 0.015},
		{"all slow down beyond half of their slots", 288, func(_ string, _ time.Time, n int) float64 { return beyondHalf(n) }, false, 0.25},
		{"a third changes its speed three times a second", 384, func(e string, at time.Time, _ int) float64 {
			if third(e) && int(at.Sub(began)/(150*time.Millisecond))%2 == 0 {
				return 3
			}
			return 1
		}, false, 0},
		{"all objects are cold after 10 s", 336, func(_ string, at time.Time, _ int) float64 {
			if since := at.Sub(began); since > 10*time.Second && since < 13*time.Second {
				return 3.3
			}
			return 1
		}, false, -0.003},
	}
	for _, load := range loads {
		t.Run(load.name, func(t *testing.T) {
			s := workload{
				endpoints: 24, slots: 6, capacity: 20, objects: 130, perSecond: load.perSecond, duration: 20 * time.Second, spread: 0.7,
				cold: 680 * time.Millisecond, warm: 204 * time.Millisecond, target: 600 * time.Millisecond, slowdown: load.slowdown,
			}
			if load.phases {
				s.phases = newPhases(began, s.endpoints, s.duration)
			}
			var shares []float64
			for _, s.limits = range []dispatch.LimitScope{dispatch.LimitNone, dispatch.LimitAll} {
				out := s.run(true)
				shares = append(shares, float64(out.inTarget)/float64(out.requested))
			}
			t.Logf("in target with limits of none and all: %.4f", shares)
			is.New(t).True(shares[1]-shares[0] >= load.gain)
		})
	}
}

// TestLimitScopes guards against a comparison of two halves that aren't about equally
// large, and against limits where none are wanted.
func TestLimitScopes(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	const endpoints = 200
	for scope, share := range map[dispatch.LimitScope]float64{"": 0, dispatch.LimitNone: 0, dispatch.LimitHalf: 0.5, dispatch.LimitAll: 1} {
		pool := dispatch.NewPool("t/", dispatch.Config{RegionOf: func(string) string { return "" }, LearnLimits: scope})
		for i := range endpoints {
			pool.Update(now, registry.Endpoint{ID: fmt.Sprintf("e%d", i), Service: "s", Slots: 6, StartedMillis: 1, LastSeen: now})
		}
		got := float64(pool.Use(now)["s"].Limits.Learning) / endpoints
		is.True(math.Abs(got-share) <= 0.1 && (share == 0.5 || got == share))
	}
}
