package port

import (
	"time"

	"sassafrasreach/internal/core/verdict"
)

// Meter records the metrics of an entry.
type Meter interface {
	// Request records the result and the latency of one request.
	Request(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// Group records the slots, the busy slots and the queue length of a group
	// that this entry owns.
	Group(service, place string, slots, busy, queued int)
	// Version records the version of the document in force.
	Version(version uint64)
	// Moved records a request that a rule let through.
	Moved(rule string)
	// Quarantined records the number of fingerprints that are refused now.
	Quarantined(count int)
	// Drained records the duration of a planned stop.
	Drained(took time.Duration)
}

// FleetMeter records the metrics of gateways and controllers.
type FleetMeter interface {
	// Request records the result and the latency of one request.
	Request(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// Slot records how long a request waited for its slots, and the number of
	// its attempts at endpoints that could be reached.
	Slot(service string, waited time.Duration, tries int)
	// Decided records a dispatcher's decision; reason is empty for a grant.
	Decided(service, reason string)
	// Ordered records the outcome and the latency of an operator's order.
	Ordered(accepted bool, took time.Duration)
	// Announced records the outcome of an endpoint's announcement.
	Announced(leaving, accepted bool)
}
