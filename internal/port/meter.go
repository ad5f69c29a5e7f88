package port

import (
	"time"

	"sassafrasreach/internal/core/verdict"
)

// Meter records what a daemon measures of itself.
type Meter interface {
	// Request records the end of one request.
	Request(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// Group records the use of a group that this entry owns.
	Group(service, place string, slots, busy, queued int)
	// Version records the version of the document in force.
	Version(version uint64)
	// Moved records requests that a rule let through.
	Moved(rule string)
	// Quarantined records the number of fingerprints that are refused.
	Quarantined(count int)
	// Drained records the duration of a planned stop.
	Drained(took time.Duration)
}

// FleetMeter records what gateways and controllers measure of themselves.
type FleetMeter interface {
	// Request records the end of one request.
	Request(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// Slot records how long a request waited for its slots, and how many it used.
	Slot(service string, waited time.Duration, tries int)
	// Decided records a dispatcher's decision; reason is empty for a grant.
	Decided(service, reason string)
	// Ordered records the outcome of an operator's order.
	Ordered(accepted bool, took time.Duration)
	// Announced records an endpoint's announcement.
	Announced(leaving, accepted bool)
}
