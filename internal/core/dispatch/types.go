package dispatch

import (
	"time"

	"sassafrasreach/internal/core/registry"
)

// Ask is a request for a slot.
type Ask struct {
	// ID is unique among the asks of all gateways.
	ID string
	// Gateway names the incarnation of the gateway that asks.
	Gateway string
	Service string
	// Priority is the rank, 0 the highest.
	Priority int
	// Kind names requests that take about the same time.
	Kind string
	// Affinity names the object that the request concerns; empty if none. Objects
	// of different kinds are different.
	Affinity string
	// Hint names the endpoint that last served the object for the gateway, for a
	// dispatcher that doesn't know yet what is warm; empty if none.
	Hint string
	// Zone is the failure domain of the gateway.
	Zone string
	// Target is the time within which the answer earns full credit.
	Target time.Duration
	// Deadline is when the answer is of no use any more.
	Deadline time.Time
	// Again says that the request was sent to an endpoint before; Exclude lists those
	// that aren't to get it again.
	Again   bool
	Exclude []string
	// Homes are the regions in which the request may run; empty means all.
	Homes []string
}

// Reason says why a slot was refused.
type Reason string

const (
	// ReasonNoEndpoint means that no endpoint of the service is usable.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonOverload means that no slot came free in the time that the request
	// may wait.
	ReasonOverload Reason = "overload"
	// ReasonRetryBudget means that too many requests were sent a second time.
	ReasonRetryBudget Reason = "retry-budget"
)

// Decision ends an ask.
type Decision struct {
	Ask Ask
	// Grant is set when a slot is given, of an endpoint in a region.
	Grant    string
	Endpoint registry.Endpoint
	Region   string
	// Reason and RetryAfter are set when none is.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome says how the use of a slot ended.
type Outcome string

const (
	// Served means that the endpoint answered with success.
	Served Outcome = "served"
	// Failed means that the endpoint's answer was a failure or unusable.
	Failed Outcome = "failed"
	// Refused means that the endpoint said that it didn't run the request.
	Refused Outcome = "refused"
	// Broken means that the endpoint broke off.
	Broken Outcome = "broken"
	// Unreachable means that no connection to the endpoint could be opened.
	Unreachable Outcome = "unreachable"
	// Unsent means that nothing was sent, or the client left.
	Unsent Outcome = "unsent"
)

// Setup are the figures of a pool.
type Setup struct {
	// ColdRate returns the rate of requests that a cold endpoint of a service
	// bears.
	ColdRate func(service string) float64
	// Retries bounds second sends; the zero value allows none.
	Retries RetryBudget
	// Draw returns a number in [0, 1) that spreads what would else coincide.
	Draw func() float64
	// Region is the pool's own; RegionOf gives the region of a failure domain, and
	// Way the time that a message and its answer take to another region.
	Region   string
	RegionOf func(zone string) string
	Way      func(region string) time.Duration
	// MaxShift is the share of the requests that may change the region in which
	// they run from one window to the next; 0 sets no bound.
	MaxShift float64
}

const (
	// waitShare is the part of the target that any request may wait for a slot,
	// also one that will be late.
	waitShare = 0.2
	// graceAfterDeadline is how long after its deadline a grant that wasn't given
	// back ends by itself: the release of a timed-out request is on its way.
	graceAfterDeadline = time.Second
	// unreachablePause is how long an endpoint that couldn't be reached is passed
	// over; each further time doubles it up to unreachablePauseMax, the time in which
	// an endpoint that lives has been heard of again.
	unreachablePause    = 300 * time.Millisecond
	unreachablePauseMax = 2400 * time.Millisecond
	// lostAfterMisses is the number of times in a row that an endpoint can't be
	// reached after which it counts as lost.
	lostAfterMisses = 3
	// fullPause is how long an endpoint that refused a request is passed over.
	fullPause = 40 * time.Millisecond
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
	// failureWeight is how many times its usual time a failure counts for when
	// endpoints are compared.
	failureWeight = 6.0
	// loadWeight is how much a full endpoint is put behind an empty one.
	loadWeight = 0.25
	// warmFactor is the expected part of the time that a warm object takes,
	// before it has been seen.
	warmFactor = 0.6
	// crowdWeight is how much an endpoint that keeps many objects warm is put
	// behind one that keeps none, when an object is new to both.
	crowdWeight = 0.5
	// evenWeight is how much an endpoint that keeps as many objects as the others is
	// put behind one that keeps none: each brings its requests, and few slots fill up
	// while others stay idle.
	evenWeight = 0.25
	// mostCopies bounds the endpoints that keep the same object warm on purpose:
	// each copy pushes another object out, and its first run takes several times
	// as long.
	mostCopies = 2
	// spareShare is the share of free slots above which a cold run displaces
	// nothing.
	spareShare = 0.25
	// placeSlack is how much more than the least an endpoint may cost and still be
	// chosen for a new object by its hash.
	placeSlack = 1.15
	// mostCompared bounds the endpoints that are compared for one ask, and mostLooks
	// the waiting asks of a service that are looked at anew in a tick: with more, a
	// large region's dispatcher takes a whole core under overload.
	mostCompared = 48
	mostLooks    = 64
	// untriedAfter is how long a service has been served before an endpoint that
	// has served nothing yet goes first.
	untriedAfter = 2 * time.Second
	// soundFailures is the share of failures below which an endpoint that keeps an
	// object warm and has a free slot isn't compared with others.
	soundFailures = 0.1
	// unsettledFor is how long after a loss of endpoints, controllers or connections
	// objects may change regions freely: the time in which the load of what was lost
	// finds its place.
	unsettledFor = 4 * time.Second
	// breaksApart is the time within which two broken connections are taken for a
	// fault; a single one may be an endpoint's own idle timeout.
	breaksApart = time.Second
	// speedSmoothing is the weight of the newest answer in an endpoint's speed, and
	// speedMost bounds what one answer can say of it.
	speedSmoothing = 0.1
	speedMost      = 8.0
	// coldHoldBack is how long a new pool sends nothing to cold endpoints: as long
	// as the second over which their rate counts.
	coldHoldBack = 1200 * time.Millisecond
	// retryThird bounds the time until a refused client returns: clients honour
	// up to a third of what they have left.
	retryThird = 3
	// retryFloor is the shortest time after which a refused client returns.
	retryFloor = 50 * time.Millisecond
)
