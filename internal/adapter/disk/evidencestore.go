package disk

import (
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

const (
	evidenceRecord = "evidence"
	// evidenceFormat is the version of the record's content.
	evidenceFormat   = 1
	maxEvidenceBytes = 1 << 20
)

// storedEvidence is the form of one quarantine.Evidence in the record.
type storedEvidence struct {
	Fingerprint string `json:"Fingerprint"`
	// QuarantinedMillis and AgeMillis are those at the time of the save.
	QuarantinedMillis int64  `json:"QuarantinedMillis,omitempty"`
	Endpoint          string `json:"Endpoint,omitempty"`
	Incarnation       uint64 `json:"Incarnation,omitempty"`
	AgeMillis         int64  `json:"AgeMillis,omitempty"`
	Version           uint64 `json:"Version,omitempty"`
}

// EvidenceStore stores what a controller knows of requests that crash endpoints. It is not safe for
// concurrent use.
type EvidenceStore struct{ store *jsonStore[[]storedEvidence] }

var _ port.EvidenceStore = (*EvidenceStore)(nil)

// NewEvidenceStore returns the store inside a data folder. It is opened at the first use.
func NewEvidenceStore(files FS, dataFolder string, clock port.Clock) *EvidenceStore {
	return &EvidenceStore{newJSONStore[[]storedEvidence](files, dataFolder, evidenceRecord, evidenceFormat, maxEvidenceBytes, clock)}
}

// Load implements port.EvidenceStore. The time since the save counts by the time of day, unless that
// has gone back. The error wraps ErrCorrupt, ErrUnusable or ErrFailed.
func (s *EvidenceStore) Load() (all []quarantine.Evidence, dropped int, err error) {
	stored, age, err := s.store.load()
	age = max(0, age)
	for _, x := range stored {
		f, errParse := fingerprint.Parse(x.Fingerprint)
		e := quarantine.Evidence{
			Fingerprint: f, Quarantined: time.Duration(x.QuarantinedMillis) * time.Millisecond,
			Endpoint: x.Endpoint, Incarnation: x.Incarnation, Age: time.Duration(x.AgeMillis) * time.Millisecond, Version: x.Version,
		}
		usable := errParse == nil && len(all) < quarantine.MaxEvidence && x.QuarantinedMillis >= 0 && x.AgeMillis >= 0
		isQuarantine := e.Endpoint == "" && e.Quarantined > age
		isCrash := e.Quarantined == 0 && registry.CheckID(e.Endpoint) == nil
		if !usable || !isQuarantine && !isCrash {
			dropped++
			continue
		}
		if e.Age += age; isQuarantine {
			e.Quarantined, e.Age = e.Quarantined-age, 0
		}
		all = append(all, e)
	}
	return all, dropped, err
}

// Save implements port.EvidenceStore. The error wraps ErrFailed.
func (s *EvidenceStore) Save(all []quarantine.Evidence) error {
	stored := make([]storedEvidence, len(all))
	for i, e := range all {
		stored[i] = storedEvidence{
			Fingerprint: e.Fingerprint.String(), QuarantinedMillis: e.Quarantined.Milliseconds(),
			Endpoint: e.Endpoint, Incarnation: e.Incarnation, AgeMillis: e.Age.Milliseconds(), Version: e.Version,
		}
	}
	return s.store.save(stored)
}
