package dispatch

import (
	"math"
	"time"

	"sassafrasreach/internal/core/registry"
)

// server is an endpoint with the pool's statistics of it.
type server struct {
	endpoint registry.Endpoint
	region   string
	// roundTrip is the round-trip time to the endpoint's region; 0 in the own
	// region.
	roundTrip time.Duration
	inFlight  int
	// inTransit is the number of requests that the pool has under way to or from the
	// endpoint besides those that use its slots.
	inTransit int
	// rankCost is the cost of a new object at the endpoint as of the last
	// tick.
	rankCost float64
	// granted counts all slots granted at the endpoint.
	granted int
	// queuedFor counts the queued slot requests that prefer this endpoint.
	queuedFor int
	// slowness is the moving average of the ratio of actual to expected run
	// times.
	slowness float64
	// failures is the moving average of the share of failed requests.
	failures float64
	// connectFailures counts the failures to connect since the last served
	// request.
	connectFailures int
	// pausedUntil is the time from which the endpoint may be used again.
	pausedUntil time.Time
	memory      memory
	// nextColdGrant is the earliest time of the next grant while the endpoint
	// is cold.
	nextColdGrant time.Time
	// namedLimit is the rate that the endpoint named last, noLimit if none.
	namedLimit float64
	// limitObserved is the time of the last answer.
	limitObserved time.Time
	limiter       limiter
	// reserved is set while the endpoint is kept for restricted requests.
	reserved    bool
	bodies      bodyMeter
	reported    reportedLoad
	concurrency concurrencyLimit
	connections connections
	loanState
}

func newServer(e registry.Endpoint) *server {
	return &server{endpoint: e, slowness: 1, memory: newMemory(), namedLimit: noLimit, reported: newReportedLoad(), connections: make(connections)}
}

func (s *server) free(now time.Time) bool {
	return s.usable(now) && s.inFlight < s.slots(now) && (!s.cold(now) || !now.Before(s.nextColdGrant)) &&
		s.limiter.wait(now, 1) == 0
}

// slots returns how many requests the pool has under way to the endpoint at a time.
func (s *server) slots(now time.Time) int { return s.learnedSlots(now) + s.inTransit }

// learnedSlots returns how many of the endpoint's slots the pool uses at a time.
func (s *server) learnedSlots(now time.Time) int { return s.concurrency.slots(now, s.endpoint.Slots) }

// capacity returns the number of slots that the endpoint can use within the limit that it
// named. Loans count these, since a learned limit changes too often.
func (s *server) capacity(svc *service) int { return s.limiter.slots(s.endpoint.Slots, svc.slotTime) }

func (s *server) usable(now time.Time) bool {
	return !s.endpoint.Leaving && !s.endpoint.Gone && !now.Before(s.pausedUntil) && s.grantable(now)
}

// grantable reports whether this pool grants the endpoint's slots. A cold
// endpoint is used only by the pool of its own region, so that one pool can
// limit its rate.
func (s *server) grantable(now time.Time) bool {
	if s.own {
		return s.lentTo == ""
	}
	return now.Before(s.borrowedUntil) && s.drainedSince.IsZero() && !s.cold(now)
}

func (s *server) cold(now time.Time) bool { return now.Before(s.endpoint.ColdUntil) }

// healthy reports whether the endpoint's share of failures is low.
func (s *server) healthy() bool { return s.failures < healthyFailureShare }

// wait estimates the time in seconds until the endpoint has a free slot.
func (s *server) wait(now time.Time, svc *service) float64 {
	wait := 0.0
	if ahead := s.ahead(now); ahead > 0 {
		slotTime := s.slowness * s.reported.slowdown(now) * svc.slotTime
		wait = (float64(s.queuedFor) + ahead) * slotTime / math.Max(1, float64(s.slots(now)))
	}
	if s.cold(now) && now.Before(s.nextColdGrant) {
		wait += s.nextColdGrant.Sub(now).Seconds()
	}
	return math.Max(wait, s.limiter.wait(now, s.queuedFor+1))
}

// kept estimates the number of objects that the endpoint keeps warm.
func (s *server) kept(svc *service) int { return min(len(s.memory.lastUse), svc.kept.limit) }

// cost estimates the time in seconds until the request is answered: the wait
// for a slot, the round trip, and the run at the reported pace, with penalties for
// failures, load and objects that would be evicted.
func (s *server) cost(now time.Time, svc *service, k *kind, warm bool) float64 {
	run := s.slowness * s.paceFactor(now, svc, warm) * k.expected(warm)
	if !warm {
		kept := float64(s.kept(svc))
		run *= 1 + occupancyWeight*kept/math.Max(1, float64(svc.kept.limit)) + balanceWeight*kept/(svc.meanKept+1)
	}
	run *= 1 + failureWeight*s.failures
	run *= 1 + loadWeight*float64(s.inFlight)/math.Max(1, float64(s.slots(now)))
	return s.wait(now, svc) + s.roundTrip.Seconds() + run
}

// inTransit returns how many grants and releases are on their way, and how many requests and
// responses of other regions, while the endpoint uses all its slots. Without them its slots
// would stand empty for that time after each run: the round trip between regions is a third
// to a half of a run with the object warm, and the messages of gateways whose links are busy
// take as long.
func (svc *service) inTransit(s *server) int {
	if svc.runTime <= 0 || s.limiter.limited {
		return 0
	}
	n := float64(s.endpoint.Slots) * (s.roundTrip.Seconds() + svc.messageTime) / svc.runTime
	return int(math.Min(math.Round(n), float64(s.endpoint.Slots)))
}

// observeOutcome updates the statistics by the outcome of a request. took and
// expected are its actual and expected run times in seconds.
func (s *server) observeOutcome(now time.Time, outcome Outcome, took, expected float64) {
	switch outcome {
	case Served:
		s.connectFailures = 0
		s.failures -= smoothing * s.failures
		if expected > 0 {
			s.slowness += slownessSmoothing * (math.Min(took/expected, maxSlownessSample) - s.slowness)
		}
	case Failed:
		s.failures += smoothing * (1 - s.failures)
	case Refused:
		// An endpoint that refuses while it has free slots isn't full. A
		// pause would move its warm objects elsewhere, so the refusal only
		// counts as a failure.
		if s.inFlight+1 >= s.slots(now) {
			s.pausedUntil = now.Add(fullPause)
		} else {
			s.failures += smoothing * (1 - s.failures)
		}
	case Broken:
		// After a lost answer or a dropped idle connection the next request
		// may well succeed, so there is no pause. If the endpoint's process has
		// ended, the next connection can't be opened and the outcome is
		// Unreachable.
		s.failures += smoothing * (1 - s.failures)
	case Unreachable:
		s.failures += smoothing * (1 - s.failures)
		pause := min(unreachablePause<<min(s.connectFailures, 4), unreachablePauseMax)
		s.connectFailures++
		s.pausedUntil = now.Add(pause)
	case Unsent:
	}
}
