package dispatch_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/dispatch"
)

// TestShiftLimit guards against large shifts of load between regions when
// clients move in and out of a region and its free capacity comes and goes
// within a second. The shift between any two consecutive windows stays within
// the limit, and exceeds twice the limit without the meter.
func TestShiftLimit(t *testing.T) {
	const most = 0.15
	is := is.New(t)
	is.True(worstShift(dispatch.NewShiftMeter(most)) <= most)
	is.True(worstShift(dispatch.NewShiftMeter(0)) > 2*most)
}

// worstShift runs 60 s in which the region "home" has capacity for all, half or
// none of its requests in turn, and returns the largest change of a region's
// share.
func worstShift(m *dispatch.ShiftMeter) float64 {
	random := rand.New(rand.NewPCG(3, 4))
	now := time.Unix(1_800_000_000, 0)
	start := now
	type run struct {
		at     time.Time
		region string
	}
	var runs []run
	for now.Sub(start) < time.Minute {
		now = now.Add(time.Duration(5+random.IntN(10)) * time.Millisecond)
		wanted := "home"
		if random.IntN(2) < int(now.Sub(start).Seconds()/3.1)%3 {
			wanted = "away"
		}
		if !m.Allows(now, wanted) {
			wanted = map[string]string{"home": "away", "away": "home"}[wanted]
		}
		m.Count(now, wanted, false)
		runs = append(runs, run{now, wanted})
	}
	share := func(from, to time.Time) float64 {
		in, all := 0, 0
		for _, r := range runs {
			if !r.at.Before(from) && r.at.Before(to) {
				all++
				if r.region == "away" {
					in++
				}
			}
		}
		return float64(in) / math.Max(1, float64(all))
	}
	worst := 0.0
	for at := start.Add(4 * time.Second); at.Before(now); at = at.Add(100 * time.Millisecond) {
		change := math.Abs(share(at.Add(-2*time.Second), at) - share(at.Add(-4*time.Second), at.Add(-2*time.Second)))
		worst = math.Max(worst, change)
	}
	return worst
}
