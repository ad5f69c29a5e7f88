package document

import "time"

// Inclusive bounds of the fields.
const (
	// MaxTextBytes bounds the text of a document.
	MaxTextBytes = 4 << 20
	// MaxNameBytes bounds the length of a name.
	MaxNameBytes = 63
	// MaxReasonBytes bounds the length of Drain.Reason.
	MaxReasonBytes = 200
	// MinMbitPerS and MaxMbitPerS bound Link.MbitPerS.
	MinMbitPerS = 1
	MaxMbitPerS = 1_000_000
	// MinDeadline and MaxDeadline bound Service.Deadline.
	MinDeadline = time.Millisecond
	MaxDeadline = 10 * time.Minute
	// MaxBodyBytesBound bounds Service.MaxBodyBytes. Request bodies are held in
	// memory.
	MaxBodyBytesBound = 64 << 20
	// MaxAnswerBytesBound bounds Service.MaxAnswerBytes.
	MaxAnswerBytesBound = 1 << 30
	// MaxWorkers bounds Service.Workers.
	MaxWorkers = 100_000
	// MaxSlots bounds Service.Slots.
	MaxSlots = 10_000
	// MaxConnections bounds Service.Connections.
	MaxConnections = 100_000
	// MaxRequestsPerS bounds Rule.RequestsPerS.
	MaxRequestsPerS = 10_000_000
	// MaxRamp bounds Rule.Ramp.
	MaxRamp = time.Hour
	// MaxFaults bounds the number of faults that one validation reports.
	MaxFaults = 1000
)

// bitsPerMbit is the number of bits in a megabit.
const bitsPerMbit = 1_000_000
