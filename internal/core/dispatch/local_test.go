package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
)

// TestLocalResponses guards against large responses that cross the links between failure
// domains although an endpoint in the gateway's own has room, and against requests that
// wait there or fill it while other endpoints are free. It sends 40 requests a second for
// 16 objects from gateways in two failure domains with four endpoints each.
func TestLocalResponses(t *testing.T) {
	const (
		requests = 2000
		learning = 200
		run      = 100 * time.Millisecond
	)
	crossed := func(responseBytes int64, zones ...string) (share float64, busiest int) {
		now := time.Unix(1_800_000_000, 0)
		pool := dispatch.NewPool("a/", dispatch.Config{
			ColdRate: func(string) float64 { return 5 }, Random: func() float64 { return 0.5 }, Region: "a",
			RegionOf: func(string) string { return "a" }, RoundTrip: func(string) time.Duration { return 0 },
		})
		for i := range 8 {
			pool.Update(now, registry.Endpoint{
				ID: fmt.Sprint(i), Zone: fmt.Sprint("a", i%2), Service: "s", Slots: 4, StartedMillis: 1, LastSeen: now,
			})
		}
		var running []dispatch.Decision
		inFlight := make(map[string]int)
		n := 0
		for i := range requests {
			now = now.Add(25 * time.Millisecond)
			for len(running) > 4 {
				d := running[0]
				running = running[1:]
				inFlight[d.Endpoint.ID]--
				pool.RecordResponse(d.Grant, responseBytes)
				pool.Release(now, d.Grant, dispatch.Served, run)
			}
			zone := zones[i%len(zones)]
			d, decided := pool.Acquire(now, dispatch.SlotRequest{
				ID: fmt.Sprint(i), Service: "s", Kind: "k", Affinity: fmt.Sprint(i * 7 % 16), Zone: zone,
				Target: 300 * time.Millisecond, Deadline: now.Add(time.Second),
			})
			if !decided || d.Grant == "" {
				t.Fatalf("request %d got no slot", i)
			}
			running = append(running, d)
			inFlight[d.Endpoint.ID]++
			busiest = max(busiest, inFlight[d.Endpoint.ID])
			if i >= learning && d.Endpoint.Zone != zone {
				n++
			}
		}
		return float64(n) / (requests - learning), busiest
	}
	is := is.New(t)
	large, busiest := crossed(90_000, "a0", "a1")
	is.True(large < 0.05) // share of large responses that crossed
	is.True(busiest <= 3) // requests at one endpoint
	small, _ := crossed(2_000, "a0", "a1")
	is.True(small > 0.25) // objects with small responses are kept warm once
	t.Logf("crossed: %.2f of large responses, %.2f of small ones; busiest endpoint %d", large, small, busiest)
}
