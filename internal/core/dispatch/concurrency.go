package dispatch

import (
	"hash/fnv"
	"math"
	"sort"
	"time"
)

// LimitScope selects the endpoints for which a pool learns a limit on their concurrency.
type LimitScope string

const (
	// LimitNone selects no endpoint.
	LimitNone LimitScope = "none"
	// LimitHalf selects half of them by a hash of their IDs, to compare both halves in one
	// run.
	LimitHalf LimitScope = "half"
	// LimitAll selects all.
	LimitAll LimitScope = "all"
)

// Valid reports whether the scope is one of the three.
func (s LimitScope) Valid() bool { return s == LimitNone || s == LimitHalf || s == LimitAll }

// includes reports whether the pool learns a limit for an endpoint.
func (s LimitScope) includes(endpointID string) bool {
	if s != LimitHalf {
		return s == LimitAll
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(endpointID))
	return hash.Sum32()&1 == 0
}

const (
	// curveMemory is the time in which the weight of a run falls to 1/e.
	curveMemory = 2 * time.Second
	// minCurveRuns is the sum of weights below which no limit is lowered.
	minCurveRuns = 8.0
	// curveKnees is the number of concurrencies that are tried as the one above which an
	// endpoint slows down.
	curveKnees = 4
	// curveEvidence is the number of standard errors below which a growth of run times
	// counts as chance, so that a sound endpoint keeps its slots.
	curveEvidence = 2.5
	// curveDoubt is the number of standard errors by which the growth of run times is taken
	// to be less than estimated. In trials, 2 gained half as much, and 0.6 little more.
	curveDoubt = 1.0
	// throughputKept is the share of the best expected throughput that a limit keeps.
	throughputKept = 0.95
	// maxCurveSample bounds the logarithm of the ratio of a run time to the expected one.
	maxCurveSample = 1.5
	// limitRisePerSecond is the share of the slots by which a limit rises each second.
	limitRisePerSecond = 0.25
	// minLimit is the least limit: with one request at a time nothing can be learned.
	minLimit = 2
	// meanSmoothing is the weight of the newest run in a service's means.
	meanSmoothing = 0.02
	// loweredShare is the share of the slots up to which a limit counts as low.
	loweredShare = 0.75
	// lowLimitPeriod is the least time between two LimitChanges of an endpoint.
	lowLimitPeriod = 30 * time.Second
)

// concurrencyLimit learns how many requests an endpoint runs before it slows down: it fits
// the logarithm of run times, relative to the expected ones, to a line that begins to rise
// at one of several concurrencies, and takes the concurrency with the best throughput.
//
// A constant factor on the run times has no effect on the fit, so an endpoint that is slow
// whatever it runs keeps its slots. Nor have changes of all endpoints of a service, since
// their mean is deducted.
type concurrencyLimit struct {
	// enabled is false for an endpoint without a learned limit.
	enabled bool
	// limit is the limit as of changed; 0 if there is none yet.
	limit   float64
	changed time.Time
	// The sums below are over runs, with weights that fall with their age at last: of the
	// weights, of y and its square, and for each knee of f, its square and its product with
	// y. y is the logarithm of the ratio of the run time to the expected one, less the
	// service's mean, and f the number of requests in flight above the knee.
	last      time.Time
	w, y, yy  float64
	f, ff, fy [curveKnees]float64
	// low is the last LimitChange, at lowChangedAt.
	low          bool
	lowChangedAt time.Time
}

// knee returns a number of requests in flight above which the endpoint may slow down.
func knee(i, slots int) float64 { return float64(i*slots) / curveKnees }

// observe records a run that began with a number of requests in flight, its own included.
// y is as in concurrencyLimit.
func (c *concurrencyLimit) observe(now time.Time, inFlight int, y float64, slots int) {
	kept := math.Exp(-now.Sub(c.last).Seconds() / curveMemory.Seconds())
	c.last = now
	add := func(sum *float64, value float64) { *sum = kept**sum + value }
	add(&c.w, 1)
	add(&c.y, y)
	add(&c.yy, y*y)
	for i := range curveKnees {
		above := max(0, float64(inFlight)-knee(i, slots))
		add(&c.f[i], above)
		add(&c.ff[i], above*above)
		add(&c.fy[i], above*y)
	}
	target := float64(slots)
	if c.w >= minCurveRuns {
		target = float64(c.best(slots))
	}
	c.limit, c.changed = min(c.at(now, slots), target), now
}

// slope returns the growth of y with each request in flight above a knee, less curveDoubt
// standard errors, and the mean squared residual.
func (c *concurrencyLimit) slope(i int) (slope, residual float64) {
	varF := c.ff[i]/c.w - c.f[i]*c.f[i]/c.w/c.w
	varY := c.yy/c.w - c.y*c.y/c.w/c.w
	covFY := c.fy[i]/c.w - c.f[i]*c.y/c.w/c.w
	if varF <= 0 || covFY <= 0 {
		return 0, varY
	}
	slope = covFY / varF
	residual = max(0, varY-slope*covFY)
	doubt := math.Sqrt(residual / (c.w * varF))
	if slope < curveEvidence*doubt {
		return 0, varY
	}
	return slope - curveDoubt*doubt, residual
}

