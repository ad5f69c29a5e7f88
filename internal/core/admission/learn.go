package admission

import (
	"slices"
	"time"
)

// ResultKind is the way in which a granted request ended.
type ResultKind uint8

const (
	// OK means that the endpoint answered.
	OK ResultKind = iota
	// Shed means that the endpoint refused the request without running it.
	Shed
	// Failed means that no connection could be opened, that it broke, or that
	// the answer was unusable.
	Failed
	// Timeout means that no answer arrived in time.
	Timeout
	// Canceled means that the caller canceled the request; it says nothing
	// about the endpoint.
	Canceled
)

// Result describes how a granted request ended.
type Result struct {
	// Kind is the way in which it ended.
	Kind ResultKind
	// Latency is the time from the grant to the end.
	Latency time.Duration
}

// recordResult updates the endpoint and the latency window by the result of a
// request.
func (g *Group) recordResult(now time.Time, e *endpoint, r Result) {
	switch r.Kind {
	case OK:
		g.latency.Add(r.Latency)
		e.recordSuccess(now, r.Latency, g.peerLatency(e))
	case Shed:
		e.recordShed(now)
	case Failed:
		e.recordFailure(now)
	case Timeout:
		e.recordLatency(now, r.Latency)
		e.recordFailure(now)
	case Canceled:
	}
}

func (e *endpoint) recordLatency(now time.Time, latency time.Duration) {
	value := float64(max(latency, 1))
	if e.latency == 0 || now.Sub(e.lastSample) > slownessTTL {
		e.latency = value
	}
	e.latency += latencyWeight * (value - e.latency)
	e.samples++
	e.lastSample = now
}

func (e *endpoint) recordSuccess(now time.Time, latency time.Duration, peerLatency float64) {
	e.recordLatency(now, latency)
	e.success += successWeight * (1 - e.success)
	e.failures = 0
	e.sheds = 0
	e.ejections = 0
	if peerLatency > 0 && e.samples >= minSamples && e.latency > verySlowFactor*peerLatency {
		e.learnedSlots = max(1, e.learnedSlots*slowShrink)
		return
	}
	e.learnedSlots = min(float64(e.announcedSlots), e.learnedSlots+slotGrowth)
}

func (e *endpoint) recordShed(now time.Time) {
	e.learnedSlots = max(1, min(e.learnedSlots, float64(e.inFlight+1))*shedShrink)
	pause := min(minShedPause<<min(e.sheds, 16), maxShedPause)
	e.pausedUntil = now.Add(pause)
	e.sheds++
}

func (e *endpoint) recordFailure(now time.Time) {
	e.success -= successWeight * e.success
	e.failures++
	if e.failures < maxConsecutiveFailures {
		return
	}
	pause := min(minEjection<<min(e.ejections, 16), maxEjection)
	e.ejectedUntil = now.Add(pause)
	e.ejections++
}

// peerLatency returns the median latency of the other endpoints with at least
// minSamples samples; 0 if there are none.
func (g *Group) peerLatency(e *endpoint) float64 {
	g.scratch = g.scratch[:0]
	for _, other := range g.endpoints {
		if other != e && other.samples >= minSamples {
			g.scratch = append(g.scratch, other.latency)
		}
	}
	return median(g.scratch)
}

// median sorts values and returns the lower median; 0 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
