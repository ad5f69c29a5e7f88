package admission

import (
	"math"
	"time"
)

const (
	// bucketsPerOctave is the resolution of a LatencyWindow: each bucket is
	// about 9% wide.
	bucketsPerOctave = 8
	// octaves covers latencies up to about 18 minutes (2^40 ns).
	octaves = 40
	// windowSamples is the number of samples after which the older half of
	// the window is dropped.
	windowSamples = 512
	// lateQuantile is the part of the requests that are not late.
	lateQuantile = 0.95
	// minLateSamples is the number of samples below which no request counts
	// as late.
	minLateSamples = 32
)

// histogram counts samples in buckets of logarithmic width.
type histogram struct {
	counts [octaves * bucketsPerOctave]uint16
	total  int
}

// LatencyWindow is the distribution of the recent latencies of a service. Use
// NewLatencyWindow; the zero value is not usable. It is not safe for
// concurrent use.
type LatencyWindow struct {
	current  *histogram
	previous *histogram
	cached   [2]cachedQuantile
}

// cachedQuantile holds a quantile as it was last computed.
type cachedQuantile struct {
	q     float64
	value time.Duration
	stale int // samples added since then
}

// NewLatencyWindow returns a window without samples.
func NewLatencyWindow() *LatencyWindow {
	w := &LatencyWindow{current: &histogram{}, previous: &histogram{}}
	w.cached[0].q = 0.5
	w.cached[1].q = serviceTimeQuantile
	return w
}

// Add records the latency of one answered request.
func (w *LatencyWindow) Add(d time.Duration) {
	if w.current.total >= windowSamples {
		w.current, w.previous = w.previous, w.current
		*w.current = histogram{}
	}
	w.current.counts[bucketOf(d)]++
	w.current.total++
	for i := range w.cached {
		w.cached[i].stale++
	}
}

// Samples returns the number of samples in the window.
func (w *LatencyWindow) Samples() int { return w.current.total + w.previous.total }

// Quantile returns the latency that the part q (0 to 1) of the samples
// doesn't exceed, rounded up by at most a tenth; 0 without samples. The
// quantiles 0.5 and 0.9, which admission uses for each request, are cached
// and may lag by about a sixteenth of the samples.
func (w *LatencyWindow) Quantile(q float64) time.Duration {
	for i := range w.cached {
		c := &w.cached[i]
		if c.q != q {
			continue
		}
		if c.value == 0 || c.stale >= 1+w.Samples()/16 {
			c.value = w.quantile(q)
			c.stale = 0
		}
		return c.value
	}
	return w.quantile(q)
}

func (w *LatencyWindow) quantile(q float64) time.Duration {
	total := w.Samples()
	if total == 0 {
		return 0
	}
	rank := max(1, int(math.Ceil(q*float64(total))))
	seen := 0
	for i := range w.current.counts {
		seen += int(w.current.counts[i]) + int(w.previous.counts[i])
		if seen >= rank {
			return upperEdge(i)
		}
	}
	return upperEdge(len(w.current.counts) - 1)
}

// Late reports whether a request that has run for d is late compared with
// recent requests of its service. No request is late while there are few
// samples.
func (w *LatencyWindow) Late(d time.Duration) bool {
	return w.Samples() >= minLateSamples && d > w.Quantile(lateQuantile)
}

func bucketOf(d time.Duration) int {
	if d <= 1 {
		return 0
	}
	bucket := int(math.Log2(float64(d)) * bucketsPerOctave)
	return min(bucket, octaves*bucketsPerOctave-1)
}

func upperEdge(bucket int) time.Duration {
	return time.Duration(math.Exp2(float64(bucket+1) / bucketsPerOctave))
}
