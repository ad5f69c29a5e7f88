package disk

import (
	"time"

	"sassafrasreach/internal/port"
)

const (
	hintRecord = "hints"
	// hintFormat is the version of the record's content.
	hintFormat   = 1
	maxHintBytes = 8 << 20
	// maxHintAge is the age from which gateways and loads tell nothing any more.
	maxHintAge = time.Minute
)

// HintStore stores the hints of a controller. It is not safe for concurrent use.
type HintStore struct{ store *jsonStore[port.Hints] }

var _ port.HintStore = (*HintStore)(nil)

// NewHintStore returns the store inside a data folder. It is opened at the first use.
func NewHintStore(files FS, dataFolder string, clock port.Clock) *HintStore {
	return &HintStore{newJSONStore[port.Hints](files, dataFolder, hintRecord, hintFormat, maxHintBytes, clock)}
}

// Load implements port.HintStore. Gateways and loads that are older than maxHintAge,
// or from the future by as much, are left out. The error wraps ErrCorrupt,
// ErrUnusable or ErrFailed.
func (s *HintStore) Load() (port.Hints, error) {
	h, age, err := s.store.load()
	if age.Abs() > maxHintAge {
		h.Gateways, h.Loads = nil, nil
	}
	return h, err
}

// Save implements port.HintStore. The error wraps ErrFailed.
func (s *HintStore) Save(h port.Hints) error { return s.store.save(h) }
