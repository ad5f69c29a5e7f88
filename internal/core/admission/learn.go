package admission

import (
	"slices"
	"time"
)

// ResultKind says how a granted request ended.
type ResultKind uint8

const (
	// OK means that the endpoint answered.
	OK ResultKind = iota
	// Shed means that the endpoint refused the request without running it.
	Shed
	// Failed means that the connection or the dial failed, or that the answer
	// could not be used.
	Failed
	// Timeout means that no answer came in time.
	Timeout
	// Canceled means that the caller went away; it says nothing of the
	// endpoint.
	Canceled
)

// Result is how a granted request ended.
type Result struct {
	// Kind says how.
	Kind ResultKind
	// Latency is the time from the grant to the end.
	Latency time.Duration
}

// learn takes in what a request showed of its endpoint.
func (g *Group) learn(now time.Time, e *endpoint, r Result) {
	switch r.Kind {
	case OK:
		g.latency.Add(r.Latency)
		e.succeed(now, r.Latency, g.peerLatency(e))
	case Shed:
		e.shed(now)
	case Failed:
		e.fail(now)
	case Timeout:
		e.sample(now, r.Latency)
		e.fail(now)
	case Canceled:
	}
}

func (e *endpoint) sample(now time.Time, latency time.Duration) {
	value := float64(max(latency, 1))
	if e.latency == 0 || now.Sub(e.lastSample) > retrySlowAfter {
		e.latency = value
	}
	e.latency += latencyWeight * (value - e.latency)
	e.samples++
	e.lastSample = now
}

func (e *endpoint) succeed(now time.Time, latency time.Duration, peers float64) {
	e.sample(now, latency)
	e.success += successWeight * (1 - e.success)
	e.failures = 0
	e.sheds = 0
	e.ejections = 0
	if peers > 0 && e.samples >= minSamples && e.latency > verySlowFactor*peers {
		e.learned = max(1, e.learned*shrink)
		return
	}
	e.learned = min(float64(e.announced), e.learned+growth)
}

func (e *endpoint) shed(now time.Time) {
	e.learned = max(1, min(e.learned, float64(e.inFlight+1))*shedShrink)
	pause := min(shedPause<<min(e.sheds, 16), shedPauseMost)
	e.pausedTill = now.Add(pause)
	e.sheds++
}

func (e *endpoint) fail(now time.Time) {
	e.success -= successWeight * e.success
	e.failures++
	if e.failures < failuresToEject {
		return
	}
	pause := min(ejectFirst<<min(e.ejections, 16), ejectMost)
	e.ejectTill = now.Add(pause)
	e.ejections++
}

// peerLatency is the median latency of the other endpoints that have samples;
// 0 when there is none.
func (g *Group) peerLatency(e *endpoint) float64 {
	g.scratch = g.scratch[:0]
	for _, other := range g.endpoints {
		if other != e && other.samples >= minSamples {
			g.scratch = append(g.scratch, other.latency)
		}
	}
	return median(g.scratch)
}

// median sorts values and returns the lower median; 0 when there is none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
