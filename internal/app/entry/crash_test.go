package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/port"
)

// TestCrashingRequest resends a request that ends each endpoint that runs it,
// through every entry. At most two endpoints end, and every entry lists it.
func TestCrashingRequest(t *testing.T) {
	cases := []struct {
		name  string
		probe error // of dead endpoints
	}{
		{"probes find the deaths", port.ErrConnectionRefused},
		{"probes miss the deaths", nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := settled(t)
				w.calls.crash(c.probe)
				req := w.request()
				for range 3 {
					for name, place := range placeOf {
						req.Origin = place
						w.resend(w.entry(name), req)
					}
					time.Sleep(quarantine.DefaultConfig().Blame + 2*time.Second)
				}
				is.True(w.calls.ran() <= 2)
				for name := range placeOf {
					e := w.entry(name)
					is.Equal(len(e.suspects.list(e.clock.Now())), 1) // of this entry
				}
			})
		})
	}
}
