package quarantine

import "sassafrasreach/internal/core/verdict"

// End is how a run ended.
type End uint8

const (
	// Abandoned means that the run was given up or its answer is unusable, so its
	// outcome is unknown. It is the zero value.
	Abandoned End = iota
	// Reset means that the connection broke on the endpoint's side, wherever in the
	// answer that was.
	Reset
	// Answered means that the endpoint answered completely.
	Answered
	// Failed means that the endpoint answered completely with a failure of its own,
	// which shows nothing about what the request does to other endpoints.
	Failed
	// NotStarted means that the endpoint certainly did not start the request.
	NotStarted
	// Down means NotStarted because nothing listened at the endpoint's address.
	Down
)

// ends holds the text of each End in messages between VMs.
var ends = map[End]string{
	Abandoned: "abandoned", Reset: "reset", Answered: "answered", Failed: "failed", NotStarted: "not-started", Down: "down",
}

// String returns the text of e in messages between VMs.
func (e End) String() string { return ends[e] }

// ParseEnd returns the End with a text; false if there is none.
func ParseEnd(text string) (End, bool) {
	for e, t := range ends {
		if t == text {
			return e, true
		}
	}
	return Abandoned, false
}

// Observation is what the VM that sent a request saw of its end.
type Observation struct {
	// Verdict is that of the call to the endpoint.
	Verdict verdict.Verdict
	// Failure means that the endpoint answered completely with a failure of its own.
	Failure bool
	// ConnectionLost means that the endpoint's side broke the connection after some of
	// the request had been sent, ConnectionRefused that nothing listened at its address.
	ConnectionLost, ConnectionRefused bool
}

// End classifies the end of a run. NotStarted and Down need proof; what the client or the
// sender did meanwhile, such as leaving, proves nothing.
func (o Observation) End() End {
	switch {
	case o.ConnectionRefused:
		return Down
	case o.ConnectionLost:
		return Reset
	case o.Verdict == verdict.NotRun:
		return NotStarted
	case o.Verdict == verdict.Ran && o.Failure:
		return Failed
	case o.Verdict == verdict.Ran:
		return Answered
	default:
		return Abandoned
	}
}
