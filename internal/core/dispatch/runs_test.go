package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
)

// runLog is a RunRecorder that counts the runs in flight and refuses one
// fingerprint.
type runLog struct {
	refused  fingerprint.Fingerprint
	inFlight int
	ends     []quarantine.End
}

func (r *runLog) MayStart(_ time.Time, f fingerprint.Fingerprint) bool { return f != r.refused }

func (r *runLog) Begin(time.Time, registry.Endpoint, fingerprint.Fingerprint) { r.inFlight++ }

func (r *runLog) End(_ time.Time, _ registry.Endpoint, _ fingerprint.Fingerprint, end quarantine.End) {
	r.inFlight--
	r.ends = append(r.ends, end)
}

// TestRunsRecorded guards against runs that are recorded without an end when
// their gateway or dispatcher is lost, and against a slot for a request that
// crashes endpoints.
func TestRunsRecorded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	runs := &runLog{refused: fingerprint.Of("h", "GET", "/crash", nil)}
	pool := dispatch.NewPool("p/", dispatch.Config{
		ColdRate: func(string) float64 { return 5 }, Random: func() float64 { return 0 }, Region: "a",
		RegionOf: func(zone string) string { return zone }, Runs: runs,
	})
	pool.Update(now, registry.Endpoint{ID: "e", Zone: "a", Service: "s", Slots: 4, StartedMillis: 1, LastSeen: now})
	acquire := func(f fingerprint.Fingerprint) dispatch.Decision {
		d, decided := pool.Acquire(now, dispatch.SlotRequest{
			ID: fmt.Sprint(f), Service: "s", Target: time.Second, Deadline: now.Add(time.Second), Fingerprint: f,
		})
		is.True(decided)
		return d
	}
	is.Equal(acquire(runs.refused).Reason, dispatch.ReasonQuarantined)
	good := fingerprint.Of("h", "GET", "/good", nil)
	released := acquire(good)
	acquire(good) // its gateway is lost
	acquire(fingerprint.Fingerprint{})
	is.Equal(runs.inFlight, 2)
	pool.Release(now, released.Grant, dispatch.Broken, time.Millisecond)
	is.Equal(runs.ends, []quarantine.End{quarantine.Reset})
	now = now.Add(3 * time.Second)
	pool.Tick(now)
	is.Equal(runs.inFlight, 0)
	is.Equal(runs.ends[1:], []quarantine.End{quarantine.Abandoned}) // it may have been sent
	acquire(good)
	pool.Close(now)
	is.Equal(runs.inFlight, 0)
	is.Equal(runs.ends[2:], []quarantine.End{quarantine.Abandoned})
}
