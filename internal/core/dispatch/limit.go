package dispatch

import (
	"math"
	"time"

	"sassafrasreach/internal/core/registry"
)

// Limit is the limit that an incarnation of an endpoint has named last.
type Limit struct {
	Endpoint      string
	StartedMillis int64
	// PerSecond is the rate in requests per second; negative means that the
	// endpoint no longer names one.
	PerSecond float64
}

const (
	// noLimit is the value of Limit.PerSecond of an endpoint without a limit.
	noLimit = -1
	// leastLimit is the rate, in requests per second, of an endpoint that takes
	// less: without any request its limit would never end.
	leastLimit = 0.2
	// limitObservedFor is how long an answer counts for more than what other pools
	// observed, which may be older.
	limitObservedFor = 5 * time.Second
	// limitBurstTime is the time whose requests an endpoint with a limit may get
	// at once, besides one.
	limitBurstTime = 500 * time.Millisecond
)

// limiter is a token bucket for the requests to an endpoint that named a limit.
// Its zero value limits nothing.
type limiter struct {
	limited   bool
	perSecond float64
	tokens    float64
	last      time.Time
}

// set changes the limit; a negative rate removes it.
func (l *limiter) set(now time.Time, perSecond float64) {
	if perSecond < 0 {
		*l = limiter{}
		return
	}
	if !l.limited {
		*l = limiter{limited: true, tokens: 1, last: now}
	}
	l.refill(now)
	l.perSecond = max(perSecond, leastLimit)
	l.tokens = min(l.tokens, l.burst())
}

func (l *limiter) burst() float64 { return 1 + l.perSecond*limitBurstTime.Seconds() }

func (l *limiter) refill(now time.Time) {
	l.tokens = min(l.tokens+l.perSecond*now.Sub(l.last).Seconds(), l.burst())
	l.last = now
}

// wait returns the time in seconds until the endpoint may get n more requests.
func (l *limiter) wait(now time.Time, n int) float64 {
	if !l.limited {
		return 0
	}
	l.refill(now)
	return math.Max(0, (float64(n)-l.tokens)/l.perSecond)
}

// take counts a request.
func (l *limiter) take(now time.Time) {
	if l.limited {
		l.refill(now)
		l.tokens--
	}
}

// slots returns how many slots the endpoint can use if each request takes the
// given time in seconds.
func (l *limiter) slots(slots int, slotTime float64) int {
	if !l.limited || slotTime <= 0 {
		return slots
	}
	return min(slots, int(math.Ceil(l.perSecond*slotTime)))
}

// Observe records what the endpoint of a grant answered, and returns the limit that
// it named. It is called before Release. The second result is false if the limit is
// the same as before.
func (p *Pool) Observe(now time.Time, id string, signals registry.Signals) (Limit, bool) {
	g, ok := p.grants[id]
	if !ok {
		return Limit{}, false
	}
	perSecond := float64(noLimit)
	if signals.Limited {
		perSecond = signals.Limit
	}
	s := g.server
	changed := s.namedLimit != perSecond
	s.namedLimit, s.limitObserved = perSecond, now
	p.applyLimit(now, s)
	return Limit{Endpoint: g.started.ID, StartedMillis: g.started.StartedMillis, PerSecond: perSecond}, changed
}

// SetLimit applies a limit that an endpoint named to another pool, unless it
// answered to this one lately.
func (p *Pool) SetLimit(now time.Time, l Limit) {
	s := p.servers[l.Endpoint]
	if s == nil || s.endpoint.StartedMillis != l.StartedMillis || now.Sub(s.limitObserved) < limitObservedFor {
		return
	}
	s.namedLimit = l.PerSecond
	p.applyLimit(now, s)
}

// applyLimit sets the rate by the limit that the endpoint named. While another pool
// may grant the same slots, each uses half of it.
func (p *Pool) applyLimit(now time.Time, s *server) {
	perSecond := s.namedLimit
	if perSecond > 0 && p.exclusiveSince.IsZero() {
		perSecond /= 2
	}
	s.limiter.set(now, perSecond)
}
