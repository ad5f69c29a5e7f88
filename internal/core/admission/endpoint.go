package admission

import (
	"math"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// latencyWeight is the weight of a new sample in an endpoint's moving
	// average of latency.
	latencyWeight = 0.2
	// successWeight is the weight of a new result in an endpoint's success
	// rate.
	successWeight = 0.1
	// minSamples is the number of latency samples from which on measurements
	// replace the load that the endpoint reports.
	minSamples = 8
	// unsampledCostFactor multiplies the cost of an idle endpoint with too
	// few samples, so that it is chosen first.
	unsampledCostFactor = 1e-6
	// slowFactor is the multiple of its peers' latency from which an endpoint
	// counts as slow.
	slowFactor = 1.5
	// verySlowFactor is the multiple above which an endpoint loses slots.
	verySlowFactor = 3
	// slowShrink multiplies the learned slots of a very slow endpoint, per
	// success.
	slowShrink = 0.95
	// shedShrink multiplies the learned slots after a shed.
	shedShrink = 0.7
	// slotGrowth is the number of learned slots regained per success.
	slotGrowth = 0.1
	// slownessTTL is the time without a sample after which a slow endpoint is
	// tried again as if it were not slow.
	slownessTTL = 5 * time.Second
	// minSuccess keeps the cost of an endpoint that always fails finite.
	minSuccess = 0.05
	// maxConsecutiveFailures is the number of consecutive failures from which
	// on an endpoint is ejected.
	maxConsecutiveFailures = 3
	// minEjection is the time of the first ejection. It doubles up to
	// maxEjection until a request succeeds.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// minShedPause is the pause after the first of consecutive sheds. It
	// doubles up to maxShedPause until a request succeeds.
	minShedPause = 20 * time.Millisecond
	maxShedPause = time.Second
)

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	id             string
	incarnation    uint64
	sequence       uint64
	address        string
	connections    int
	announcedSlots int // bounded by Config.MaxSlots
	ready          bool
	leaving        bool // for the rest of the incarnation
	gone           bool // not in Group.endpoints
	goneAt         time.Time
	lastAnnounced  time.Time
	load           float64 // as reported

	learnedSlots float64 // slots that the results of requests justify
	warm         float64 // part of the slots that slow start allows, 0 to 1
	inFlight     int
	lastGrant    uint64 // Group.grantCount at the last grant

	latency    float64 // moving average in nanoseconds; 0 without samples
	success    float64 // moving average of the success rate, 0 to 1
	samples    int
	lastSample time.Time

	failures     int // consecutive
	sheds        int // consecutive
	pausedUntil  time.Time
	ejectedUntil time.Time
	ejections    int
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
	e.learnedSlots = float64(e.announcedSlots)
	return e
}

// update applies an announcement.
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
	if slots > e.announcedSlots {
		e.learnedSlots += float64(slots - e.announcedSlots)
	}
	e.announcedSlots = slots
	e.learnedSlots = min(e.learnedSlots, float64(slots))
}

// restartSlowStart makes the endpoint cold again and ends its pause and
// ejection.
func (e *endpoint) restartSlowStart(cfg Config) {
	e.warm = cfg.SlowStartFloor
	e.failures = 0
	e.sheds = 0
	e.ejectedUntil = time.Time{}
	e.pausedUntil = time.Time{}
}

// usable reports whether the endpoint may get requests.
func (e *endpoint) usable() bool {
	return e.ready && !e.leaving && !e.gone && e.announcedSlots > 0
}

// slots returns the number of requests that the endpoint may run now; at
// least one.
func (e *endpoint) slots() int {
	learned := math.Min(e.learnedSlots, float64(e.announcedSlots))
	return max(1, int(math.Ceil(learned*e.warm-0.001)))
}

func (e *endpoint) free() int { return e.slots() - e.inFlight }

// paused reports whether the endpoint gets no requests for a while because of
// sheds.
func (e *endpoint) paused(now time.Time) bool { return now.Before(e.pausedUntil) }

// ejected reports whether the endpoint gets no requests for a while because
// of failures.
func (e *endpoint) ejected(now time.Time) bool { return now.Before(e.ejectedUntil) }

// slowness returns the endpoint's latency as a multiple of its peers'. It
// returns 1 while the endpoint is not clearly slower, and after slownessTTL
// without samples.
func (e *endpoint) slowness(now time.Time, peerLatency float64) float64 {
	if peerLatency <= 0 || e.samples < minSamples {
		return 1
	}
	if now.Sub(e.lastSample) > slownessTTL {
		return 1
	}
	ratio := e.latency / peerLatency
	if ratio < slowFactor {
		return 1
	}
	return ratio
}

// cost ranks endpoints; the one with the lowest cost gets the next request.
// An idle endpoint with too few samples, and without failures or sheds since
// its last success, comes first, with one request at a time: as long as its
// peers have no samples, a slow endpoint can't be distinguished from a fast
// one.
func (e *endpoint) cost(now time.Time, peerLatency float64) float64 {
	utilization := float64(e.inFlight+1) / float64(e.slots())
	if e.samples < minSamples {
		utilization *= 1 + e.load
		if e.inFlight == 0 && e.failures == 0 && e.sheds == 0 {
			utilization *= unsampledCostFactor
		}
	}
	reliability := max(e.success, minSuccess)
	return utilization * e.slowness(now, peerLatency) / (reliability * reliability)
}

// port returns the endpoint's identity, address and connections.
func (e *endpoint) port() port.Endpoint {
	return port.Endpoint{
		ID:          e.id,
		Incarnation: e.incarnation,
		Address:     e.address,
		Connections: e.connections,
	}
}
