package dispatch

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/registry"
)

// RunRecorder records the runs of requests, to find requests that crash their
// endpoints. The pool doesn't call it for requests without a fingerprint.
type RunRecorder interface {
	// MayStart reports whether a request may be sent to an endpoint.
	MayStart(now time.Time, f fingerprint.Fingerprint) bool
	// Begin records that a slot was granted.
	Begin(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint)
	// End records how the slot was used. It is called once for each Begin.
	End(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint, outcome Outcome)
}

// noRuns is the RunRecorder of a pool without one.
type noRuns struct{}

func (noRuns) MayStart(time.Time, fingerprint.Fingerprint) bool                   { return true }
func (noRuns) Begin(time.Time, registry.Endpoint, fingerprint.Fingerprint)        {}
func (noRuns) End(time.Time, registry.Endpoint, fingerprint.Fingerprint, Outcome) {}

// mayStart reports whether the request's content may be sent to an endpoint.
func (p *Pool) mayStart(now time.Time, req SlotRequest) bool {
	return req.Fingerprint.IsZero() || p.config.Runs.MayStart(now, req.Fingerprint)
}

// beginRun records a granted slot.
func (p *Pool) beginRun(now time.Time, s *server, req SlotRequest) {
	if !req.Fingerprint.IsZero() {
		p.config.Runs.Begin(now, s.endpoint, req.Fingerprint)
	}
}

// endRun removes a grant and records how its slot was used.
func (p *Pool) endRun(now time.Time, id string, g grant, outcome Outcome) {
	delete(p.grants, id)
	g.server.inFlight--
	if !g.fingerprint.IsZero() {
		p.config.Runs.End(now, g.started, g.fingerprint, outcome)
	}
}

// Close ends all grants of a pool that grants no more slots. How they were used
// isn't known.
func (p *Pool) Close(now time.Time) {
	for id, g := range p.grants {
		p.endRun(now, id, g, Unsent)
	}
}
