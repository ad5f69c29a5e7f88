package entry

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/port"
)

// TestCrashingRequest resends a request that ends each endpoint that runs it,
// through every entry, a restarted one too. At most two endpoints end, and every
// entry lists it; again so when it goes on after an operator's lift.
func TestCrashingRequest(t *testing.T) {
	cases := []struct {
		name  string
		probe error // of dead endpoints
		lose  int   // messages on quarantine to each entry
		apart bool  // no heartbeats between places
	}{
		{"probes find the deaths", port.ErrConnectionRefused, 0, false},
		{"probes miss the deaths", nil, 0, false},
		{"the first messages to each entry are lost", port.ErrConnectionRefused, 2, false},
		{"the other place isn't heard of", port.ErrConnectionRefused, 0, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := settled(t)
				w.mu.Lock()
				w.lose, w.apart = c.lose, c.apart
				w.mu.Unlock()
				time.Sleep(settle)
				w.calls.crash(c.probe)
				req := w.request()
				for range 3 {
					for _, name := range []string{"a1", "a2", "a3", "b1"} {
						req.Origin = placeOf[name]
						w.resend(w.entry(name), req)
					}
					time.Sleep(quarantine.DefaultConfig().Blame + 2*time.Second)
				}
				listed := func(want int) {
					for name := range placeOf {
						e := w.entry(name)
						is.Equal(len(e.suspects.list(e.clock.Now())), want) // of this entry
					}
				}
				listed(1)
				w.crash("b1")
				w.start("b1", 2)
				time.Sleep(settle)
				w.resend(w.entry("b1"), req)
				is.True(w.calls.ran() <= 2)
				listed(1)
				order := w.control.answers["c1"]
				order.LiftedQuarantines = []string{fingerprintOf(req).String()}
				w.control.set(map[string]port.FetchAnswer{"c1": order})
				time.Sleep(2 * time.Second)
				listed(0)
				w.resend(w.entry("b1"), req)
				time.Sleep(quarantine.DefaultConfig().Blame + 2*time.Second)
				is.Equal(w.calls.ran(), 4)
				listed(1) // though the lift is told still
			})
		})
	}
}

// TestFirstRunsAtOnce sends a crashing request through two owners at the same
// moment. Each has told the other before it tries again, so one of them does at
// most.
func TestFirstRunsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := settled(t)
		w.calls.crash(port.ErrConnectionRefused)
		crash := w.calls.call
		w.calls.call = func(n int, to port.Endpoint) port.Answer {
			time.Sleep(10 * time.Millisecond)
			return crash(n, to)
		}
		var sent sync.WaitGroup
		for _, name := range []string{"a1", "b1"} {
			req := w.request()
			req.Origin, req.Target = placeOf[name], "/crash"
			sent.Go(func() { serve(w.entry(name), req) })
		}
		sent.Wait()
		is.True(w.calls.ran() <= 3)
	})
}
