package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeRegion is a region of 164 endpoints and 800 objects with the given
// requests per second.
func largeRegion(perSecond float64, duration time.Duration) workload {
	return workload{
		endpoints: 164, slots: 9, capacity: 14, objects: 800, perSecond: perSecond,
		cold: 2200 * time.Millisecond, warm: 660 * time.Millisecond, target: 1500 * time.Millisecond, duration: duration,
	}
}

// BenchmarkLargeRegion runs 20 s of normal load.
func BenchmarkLargeRegion(b *testing.B) {
	s := largeRegion(900, 20*time.Second)
	for b.Loop() {
		out := s.run(true)
		b.ReportMetric(float64(out.inTarget)/float64(out.requested), "in-target")
		b.ReportMetric(float64(out.refused)/float64(out.requested), "refused")
	}
}

// TestLargeRegionUnderOverload guards against a dispatcher that can't keep up
// with a long queue. Scanning all endpoints for each queued slot request took
// most of a core, and under the race detector several times as long as the load
// lasted. Overload must also leave the endpoints at their full throughput.
func TestLargeRegionUnderOverload(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	s := largeRegion(2600, 4*time.Second)
	out := s.run(true)
	is.True(time.Since(began) < 8*time.Second)
	capacity := float64(s.endpoints*s.slots) * s.duration.Seconds() / s.cold.Seconds() // all cold
	is.True(float64(out.inTarget+out.late) >= capacity)
}
