package measure

import "time"

const (
	// bucketWidth is the resolution of a window.
	bucketWidth = 10 * time.Millisecond
	// bucketsPerSecond is the number of buckets in a second.
	bucketsPerSecond = int(time.Second / bucketWidth)
	// bucketsPerWindow covers a second and the bucket in which it begins.
	bucketsPerWindow = bucketsPerSecond + 1
	// idleShift is the time without use after which a shift ramps up again.
	idleShift = 10 * time.Second
	// rampFloor is the fraction of a cap at which a ramp begins.
	rampFloor = 0.1
)

// window is a sliding window that bounds the units used in any second, counted at
// one point.
type window struct {
	limit   int
	ramp    time.Duration
	used    [bucketsPerWindow]int
	sum     int
	at      int64 // number of the newest bucket
	started time.Duration
	last    time.Duration
	active  bool
}

// fits reports whether units can be taken now. It begins a ramp at the first use
// and after idleShift without use.
func (w *window) fits(now time.Duration, units int) bool {
	w.advance(now)
	if !w.active || now-w.last > idleShift {
		w.active, w.started = true, now
	}
	limit := w.limit
	if w.ramp > 0 && now-w.started < w.ramp {
		part := rampFloor + (1-rampFloor)*float64(now-w.started)/float64(w.ramp)
		limit = int(float64(limit) * part)
	}
	return w.sum+units <= limit
}

// take counts units as used now.
func (w *window) take(now time.Duration, units int) {
	w.advance(now)
	w.used[w.at%int64(bucketsPerWindow)] += units
	w.sum += units
	w.last = now
}

func (w *window) advance(now time.Duration) {
	target := int64(now / bucketWidth)
	if target-w.at >= int64(bucketsPerWindow) {
		w.used = [bucketsPerWindow]int{}
		w.sum = 0
		w.at = target
	}
	for w.at < target {
		w.at++
		w.sum -= w.used[w.at%int64(bucketsPerWindow)]
		w.used[w.at%int64(bucketsPerWindow)] = 0
	}
}
