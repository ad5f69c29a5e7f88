package entry

import (
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestCrashingRequest guards against a request that crashes each endpoint
// running it and is resent through every entry, including a restarted one. At
// most two endpoints may crash, and every entry must list the request. The same
// holds when it is resent after an operator lifted the quarantine.
func TestCrashingRequest(t *testing.T) {
	cases := []struct {
		name        string
		probe       error // result for crashed endpoints
		dropFirst   int   // number of quarantine messages to each entry that are lost
		partitioned bool  // no heartbeats between places
	}{
		{"probes find the deaths", port.ErrConnectionRefused, 0, false},
		{"probes miss the deaths", nil, 0, false},
		{"the first messages to each entry are lost", port.ErrConnectionRefused, 2, false},
		{"no heartbeats between places", port.ErrConnectionRefused, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tc := startTestCluster(t)
				tc.mu.Lock()
				tc.dropFirst, tc.partitioned = c.dropFirst, c.partitioned
				tc.mu.Unlock()
				time.Sleep(settleTime)
				tc.calls.crash(c.probe)
				req := tc.request()
				for range 3 {
					for _, name := range []string{"a1", "a2", "a3", "b1"} {
						req.Origin = placeOf[name]
						tc.resend(tc.entry(name), req)
					}
					time.Sleep(quarantine.DefaultConfig().DetectionTimeout + 2*time.Second)
				}
				expectListed := func(want int) {
					for name := range placeOf {
						e := tc.entry(name)
						is.Equal(len(e.suspects.list(e.clock.Now())), want) // of this entry
					}
				}
				expectListed(1)
				tc.crash("b1")
				tc.start("b1", 2)
				time.Sleep(settleTime)
				tc.resend(tc.entry("b1"), req)
				is.True(tc.calls.ran() <= 2)
				expectListed(1)
				order := tc.control.answers["c1"]
				order.LiftedQuarantines = []string{fingerprintOf(req).String()}
				tc.control.set(map[string]port.FetchAnswer{"c1": order})
				time.Sleep(2 * time.Second)
				expectListed(0)
				tc.resend(tc.entry("b1"), req)
				time.Sleep(quarantine.DefaultConfig().DetectionTimeout + 2*time.Second)
				is.Equal(tc.calls.ran(), 4)
				expectListed(1) // although the lift is still being broadcast
			})
		})
	}
}

// TestCrashingRequestAtTwoOwners sends a crashing request through two owners at
// the same time. Each must notify the other before it retries, so at most one
// of them retries.
func TestCrashingRequestAtTwoOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		tc.calls.crash(port.ErrConnectionRefused)
		crash := tc.calls.call
		tc.calls.call = func(n int, to port.Endpoint) port.Answer {
			time.Sleep(10 * time.Millisecond)
			return crash(n, to)
		}
		var sent sync.WaitGroup
		for _, name := range []string{"a1", "b1"} {
			req := tc.request()
			req.Origin, req.Target = placeOf[name], "/crash"
			sent.Go(func() { serve(tc.entry(name), req) })
		}
		sent.Wait()
		is.True(tc.calls.ran() <= 3)
	})
}

// cutBody is the rest of a streamed answer whose endpoint ends within it.
type cutBody struct{ end func() }

func (b cutBody) Read([]byte) (int, error) {
	b.end()
	return 0, verdict.NewError(verdict.MayHaveRun, verdict.ReasonBadAnswer, port.ErrConnectionLost)
}

func (b cutBody) Close() error { return nil }

// TestCrashWithinStreamedAnswer guards against a request that crashes each endpoint while
// its answer is streamed, and that counts as answered because the answer had begun.
func TestCrashWithinStreamedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		time.Sleep(settleTime)
		tc.calls.crash(port.ErrConnectionRefused)
		crash := tc.calls.call
		tc.calls.call = func(n int, to port.Endpoint) port.Answer {
			return port.Answer{Response: &port.Response{Status: 200, Rest: cutBody{func() { crash(n, to) }}}}
		}
		req := tc.request()
		req.OnceOnly, req.Key = false, ""
		for range 3 {
			for _, name := range []string{"a1", "a2", "a3", "b1"} {
				req.Origin = placeOf[name]
				if answer := tc.resend(tc.entry(name), req); answer.Response != nil && answer.Response.Rest != nil {
					_, err := io.ReadAll(answer.Response.Rest)
					is.True(err != nil)
					is.NoErr(answer.Response.Rest.Close())
				}
			}
			time.Sleep(quarantine.DefaultConfig().DetectionTimeout + 2*time.Second)
		}
		is.True(tc.calls.ran() <= 2)
	})
}
