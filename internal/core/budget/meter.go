package budget

import "time"

// meter counts units in a sliding window divided into bins. It covers the
// window, lengthened by the clock drift, and the whole bin in which the window
// begins, so the count is never below that of any window that ends now.
type meter struct {
	origin time.Time
	width  time.Duration
	bins   []int64
	last   int64
	sum    int64
}

func newMeter(cfg Config, now time.Time) *meter {
	width := cfg.Window / time.Duration(cfg.Bins)
	covered := cfg.withDrift(cfg.Window)
	count := int((covered+width-1)/width) + 1
	return &meter{origin: now, width: width, bins: make([]int64, count)}
}

// advance drops the bins that have left the window. The time passed in never
// decreases.
func (m *meter) advance(now time.Time) {
	bin := int64(now.Sub(m.origin) / m.width)
	if bin <= m.last {
		return
	}
	if bin-m.last >= int64(len(m.bins)) {
		clear(m.bins)
		m.sum = 0
		m.last = bin
		return
	}
	for m.last < bin {
		m.last++
		slot := &m.bins[m.last%int64(len(m.bins))]
		m.sum -= *slot
		*slot = 0
	}
}

// used returns the units counted in the window that ends now.
func (m *meter) used(now time.Time) int64 {
	m.advance(now)
	return m.sum
}

// add counts units at the time now.
func (m *meter) add(now time.Time, units int64) {
	m.advance(now)
	m.bins[m.last%int64(len(m.bins))] += units
	m.sum += units
}
