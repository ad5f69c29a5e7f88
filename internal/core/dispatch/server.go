package dispatch

import (
	"math"
	"time"

	"sassafrasreach/internal/core/registry"
)

// server is an endpoint with what its requests have shown.
type server struct {
	endpoint registry.Endpoint
	region   string
	// way is the time to the endpoint's region and back.
	way      time.Duration
	inFlight int
	// rankedAt is what a new object cost at it as of the last tick.
	rankedAt float64
	// granted counts the slots that were given.
	granted int
	// wanted counts the waiting requests that would rather wait for it than run
	// elsewhere.
	wanted int
	// speed is the moving average of its answers' times over the expected ones.
	speed float64
	// failures is the moving share of failed requests.
	failures float64
	// misses counts how often in a row it couldn't be reached.
	misses int
	// pausedUntil is when it may be used again.
	pausedUntil time.Time
	memory      memory
	// coldNext is when the next request is due while it is cold.
	coldNext time.Time
	tenure
}

func newServer(e registry.Endpoint) *server {
	return &server{endpoint: e, speed: 1, memory: newMemory()}
}

func (s *server) free(now time.Time) bool {
	return s.usable(now) && s.inFlight < s.endpoint.Slots && (!s.cold(now) || !now.Before(s.coldNext))
}

func (s *server) usable(now time.Time) bool {
	return !s.endpoint.Leaving && !s.endpoint.Gone && !now.Before(s.pausedUntil) && s.held(now)
}

// held says whether this pool grants the endpoint's slots. One that is cold gets
// requests only from the pool of its own region, so that their rate is bounded.
func (s *server) held(now time.Time) bool {
	if s.own {
		return s.lentTo == ""
	}
	return now.Before(s.borrowedUntil) && !s.cold(now)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.endpoint.ColdUntil) }

// sound says whether its requests have shown nothing against it.
func (s *server) sound() bool { return s.failures < soundFailures }

// wait is the expected time in seconds until it has a free slot.
func (s *server) wait(now time.Time, svc *service) float64 {
	wait := 0.0
	if s.inFlight >= s.endpoint.Slots {
		wait = float64(s.wanted+1) * s.speed * svc.took / math.Max(1, float64(s.endpoint.Slots))
	}
	if s.cold(now) && now.Before(s.coldNext) {
		wait += s.coldNext.Sub(now).Seconds()
	}
	return wait
}

// kept is the number of objects that it is taken to keep warm.
func (s *server) kept(svc *service) int { return min(len(s.memory.used), svc.kept.limit) }

// cost is the expected time in seconds until a request has been answered: the
// wait for a slot, the way, and its run with a penalty for failures, load and
// objects that would be pushed out.
func (s *server) cost(now time.Time, svc *service, k *kind, warm bool) float64 {
	run := s.speed * k.expected(warm)
	if !warm {
		kept := float64(s.kept(svc))
		run *= 1 + crowdWeight*kept/math.Max(1, float64(svc.kept.limit)) + evenWeight*kept/(svc.meanKept+1)
	}
	run *= 1 + failureWeight*s.failures
	run *= 1 + loadWeight*float64(s.inFlight)/math.Max(1, float64(s.endpoint.Slots))
	return s.wait(now, svc) + s.way.Seconds() + run
}

// ended takes the outcome of a request that was expected to take a time.
func (s *server) ended(now time.Time, outcome Outcome, took, expected float64) {
	switch outcome {
	case Served:
		s.misses = 0
		s.failures -= smoothing * s.failures
		if expected > 0 {
			s.speed += speedSmoothing * (math.Min(took/expected, speedMost) - s.speed)
		}
	case Failed:
		s.failures += smoothing * (1 - s.failures)
	case Refused:
		// One that refuses while it has free slots isn't full: a pause would drive
		// its warm objects elsewhere.
		if s.inFlight+1 >= s.endpoint.Slots {
			s.pausedUntil = now.Add(fullPause)
		} else {
			s.failures += smoothing * (1 - s.failures)
		}
	case Broken:
		// A lost answer or a forgotten connection says little of the next one; if the
		// endpoint has ended, that one can't be opened.
		s.failures += smoothing * (1 - s.failures)
	case Unreachable:
		s.failures += smoothing * (1 - s.failures)
		pause := min(unreachablePause<<min(s.misses, 4), unreachablePauseMax)
		s.misses++
		s.pausedUntil = now.Add(pause)
	case Unsent:
	}
}
