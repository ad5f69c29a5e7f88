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
	// wanted counts the waiting requests that would rather wait for it than run
	// elsewhere.
	wanted int
	// speed is the moving average of its answers' times over the expected ones.
	speed float64
	// failures is the moving share of failed requests.
	failures float64
	// breaks counts the broken connections in a row.
	breaks int
	// pausedUntil is when it may be used again.
	pausedUntil time.Time
	// warm holds when an object was last served.
	warm map[string]time.Time
	// coldNext is when the next request is due while it is cold.
	coldNext time.Time
}

func newServer(e registry.Endpoint) *server {
	return &server{endpoint: e, speed: 1, warm: make(map[string]time.Time)}
}

func (s *server) free(now time.Time) bool {
	return s.usable(now) && s.inFlight < s.endpoint.Slots && (!s.cold(now) || !now.Before(s.coldNext))
}

func (s *server) usable(now time.Time) bool {
	return !s.endpoint.Leaving && !s.endpoint.Gone && !now.Before(s.pausedUntil)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.endpoint.ColdUntil) }

func (s *server) keeps(object string) bool {
	_, warm := s.warm[object]
	return warm && object != ""
}

// cost is the expected time in seconds until a request has been answered: the
// wait for a slot, and its run with a penalty for failures, load and objects
// that would be pushed out.
func (s *server) cost(now time.Time, svc *service, k *kind, object string) float64 {
	run := s.speed * k.expected(s.keeps(object))
	if !s.keeps(object) {
		run *= 1 + crowdWeight*float64(len(s.warm))/warmKept
	}
	run *= 1 + failureWeight*s.failures
	slots := math.Max(1, float64(s.endpoint.Slots))
	run *= 1 + loadWeight*float64(s.inFlight)/slots
	wait := 0.0
	if s.inFlight >= s.endpoint.Slots {
		wait = float64(s.wanted+1) * s.speed * svc.took / slots
	}
	if s.cold(now) && now.Before(s.coldNext) {
		wait += s.coldNext.Sub(now).Seconds()
	}
	return wait + run
}

// touch notes that the endpoint serves an object, and forgets the oldest.
func (s *server) touch(now time.Time, object string) {
	if object == "" {
		return
	}
	s.warm[object] = now
	if len(s.warm) <= warmKept {
		return
	}
	oldest := object
	for key, at := range s.warm {
		if at.Before(s.warm[oldest]) {
			oldest = key
		}
	}
	delete(s.warm, oldest)
}

// ended takes the outcome of a request that was expected to take a time.
func (s *server) ended(now time.Time, outcome Outcome, took, expected float64) {
	switch outcome {
	case Served:
		s.breaks = 0
		s.failures -= smoothing * s.failures
		if expected > 0 {
			s.speed += speedSmoothing * (math.Min(took/expected, speedMost) - s.speed)
		}
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

// kind is what requests of one kind have shown.
type kind struct {
	// cold and warm are moving averages of their times in seconds, with and
	// without an endpoint that keeps their object warm; zero before the first.
	cold, warm float64
}

// expected is the time of a request at an endpoint of ordinary speed.
func (k *kind) expected(warm bool) float64 {
	switch {
	case warm && k.warm > 0:
		return k.warm
	case warm:
		return warmFactor * k.cold
	default:
		return k.cold
	}
}

// observe takes the time of a served request.
func (k *kind) observe(warm bool, took float64) {
	if !warm {
		k.cold += smoothing * (took - k.cold)
		return
	}
	if k.warm == 0 {
		k.warm = took
	}
	k.warm += smoothing * (took - k.warm)
}
