package quota

import (
	"math"
	"time"
)

const (
	// fastTime and slowTime are the time constants of the two averages of a demand. The
	// fast one follows demand that moves between regions within a second.
	fastTime = 200 * time.Millisecond
	slowTime = 500 * time.Millisecond
)

// demand estimates the rate of a region's requests for one account.
type demand struct {
	at         time.Time
	fast, slow float64
}

// observe counts one request.
func (d *demand) observe(now time.Time) {
	d.decay(now)
	d.fast += 1 / fastTime.Seconds()
	d.slow += 1 / slowTime.Seconds()
}

func (d *demand) decay(now time.Time) {
	if passed := now.Sub(d.at); passed > 0 {
		d.fast *= math.Exp(-passed.Seconds() / fastTime.Seconds())
		d.slow *= math.Exp(-passed.Seconds() / slowTime.Seconds())
		d.at = now
	}
}

// rate returns the estimate in requests per second. A single request doesn't count in the
// fast average.
func (d *demand) rate(now time.Time) float64 {
	d.decay(now)
	return max(d.slow, d.fast-1/fastTime.Seconds())
}

// stock returns the tokens that the demand needs for stockTime, the variation of the
// arrivals included.
func (d *demand) stock(now time.Time) float64 {
	rate := d.rate(now)
	if rate < negligibleDemand {
		return 0
	}
	mean := rate * stockTime.Seconds()
	return mean + stockDeviations*math.Sqrt(mean) + 1
}

// floor is the small bucket of one region.
type floor struct {
	at    time.Time
	level float64
}

// refill adds what the time since the last call gives. size is the number of requests that
// the floor allows in a window.
func (f *floor) refill(now time.Time, size float64, window time.Duration) {
	burst := floorBurst * size
	if f.at.IsZero() {
		f.at, f.level = now, burst
	}
	if passed := now.Sub(f.at); passed > 0 {
		f.level += (size - burst) * passed.Seconds() / window.Seconds()
		f.at = now
	}
	f.level = min(f.level, burst)
}