// best returns the least concurrency that keeps throughputKept of the best throughput.
func (c *concurrencyLimit) best(slots int) int {
	slope, from, least := 0.0, 0.0, math.Inf(1)
	for i := range curveKnees {
		if b, residual := c.slope(i); residual < least {
			slope, from, least = b, knee(i, slots), residual
		}
	}
	if slope == 0 || slots <= minLimit {
		return slots
	}
	throughput := func(n float64) float64 { return n * math.Exp(-slope*max(0, n-from)) }
	peak := min(max(from, 1/slope), float64(slots)) // the throughput rises up to it
	enough := throughputKept * throughput(peak)
	top := int(math.Ceil(peak))
	n := sort.Search(top, func(n int) bool { return throughput(min(float64(n), peak)) >= enough })
	return max(n, minLimit)
}

// at returns the limit at a time, which rises since its last change.
func (c *concurrencyLimit) at(now time.Time, slots int) float64 {
	if c.limit == 0 {
		return float64(slots)
	}
	risen := limitRisePerSecond * float64(slots) * max(0, now.Sub(c.changed).Seconds())
	return min(c.limit+risen, float64(slots))
}

// slots returns how many slots of the endpoint the pool uses.
func (c *concurrencyLimit) slots(now time.Time, slots int) int {
	if !c.enabled || c.limit == 0 {
		return slots
	}
	return min(slots, max(minLimit, int(c.at(now, slots))))
}

// curveMeans are moving averages over the runs of a service.
type curveMeans struct {
	// y is that of the logarithm of the ratio of run times to the expected ones.
	y float64
	// plain and learning are those of the ratio itself, at endpoints without and with a
	// learned limit; 0 before the first run.
	plain, learning float64
}

func (m *curveMeans) add(ratio, y float64, learning bool) {
	m.y += meanSmoothing * (y - m.y)
	mean := &m.plain
	if learning {
		mean = &m.learning
	}
	if *mean == 0 {
		*mean = ratio
	}
	*mean += meanSmoothing * (ratio - *mean)
}

// observeConcurrency records a served run that began with a number of requests in flight
// and took a time in seconds, converted to the endpoint's mean pace. expected is the time
// that was expected at an endpoint of mean speed.
func (p *Pool) observeConcurrency(now time.Time, svc *service, s *server, inFlight int, run, expected float64) {
	if run <= 0 || expected <= 0 {
		return
	}
	c := &s.concurrency
	y := min(max(math.Log(run/expected), -maxCurveSample), maxCurveSample)
	if c.enabled {
		c.observe(now, inFlight, y-svc.curve.y, s.endpoint.Slots)
	}
	svc.curve.add(run/expected, y, c.enabled)
	low := s.low(now)
	if low == c.low || now.Sub(c.lowChangedAt) < lowLimitPeriod {
		return
	}
	c.low, c.lowChangedAt = low, now
	p.limitChanges = append(p.limitChanges, LimitChange{s.endpoint.ID, s.learnedSlots(now), s.endpoint.Slots})
}

// low reports whether the endpoint's learned limit is low.
func (s *server) low(now time.Time) bool {
	return float64(s.learnedSlots(now)) <= loweredShare*float64(s.endpoint.Slots)
}

// LimitChange says that an endpoint's learned limit became low or is no longer so.
type LimitChange struct {
	Endpoint     string
	Limit, Slots int
}

// TakeLimitChanges returns the changes since the last call.
func (p *Pool) TakeLimitChanges() []LimitChange {
	out := p.limitChanges
	p.limitChanges = nil
	return out
}

// Limits summarizes the learned limits of a service's endpoints.
type Limits struct {
	// Learning counts the endpoints whose limit is learned, Lowered those of them with a
	// limit below their slots, and Withheld the slots that aren't used therefore.
	Learning, Lowered, Withheld int
	// PlainPercent and LearningPercent are the mean run times at endpoints without and with
	// a learned limit, in percent of the expected ones; 0 if there was no run.
	PlainPercent, LearningPercent int
}

func (l *Limits) add(now time.Time, s *server) {
	if !s.concurrency.enabled {
		return
	}
	l.Learning++
	if withheld := s.endpoint.Slots - s.learnedSlots(now); withheld > 0 {
		l.Lowered++
		l.Withheld += withheld
	}
}

func (l *Limits) setMeans(m curveMeans) {
	const percent = 100
	l.PlainPercent, l.LearningPercent = int(percent*m.plain), int(percent*m.learning)
}
