package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// arrivals records when requests reach endpoints.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.times = append(a.times, time.Now())
}

// count returns the number of all arrivals and the most within any second.
func (a *arrivals) count() (all, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	first := 0
	for i, at := range a.times {
		for at.Sub(a.times[first]) >= time.Second {
			first++
		}
		most = max(most, i+1-first)
	}
	return len(a.times), most
}

// TestCapCountsArrivals guards against more requests per second arriving at
// endpoints than the cap allows. That would happen if a request were counted
// when it is admitted rather than when it is written, and then waited for a
// slot or for its connection, or if a second try were not counted.
func TestCapCountsArrivals(t *testing.T) {
	const limit = 10
	cases := []struct {
		name string
		call func(n int) port.Answer
		dial time.Duration
	}{
		{"waited for slots", func(n int) port.Answer {
			if n <= limit {
				time.Sleep(1200 * time.Millisecond)
			}
			return port.Answer{}
		}, 0},
		{"tried twice", func(int) port.Answer { return connectionLost.answer }, 0},
		{"slow to connect", func(int) port.Answer { return port.Answer{} }, 700 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc := startTestCluster(t, document.Rule{Name: "r", From: "a", To: "b", RequestsPerS: limit})
				var seen arrivals
				tc.calls.dial = c.dial
				tc.calls.call = func(n int, _ port.Endpoint) port.Answer {
					seen.add()
					return c.call(n)
				}
				for range 3 {
					for range limit {
						forward := newOwnerForward(tc.request(), groupKey{service, "b"}, false)
						go func() { _, _ = tc.entry("b1").HandleForward(context.Background(), forward) }()
					}
					time.Sleep(1100 * time.Millisecond)
				}
				time.Sleep(2 * requestTimeout)
				is := is.New(t)
				all, most := seen.count()
				is.True(all > limit)
				is.True(most <= limit)
			})
		})
	}
}
