package dispatch

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/registry"
)

// SlotRequest is a gateway's request for a slot.
type SlotRequest struct {
	// ID is unique among the slot requests of all gateways.
	ID string
	// Gateway names the incarnation of the gateway that sent the slot request.
	Gateway string
	Service string
	// Fingerprint identifies the content of the request; zero if unknown.
	Fingerprint fingerprint.Fingerprint
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Kind groups requests that take about the same time.
	Kind string
	// Affinity names the object that the request concerns; empty if none. The
	// same name under another Kind is another object.
	Affinity string
	// Hint names the endpoint that last served the object for the gateway;
	// empty if none. A new dispatcher uses it while it has no record of the
	// object.
	Hint string
	// Zone is the failure domain of the gateway.
	Zone string
	// Target is the time within which the answer earns full credit.
	Target time.Duration
	// Deadline is the time after which the answer is useless.
	Deadline time.Time
	// Retry marks a further attempt of a request; Exclude lists the endpoints
	// that must not get it.
	Retry   bool
	Exclude []string
	// Regions are the regions in which the request may run; empty means all.
	Regions []string
	// Account names the client account; empty if there is none. Weight is its share of
	// slots that are short, relative to other accounts.
	Account string
	Weight  float64
	// BodyBytes is the size of the request's body.
	BodyBytes int64
}

// Reason is the cause of a refusal.
type Reason string

const (
	// ReasonNoEndpoint means that no endpoint of the service is usable.
	ReasonNoEndpoint Reason = "no-endpoint"
	// ReasonOverload means that the request can't get a slot within the time
	// that it may wait.
	ReasonOverload Reason = "overload"
	// ReasonRetryBudget means that the retry budget is used up.
	ReasonRetryBudget Reason = "retry-budget"
	// ReasonQuota means that the client account is beyond its quota.
	ReasonQuota Reason = "quota"
	// ReasonQuarantined means that the request crashed endpoints, or is held
	// back because it may have.
	ReasonQuarantined Reason = "quarantined"
)

// Decision is the result of a slot request: a grant or a refusal.
type Decision struct {
	Request SlotRequest
	// Grant identifies the granted slot; it is empty in a refusal. Endpoint
	// is the slot's endpoint and Region the endpoint's region.
	Grant    string
	Endpoint registry.Endpoint
	Region   string
	// Reason and RetryAfter are set in a refusal. RetryAfter is the time
	// after which the client may try again.
	Reason     Reason
	RetryAfter time.Duration
}

// Outcome is how a granted slot was used.
type Outcome string

const (
	// Served means that the endpoint answered successfully.
	Served Outcome = "served"
	// Failed means that the endpoint answered with an error, unusably or not
	// in time.
	Failed Outcome = "failed"
	// Refused means that the endpoint reported that it didn't run the
	// request.
	Refused Outcome = "refused"
	// Broken means that the connection broke during the request.
	Broken Outcome = "broken"
	// Unreachable means that no connection to the endpoint could be opened.
	Unreachable Outcome = "unreachable"
	// Unsent means that nothing was sent, or that the client canceled the
	// request.
	Unsent Outcome = "unsent"
)

// Config holds the parameters of a pool.
type Config struct {
	// ColdRate returns the requests per second that a cold endpoint of a
	// service may get.
	ColdRate func(service string) float64
	// Retries limits retries; the zero value allows none.
	Retries RetryBudget
	// Runs records the runs of requests; nil records none.
	Runs RunRecorder
	// Random returns a random number in [0, 1). It spreads the return of
	// refused clients.
	Random func() float64
	// Region is the pool's own region. RegionOf returns the region of a
	// failure domain, and RoundTrip the round-trip time to another region.
	Region    string
	RegionOf  func(zone string) string
	RoundTrip func(region string) time.Duration
	// MaxShift limits the share of the requests that may change the region in
	// which they run from one window of two seconds to the next; 0 sets no
	// limit.
	MaxShift float64
	// LearnLimits selects the endpoints whose concurrency is limited by what the pool
	// learns from run times; empty is LimitNone.
	LearnLimits LimitScope
}

