package port

import (
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
)

// Hints is what a controller keeps on its disk for its next start. Nothing of it
// makes a request run that an announcement or an order doesn't allow.
type Hints struct {
	// Gateways are the gateways that were live and ready. The directory names them
	// until they had the time to report themselves.
	Gateways []Gateway `json:"Gateways"`
	// Ended are the endpoints that leave or are gone. They stay so, whatever late
	// announcement of theirs arrives.
	Ended []registry.Endpoint `json:"Ended"`
	// Loads are the last reported loads of the regions.
	Loads []dispatch.Load `json:"Loads"`
}

// HintStore stores the hints of a controller.
type HintStore interface {
	// Load returns the stored hints; none if nothing is stored. The error says why
	// stored hints can't be used.
	Load() (Hints, error)
	// Save returns once the hints are durable.
	Save(h Hints) error
}

// EvidenceStore stores the evidence of requests that crash endpoints.
type EvidenceStore interface {
	// Load returns the stored evidence, and how much more of it can't be used; none if nothing is
	// stored. The error says why nothing stored can be used.
	Load() (all []quarantine.Evidence, dropped int, err error)
	// Save returns once the evidence is durable.
	Save(all []quarantine.Evidence) error
}
