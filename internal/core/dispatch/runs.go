package dispatch

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
)

// RunRecorder records the runs of requests, to find requests that crash their
// endpoints. The pool doesn't call it for requests without a fingerprint.
type RunRecorder interface {
	// MayStart reports whether a request may be sent to an endpoint.
	MayStart(now time.Time, f fingerprint.Fingerprint) bool
	// Begin records that a slot was granted.
	Begin(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint)
	// End records how the run ended. It is called once for each Begin.
	End(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint, end quarantine.End)
}

// noRuns is the RunRecorder of a pool without one.
type noRuns struct{}

func (noRuns) MayStart(time.Time, fingerprint.Fingerprint) bool                          { return true }
func (noRuns) Begin(time.Time, registry.Endpoint, fingerprint.Fingerprint)               {}
func (noRuns) End(time.Time, registry.Endpoint, fingerprint.Fingerprint, quarantine.End) {}

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

// RecordRunEnd records how the run of a grant ended, before the grant is released. It returns
// false, and changes nothing, for an unknown ID.
func (p *Pool) RecordRunEnd(id string, end quarantine.End) (known bool) {
	g, known := p.grants[id]
	if known {
		g.runEnd, g.runEnded = end, true
		p.grants[id] = g
	}
	return known
}

// endRun removes a grant and records how its run ended, by RecordRunEnd or else by the
// outcome.
func (p *Pool) endRun(now time.Time, id string, g grant, outcome Outcome) {
	delete(p.grants, id)
	g.server.inFlight--
	g.server.bodies.remove(g.bodyBytes)
	if g.fingerprint.IsZero() {
		return
	}
	end := g.runEnd
	if !g.runEnded {
		end = runEndOf(outcome)
	}
	p.config.Runs.End(now, g.started, g.fingerprint, end)
}

// runEndOf returns how a run ended as far as the outcome of its slot tells, as gateways of
// a former release report it.
func runEndOf(outcome Outcome) quarantine.End {
	switch outcome {
	case Served:
		return quarantine.Answered
	case Broken:
		return quarantine.Reset
	case Refused, Unreachable:
		return quarantine.NotStarted
	default:
		return quarantine.Abandoned
	}
}

// Close ends all grants of a pool that grants no more slots. How they were used
// isn't known.
func (p *Pool) Close(now time.Time) {
	for id, g := range p.grants {
		p.endRun(now, id, g, Unsent)
	}
}
