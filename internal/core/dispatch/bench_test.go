package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// largeRegion is 164 endpoints and 800 objects with a number of requests a second.
func largeRegion(perSecond float64, lasts time.Duration) scene {
	return scene{
		endpoints: 164, slots: 9, keeps: 14, objects: 800, perSecond: perSecond,
		cold: 2200 * time.Millisecond, warm: 660 * time.Millisecond, target: 1500 * time.Millisecond, lasts: lasts,
	}
}

// BenchmarkLargeRegion plays 20 s of usual load.
func BenchmarkLargeRegion(b *testing.B) {
	s := largeRegion(900, 20*time.Second)
	for b.Loop() {
		out := s.play(true)
		b.ReportMetric(float64(out.inTarget)/float64(out.asked), "in-target")
		b.ReportMetric(float64(out.refused)/float64(out.asked), "refused")
	}
}

// TestLargeRegionUnderOverload answers offered work above capacity with a long
// queue: the dispatcher of a large region keeps up, and serves what the endpoints
// can. Looking through all endpoints for each waiting ask took most of a core, and
// under the race detector several times as long as the load lasted.
func TestLargeRegionUnderOverload(t *testing.T) {
	is := is.New(t)
	began := time.Now()
	s := largeRegion(2600, 4*time.Second)
	out := s.play(true)
	is.True(time.Since(began) < 8*time.Second)
	able := float64(s.endpoints*s.slots) * s.lasts.Seconds() / s.cold.Seconds() // all cold
	is.True(float64(out.inTarget+out.late) >= able)
}
