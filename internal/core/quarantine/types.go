package quarantine

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
)

// Config sets the times and bounds of a Table.
type Config struct {
	// Hold is how long after it was last asked for a fingerprint stays in
	// quarantine, and its deaths are remembered.
	Hold time.Duration
	// Blame is how long a lost run holds its fingerprint back. It must be longer
	// than it takes to notice that an endpoint is gone.
	Blame time.Duration
	// Late is how long after a run was given up a death is blamed on it.
	Late time.Duration
	// Settle is how long after a run was given up its endpoint must have started
	// another request, and answered it, to show that the run did not harm it.
	Settle time.Duration
	// Proven is how long after an answer a fingerprint counts as harmless.
	Proven time.Duration
	// Window is the time in which deaths belong to one wider failure.
	Window time.Duration
	// WiderDeaths is the number of deaths without the fingerprint, within
	// Window, that make a failure a wider one.
	WiderDeaths int
	// MaxEntries bounds the fingerprints that are remembered as suspects, and
	// likewise those remembered as proven.
	MaxEntries int
}

// DefaultConfig returns the settings that entries use.
func DefaultConfig() Config {
	return Config{
		Hold:        5 * time.Minute,
		Blame:       5 * time.Second,
		Late:        time.Minute,
		Settle:      time.Second,
		Proven:      time.Minute,
		Window:      2 * time.Second,
		WiderDeaths: 3,
		MaxEntries:  10_000,
	}
}

// End says how a run ended.
type End uint8

const (
	// Lost means that the run was given up, and nobody knows how it ended. It is
	// the zero value.
	Lost End = iota
	// Reset means that the endpoint's side of the connection broke.
	Reset
	// Answered means that the endpoint answered.
	Answered
	// NotStarted means that the endpoint certainly did not start the request.
	NotStarted
)

// Admission says whether a run may start.
type Admission uint8

const (
	// Refused means that the fingerprint is in quarantine or held back. It is
	// the zero value.
	Refused Admission = iota
	// Wait means that as many runs are under way as may be; when one ends the
	// request may be tried again.
	Wait
	// Admitted means that the run has started and must be ended by Ended.
	Admitted
)

// Change lists the fingerprints whose state changed and must be spread to the
// other entries.
type Change struct {
	// Suspected had their connection reset, or have their first death. Other
	// entries hold them back: for Blame after a reset and for Hold after a death.
	// They must know before the caller does, or its resend may reach an entry
	// that doesn't.
	Suspected []fingerprint.Fingerprint
	// Quarantined went into quarantine.
	Quarantined []fingerprint.Fingerprint
	// Lifted are free of blame again.
	Lifted []fingerprint.Fingerprint
}

// Entry is one fingerprint in quarantine.
type Entry struct {
	Fingerprint fingerprint.Fingerprint
	// Service is the service that was asked for; empty when another entry
	// reported the fingerprint.
	Service string
	// Remaining is how long the quarantine lasts, counted from the listing.
	Remaining time.Duration
	// Suspected says that the fingerprint is no more than held back.
	Suspected bool
	// Version is that of the newest change.
	Version uint64
}

// incarnation is one life of an endpoint.
type incarnation struct {
	endpoint string
	number   uint64
}

// run is one request on one endpoint.
type run struct {
	on      incarnation
	started time.Time
	// lost is when the run's end was lost; zero while it is under way. reset says
	// that the connection broke.
	lost  time.Time
	reset bool
}

// blame is a death that happened with the fingerprint in flight.
type blame struct {
	on incarnation
	at time.Time
}

// record is what is known of one fingerprint that isn't idle.
type record struct {
	service string
	runs    []run
	deaths  []blame
	// countFrom is the time after which runs must have started to be blamed;
	// zero means any.
	countFrom time.Time
	// asked is when the fingerprint was last asked for, or blamed.
	asked time.Time
	// until is the end of the quarantine; spread says that another entry asked
	// for it, and suspectUntil the end of the hold for another entry's suspect.
	until        time.Time
	spread       bool
	suspectUntil time.Time
	order
}

// death is one endpoint incarnation that died.
type death struct {
	on     incarnation
	at     time.Time
	blamed []fingerprint.Fingerprint
}
