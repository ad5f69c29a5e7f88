package port

import (
	"time"

	"sassafrasreach/internal/core/verdict"
)

// Meter records the metrics of an entry.
type Meter interface {
	// RecordRequest records the result and the latency of one request.
	RecordRequest(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// SetGroup records the slots, the busy slots and the queue length of a group
	// that this entry owns.
	SetGroup(service, place string, slots, busy, queued int)
	// SetVersion records the version of the document in force.
	SetVersion(version uint64)
	// RecordCrossing records a request that a rule let through.
	RecordCrossing(rule string)
	// SetQuarantined records the number of fingerprints that are refused now.
	SetQuarantined(count int)
	// RecordDrain records the duration of a planned stop.
	RecordDrain(took time.Duration)
}

// PipelineMeter records the metrics of connections on which clients send requests
// before earlier ones were answered.
type PipelineMeter interface {
	// RecordTakeover records a connection that is read ahead from now on.
	RecordTakeover()
	// RecordReadAhead records a request that was read before earlier ones of its
	// connection were answered.
	RecordReadAhead()
	// RecordPipelineEnd records the end of a connection that was read ahead, and how many
	// requests were canceled by it.
	RecordPipelineEnd(canceled int)
	// RecordCut records a request that didn't get its whole response before its connection
	// ended, who ended that, and why.
	RecordCut(by, why string)
}

// FleetMeter records the metrics of gateways and controllers.
type FleetMeter interface {
	// RecordRequest records the result and the latency of one request.
	RecordRequest(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration)
	// RecordSlot records how long a request waited for its slots, and the number of
	// its attempts at endpoints that could be reached.
	RecordSlot(service string, waited time.Duration, tries int)
	// RecordKeyRefused records a request that was refused for its key.
	RecordKeyRefused(fault KeyFault)
	// RecordDecision records a dispatcher's decision; reason is empty for a grant.
	RecordDecision(service, reason string)
	// RecordOrder records the outcome and the latency of an operator's order.
	RecordOrder(accepted bool, took time.Duration)
	// RecordItemDropped records an item of a message between VMs that was left out
	// because it can't be passed on.
	RecordItemDropped(kind string)
	// RecordAnnouncement records the outcome of an endpoint's announcement.
	RecordAnnouncement(leaving, accepted bool)
	// RecordEvidenceSave records a save of the evidence of requests that crash endpoints.
	RecordEvidenceSave()
	// RecordStreamed records a streamed response and whether the endpoint's part of it
	// was complete.
	RecordStreamed(service string, complete bool)
	// RecordRefused records a request or connection that was refused or closed to
	// protect the process, at the port for some clients.
	RecordRefused(clients, reason string)
}
