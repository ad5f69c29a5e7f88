package disk

import (
	"encoding/json"
	"errors"
	"fmt"

	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/port"
)

// voterRecord is the name of the record that holds a voter's state.
const voterRecord = "voter"

// VoterStore keeps a voter's state in a folder. After a failed write it opens
// the folder again, so that a disk that works again is used again. It is not
// safe for concurrent use.
type VoterStore struct {
	fs     FS
	path   string
	folder *Folder
	failed func(error)
}

var _ port.VoterStore = (*VoterStore)(nil)

// OpenVoterStore opens the store in a folder; failed is told of each error.
func OpenVoterStore(files FS, path string, failed func(error)) (*VoterStore, error) {
	folder, err := Open(files, path)
	if err != nil {
		return nil, err
	}
	return &VoterStore{fs: files, path: path, folder: folder, failed: failed}, nil
}

// Load implements port.VoterStore. The error wraps ErrCorrupt or ErrFailed.
func (s *VoterStore) Load() (quorum.State, bool, error) {
	var state quorum.State
	payload, err := s.folder.Load(voterRecord)
	if errors.Is(err, ErrMissing) {
		return state, false, nil
	}
	if err != nil {
		return state, false, err
	}
	if err := json.Unmarshal(payload, &state); err != nil {
		return state, false, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return state, true, nil
}

// Save implements port.VoterStore. The error wraps ErrFailed.
func (s *VoterStore) Save(state quorum.State) error {
	if err := s.reopen(); err != nil {
		s.failed(err)
		return err
	}
	payload, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode voter: %w", err)
	}
	if err := s.folder.Save(voterRecord, payload); err != nil {
		s.failed(err)
		return err
	}
	return nil
}

// reopen replaces a folder that has failed.
func (s *VoterStore) reopen() error {
	if s.folder.Failed() == nil {
		return nil
	}
	if err := s.folder.Close(); err != nil && !errors.Is(err, ErrFailed) {
		return err
	}
	folder, err := Open(s.fs, s.path)
	if err != nil {
		return err
	}
	s.folder = folder
	return nil
}