const (
	// minWaitShare is the share of its target that any request may wait for a
	// slot, even one that will miss the target.
	minWaitShare = 0.2
	// graceAfterDeadline is the time from a grant's deadline to its expiry.
	// The release of a request that timed out may still be in transit.
	graceAfterDeadline = time.Second
	// unreachablePause is how long an unreachable endpoint gets no requests.
	// It doubles with each further failure to connect, until a request is
	// served, up to unreachablePauseMax: a live endpoint announces itself again
	// within that time.
	unreachablePause    = 300 * time.Millisecond
	unreachablePauseMax = 2400 * time.Millisecond
	// maxConnectFailures is the number of failures to connect since the last
	// served request after which an endpoint no longer counts as capacity.
	maxConnectFailures = 3
	// fullPause is how long an endpoint gets no requests after it refused one
	// while all its slots were in use.
	fullPause = 40 * time.Millisecond
	// smoothing is the weight of the newest sample in a moving average.
	smoothing = 0.1
	// failureWeight is the cost of a failure in the comparison of endpoints,
	// as a multiple of the expected run time.
	failureWeight = 6.0
	// loadWeight is the relative increase of an endpoint's expected run time
	// when all its slots are in use.
	loadWeight = 0.25
	// warmFactor is the assumed ratio of warm to cold run times until a warm
	// run was seen.
	warmFactor = 0.6
	// occupancyWeight is the relative increase of the expected run time of an
	// object that is new at an endpoint when the endpoint keeps as many
	// objects warm as fit.
	occupancyWeight = 0.5
	// balanceWeight is the relative increase of the expected run time of an
	// object that is new at an endpoint when the endpoint keeps about the
	// average number of objects warm. Each object brings its requests:
	// without this, the few slots of some endpoints would be full while
	// others were idle.
	balanceWeight = 0.25
	// maxCopies limits the endpoints that keep the same object warm. Once so
	// many do, the object is not placed at another one by choice. Each copy
	// evicts another object, and its first run, a cold one, takes several
	// times as long.
	maxCopies = 2
	// spareSlotShare is the share of free slots above which a cold run delays
	// no other request.
	spareSlotShare = 0.25
	// placementSlack is the cost, as a multiple of the least, up to which
	// endpoints are candidates for a new object. The object's hash decides
	// among them.
	placementSlack = 1.15
	// maxCompared bounds the endpoints that are compared for one slot request, and
	// maxReconsidered the queued slot requests of a service that are due for
	// reconsideration in one tick. Without these bounds the dispatcher of a
	// large region uses a whole core under overload.
	maxCompared     = 48
	maxReconsidered = 64
	// preferUnusedAfter is the time after a service's first served request
	// from which on an endpoint that got no request yet is preferred.
	preferUnusedAfter = 2 * time.Second
	// healthyFailureShare is the share of failures below which an endpoint
	// that keeps an object warm and has a free slot is chosen without
	// comparison.
	healthyFailureShare = 0.1
	// shiftSuspension is how long objects may move between regions without
	// limit after endpoints, controllers or connections were lost: the time
	// in which the load of what was lost is redistributed.
	shiftSuspension = 4 * time.Second
	// maxShiftSuspension is how long after a loss the limit may be suspended while
	// requests are refused for lack of slots, and suspensionStep the time that each
	// refusal adds.
	maxShiftSuspension = 8 * time.Second
	suspensionStep     = time.Second
	// maxBreakInterval is the time within which two broken or failed
	// connections count as a fault. A single one may be due to an endpoint's
	// idle timeout.
	maxBreakInterval = time.Second
	// slownessSmoothing is the weight of the newest answer in an endpoint's
	// slowness, and maxSlownessSample bounds the sample of one answer.
	slownessSmoothing = 0.1
	maxSlownessSample = 8.0
	// coldHoldBack is how long a pool grants no slots of cold endpoints after
	// it has become the only one that can. It covers the second over which
	// their rate is counted.
	coldHoldBack = 1200 * time.Millisecond
	// retryAfterDivisor bounds Decision.RetryAfter to a part of the time left
	// before the deadline: clients honor up to a third of it.
	retryAfterDivisor = 3
	// maxMessageTime bounds the time that the messages for one run count: those of frozen
	// gateways take seconds.
	maxMessageTime = time.Second
	// minRetryAfter is the shortest Decision.RetryAfter.
	minRetryAfter = 50 * time.Millisecond
)
