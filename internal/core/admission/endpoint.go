package admission

import (
	"math"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// latencyWeight is the weight of a new sample in an endpoint's latency.
	latencyWeight = 0.2
	// successWeight is the weight of a new result in an endpoint's success rate.
	successWeight = 0.1
	// minSamples is the number of results after which what requests show
	// replaces what the endpoint reports.
	minSamples = 8
	// unknownFirst multiplies the cost of an idle endpoint without samples.
	unknownFirst = 1e-6
	// slowFactor is how many times its peers' latency makes an endpoint slow.
	slowFactor = 1.5
	// verySlowFactor is the multiple from which an endpoint loses slots.
	verySlowFactor = 3
	// shrink multiplies the learned slots of a very slow endpoint, per sample.
	shrink = 0.95
	// shedShrink multiplies the learned slots after a shed.
	shedShrink = 0.7
	// growth is what the learned slots regain per success.
	growth = 0.1
	// retrySlowAfter is the time without a sample after which a slow endpoint
	// is tried again as if it were not.
	retrySlowAfter = 5 * time.Second
	// minSuccess keeps the cost of an endpoint that always fails finite.
	minSuccess = 0.05
	// failuresToEject is the number of failures in a row that ejects.
	failuresToEject = 3
	// ejectFirst and ejectMost bound the time of an ejection, which doubles.
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
	// shedPause is the pause after the first of several sheds; it doubles.
	shedPause     = 20 * time.Millisecond
	shedPauseMost = time.Second
)

// endpoint is one incarnation of an endpoint.
type endpoint struct {
	id          string
	incarnation uint64
	sequence    uint64
	address     string
	connections int
	announced   int // slots, bounded by Config.MaxSlots
	ready       bool
	leaving     bool // for the rest of the incarnation
	gone        bool // not in Group.endpoints
	goneAt      time.Time
	heard       time.Time
	load        float64 // as reported

	learned  float64 // slots that requests have shown to be bearable
	warm     float64 // part of the slots that slow start permits, 0 to 1
	inFlight int
	lastUsed uint64 // Group.uses at the last grant

	latency    float64 // moving average in nanoseconds; 0 without a sample
	success    float64 // moving average, 0 to 1
	samples    int
	lastSample time.Time

	failures   int // in a row
	sheds      int // in a row
	pausedTill time.Time
	ejectTill  time.Time
	ejections  int
}

func newEndpoint(a Announcement, cfg Config) *endpoint {
	e := &endpoint{
		id:          a.ID,
		incarnation: a.Incarnation,
		leaving:     a.State == Leaving,
		success:     1,
		warm:        cfg.SlowStartFloor,
	}
	e.update(a, cfg)
	e.learned = float64(e.announced)
	return e
}

// update takes in what a report says.
func (e *endpoint) update(a Announcement, cfg Config) {
	e.sequence = a.Sequence
	e.address = a.Address
	e.connections = a.Connections
	e.ready = a.State == Ready
	e.load = 0
	if a.Load > 0 { // false for NaN
		e.load = min(a.Load, 1)
	}
	slots := max(a.Slots, 0)
	if cfg.MaxSlots > 0 {
		slots = min(slots, cfg.MaxSlots)
	}
	if slots > e.announced {
		e.learned += float64(slots - e.announced)
	}
	e.announced = slots
	e.learned = min(e.learned, float64(slots))
}

// chill makes the endpoint start slow again.
func (e *endpoint) chill(cfg Config) {
	e.warm = cfg.SlowStartFloor
	e.failures = 0
	e.sheds = 0
	e.ejectTill = time.Time{}
	e.pausedTill = time.Time{}
}

// usable says whether the endpoint may get work.
func (e *endpoint) usable() bool {
	return e.ready && !e.leaving && !e.gone && e.announced > 0
}

// slots is the number of requests that the endpoint may run now; at least one.
func (e *endpoint) slots() int {
	bearable := math.Min(e.learned, float64(e.announced))
	return max(1, int(math.Ceil(bearable*e.warm-0.001)))
}

func (e *endpoint) free() int { return e.slots() - e.inFlight }

// paused says whether the endpoint is out of use for a while because of sheds.
func (e *endpoint) paused(now time.Time) bool { return now.Before(e.pausedTill) }

// ejected says whether the endpoint is out of use because of failures.
func (e *endpoint) ejected(now time.Time) bool { return now.Before(e.ejectTill) }

// slowness is the endpoint's latency as a multiple of its peers', or 1 while
// it is not clearly slower, and again after a time without samples.
func (e *endpoint) slowness(now time.Time, peers float64) float64 {
	if peers <= 0 || e.samples < minSamples {
		return 1
	}
	if now.Sub(e.lastSample) > retrySlowAfter {
		return 1
	}
	ratio := e.latency / peers
	if ratio < slowFactor {
		return 1
	}
	return ratio
}

// cost orders endpoints; the lowest gets the next request. An idle endpoint of
// which little is known comes first, one request at a time: without samples of
// its peers a slow endpoint can't be told from a fast one.
func (e *endpoint) cost(now time.Time, peers float64) float64 {
	used := float64(e.inFlight+1) / float64(e.slots())
	if e.samples < minSamples {
		used *= 1 + e.load
		if e.inFlight == 0 && e.failures == 0 && e.sheds == 0 {
			used *= unknownFirst
		}
	}
	reliability := max(e.success, minSuccess)
	return used * e.slowness(now, peers) / (reliability * reliability)
}

// port returns the endpoint as the dispatcher needs it.
func (e *endpoint) port() port.Endpoint {
	return port.Endpoint{
		ID:          e.id,
		Incarnation: e.incarnation,
		Address:     e.address,
		Connections: e.connections,
	}
}
