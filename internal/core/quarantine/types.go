package quarantine

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// Config holds the times and bounds of a Table.
type Config struct {
	// Hold is how long a fingerprint stays in quarantine and its deaths are
	// remembered, counted from when it was last requested.
	Hold time.Duration
	// DetectionTimeout is how long a run that was given up holds its fingerprint
	// back; one whose connection was reset does so for at least as long. It is
	// also how long an endpoint that lost a run must show no evidence of liveness
	// to be presumed dead. It must be longer than the detection of a dead endpoint
	// takes.
	DetectionTimeout time.Duration
	// AttributionTimeout is how long after a run was given up a death can be
	// attributed to it.
	AttributionTimeout time.Duration
	// LivenessMargin is how long after a run was lost its endpoint must have
	// started another request that it answered, or have reported itself, to
	// show that the run did not crash it.
	LivenessMargin time.Duration
	// AnswerMargin is how long after a run's connection was reset its endpoint must
	// have answered another request to show that the reset was none of a crash,
	// whenever that request started: a crash resets all connections at once. It
	// covers the time in which answers and resets are reported.
	AnswerMargin time.Duration
	// Proven is how long after an answer a fingerprint counts as proven.
	Proven time.Duration
	// CorrelationWindow is the time within which deaths belong to one
	// correlated failure.
	CorrelationWindow time.Duration
	// CorrelatedDeaths is the number of deaths within CorrelationWindow, not
	// attributed to the fingerprint, that make a failure a correlated one.
	CorrelatedDeaths int
	// MaxEntries is the number of records above which lost runs and lifts are no
	// longer remembered, and the maximum number of fingerprints that are
	// remembered as proven. Above half as many records, runs that were given up
	// are remembered for DetectionTimeout only.
	MaxEntries int
}

// DefaultConfig returns the configuration that entries use.
func DefaultConfig() Config {
	return Config{
		Hold:               5 * time.Minute,
		DetectionTimeout:   5 * time.Second,
		AttributionTimeout: time.Minute,
		LivenessMargin:     time.Second,
		AnswerMargin:       250 * time.Millisecond,
		Proven:             time.Minute,
		CorrelationWindow:  2 * time.Second,
		CorrelatedDeaths:   3,
		MaxEntries:         10_000,
	}
}

// Admission is the decision on whether a run may start.
type Admission uint8

const (
	// Refused means that the fingerprint is in quarantine or held back. It is
	// the zero value.
	Refused Admission = iota
	// Wait means that the maximum number of runs is in flight; when one of them
	// ends, the request may be tried again.
	Wait
	// Admitted means that the run has started; its end must be recorded by
	// EndRun.
	Admitted
)

// Change lists the fingerprints whose state changed, to be sent to the other
// entries.
type Change struct {
	// Suspected are the fingerprints whose connection was reset, whose endpoint
	// turned out to be down after a run on it was given up, or that have their first
	// death. Other entries are to hold them back by Suspect. They
	// must receive the change before the caller receives its answer, or a
	// resend may reach an entry that doesn't know.
	Suspected []fingerprint.Fingerprint
	// Quarantined are the fingerprints that were put into quarantine.
	Quarantined []fingerprint.Fingerprint
	// Lifted are the fingerprints that are no longer suspected or in
	// quarantine.
	Lifted []fingerprint.Fingerprint
}

// Entry is one fingerprint in quarantine or held back.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Service is the service that was requested; empty when another entry
	// reported the fingerprint.
	Service string
	// Remaining is how long the fingerprint stays in quarantine or held back,
	// counted from the call that returned this Entry.
	Remaining time.Duration
	// Suspected is set when the fingerprint is held back but not in quarantine.
	Suspected bool
	// Version is the version of the newest change that isn't a lift.
	Version uint64
}

// incarnation identifies one incarnation of an endpoint.
type incarnation struct {
	endpoint string
	number   uint64
}

// run is one request on one endpoint.
type run struct {
	on      incarnation
	started time.Time
	// lost is when the run was given up or its connection was reset; zero while
	// it is in flight. reset is set if the connection was reset.
	lost  time.Time
	reset bool
}

// givenUp reports whether the run has ended without an outcome or a reset.
func (x run) givenUp() bool { return !x.lost.IsZero() && !x.reset }

// attributedDeath is a death that is attributed to the fingerprint.
type attributedDeath struct {
	on incarnation
	at time.Time
}

// record is the state of one fingerprint.
type record struct {
	service string
	runs    []run
	deaths  []attributedDeath
	// countRunsAfter is the time after which runs must have started to have a
	// death attributed to them; zero means any time.
	countRunsAfter time.Time
	// lastRequested is when the fingerprint was last requested, or last had a
	// death attributed to it.
	lastRequested time.Time
	// quarantinedUntil is the end of the quarantine; external is set when
	// another entry or an operator put the fingerprint there. Until
	// suspectedUntil it is held back because another entry suspects it.
	quarantinedUntil time.Time
	external         bool
	suspectedUntil   time.Time
	// kept is set by Keep, until f is answered again.
	kept bool
	changeVersions
}

// death is the death of one endpoint incarnation.
type death struct {
	on           incarnation
	at           time.Time
	attributedTo []fingerprint.Fingerprint
}
