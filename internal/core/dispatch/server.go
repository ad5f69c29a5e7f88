package dispatch

import (
	"math"
	"time"

	"sassafrasreach/internal/core/registry"
)

// server is an endpoint with what its requests have shown.
type server struct {
	endpoint registry.Endpoint
	inFlight int
	// took is the moving average of its answers' times in seconds; zero before
	// the first.
	took float64
	// failures is the moving share of failed requests.
	failures float64
	// breaks counts the broken connections in a row.
	breaks int
	// pausedUntil is when it may be used again.
	pausedUntil time.Time
	// warm holds when an object was last served.
	warm map[string]time.Time
	// cold grants are spaced: the next is due at coldNext.
	coldNext time.Time
}

func (s *server) free(now time.Time) bool {
	return s.usable(now) && s.inFlight < s.endpoint.Slots && (!s.cold(now) || !now.Before(s.coldNext))
}

func (s *server) usable(now time.Time) bool {
	return !s.endpoint.Leaving && !s.endpoint.Gone && !now.Before(s.pausedUntil)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.endpoint.ColdUntil) }

// cost is the expected time of a request, in units of the service's usual time,
// with a penalty for failures and load.
func (s *server) cost(usual float64, affinity string) float64 {
	c := 1.0
	if s.took > 0 && usual > 0 {
		c = s.took / usual
	}
	c *= 1 + failureWeight*s.failures
	c *= 1 + loadWeight*float64(s.inFlight)/math.Max(1, float64(s.endpoint.Slots))
	if _, warm := s.warm[affinity]; warm && affinity != "" {
		c *= warmFactor
	}
	return c
}

// touch notes that the endpoint serves an object, and forgets the oldest.
func (s *server) touch(now time.Time, affinity string) {
	if affinity == "" {
		return
	}
	s.warm[affinity] = now
	if len(s.warm) <= warmKept {
		return
	}
	oldest := affinity
	for key, at := range s.warm {
		if at.Before(s.warm[oldest]) {
			oldest = key
		}
	}
	delete(s.warm, oldest)
}

// ended takes the outcome of a request.
func (s *server) ended(now time.Time, outcome Outcome, took time.Duration) {
	switch outcome {
	case Served:
		s.breaks = 0
		s.failures -= smoothing * s.failures
		if s.took == 0 {
			s.took = took.Seconds()
		}
		s.took += smoothing * (took.Seconds() - s.took)
	case Failed:
		s.failures += smoothing * (1 - s.failures)
	case Refused:
		s.pausedUntil = now.Add(fullPause)
	case Broken:
		s.failures += smoothing * (1 - s.failures)
		pause := min(brokenPause<<min(s.breaks, 4), brokenPauseMax)
		s.breaks++
		s.pausedUntil = now.Add(pause)
	case Unsent:
	}
}
