package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// hintFolder is the folder of the hints inside the data folder. A failure there
	// doesn't keep the voter from saving its state.
	hintFolder = "hints"
	// hintRecord is the name of the record that holds the hints.
	hintRecord = "hints"
	// hintFormat is the version of the record's content.
	hintFormat = 1
	// maxHintBytes bounds a record, so that a damaged file can't exhaust memory.
	maxHintBytes = 8 << 20
	// maxHintAge is the age from which gateways and loads tell nothing any more.
	maxHintAge = time.Minute
)

// ErrUnusableHints means that stored hints have another format or are too large.
var ErrUnusableHints = errors.New("stored hints can't be used")

// hintFile is the content of the record.
type hintFile struct {
	Format int `json:"Format"`
	// SavedMillis is the time of the save, in Unix milliseconds.
	SavedMillis int64      `json:"SavedMillis"`
	Hints       port.Hints `json:"Hints"`
}

// HintStore stores the hints of a controller in a folder of its own. It is not safe
// for concurrent use.
type HintStore struct {
	fs     FS
	path   string
	clock  port.Clock
	folder *Folder
}

var _ port.HintStore = (*HintStore)(nil)

// NewHintStore returns the store inside a data folder. It is opened at the first use.
func NewHintStore(files FS, dataFolder string, clock port.Clock) *HintStore {
	return &HintStore{fs: files, path: filepath.Join(dataFolder, hintFolder), clock: clock}
}

// open opens the folder, again if it has failed. The error wraps ErrFailed.
func (s *HintStore) open() error {
	if s.folder != nil && s.folder.Failed() == nil {
		return nil
	}
	if s.folder != nil {
		_ = s.folder.Close() // it holds nothing but the lock
	}
	folder, err := Open(s.fs, s.path)
	if err != nil {
		return err
	}
	s.folder = folder
	return nil
}

// Load implements port.HintStore. Gateways and loads that are older than maxHintAge,
// or from the future by as much, are left out. The error wraps ErrCorrupt,
// ErrUnusableHints or ErrFailed.
func (s *HintStore) Load() (port.Hints, error) {
	if err := s.open(); err != nil {
		return port.Hints{}, err
	}
	payload, err := s.folder.Load(hintRecord)
	if errors.Is(err, ErrMissing) {
		return port.Hints{}, nil
	}
	if err != nil {
		return port.Hints{}, err
	}
	if len(payload) > maxHintBytes {
		return port.Hints{}, fmt.Errorf("%w: %d bytes exceed %d", ErrUnusableHints, len(payload), maxHintBytes)
	}
	var f hintFile
	if err := json.Unmarshal(payload, &f); err != nil {
		return port.Hints{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if f.Format != hintFormat {
		return port.Hints{}, fmt.Errorf("%w: format %d isn't %d", ErrUnusableHints, f.Format, hintFormat)
	}
	if age := s.clock.Now().Sub(time.UnixMilli(f.SavedMillis)); age.Abs() > maxHintAge {
		f.Hints.Gateways, f.Hints.Loads = nil, nil
	}
	return f.Hints, nil
}

// Save implements port.HintStore. The error wraps ErrFailed.
func (s *HintStore) Save(h port.Hints) error {
	if err := s.open(); err != nil {
		return err
	}
	payload, err := json.Marshal(hintFile{Format: hintFormat, SavedMillis: s.clock.Now().UnixMilli(), Hints: h})
	if err != nil {
		return fmt.Errorf("encode hints: %w", err)
	}
	return s.folder.Save(hintRecord, payload)
}
