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

// VoterStore stores a voter's state in a folder. After a failed operation, Save
// opens the folder again, so that the voter recovers when its disk does. It is not
// safe for concurrent use.
type VoterStore struct {
	fs      FS
	path    string
	folder  *Folder
	onError func(error)
}

var _ port.VoterStore = (*VoterStore)(nil)

// OpenVoterStore opens the store in a folder. Save calls onError with each error
// of the folder.
func OpenVoterStore(files FS, path string, onError func(error)) (*VoterStore, error) {
	folder, err := Open(files, path)
	if err != nil {
		return nil, err
	}
	return &VoterStore{fs: files, path: path, folder: folder, onError: onError}, nil
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
		return state, false, fmt.Errorf("voter: %w: %w", ErrCorrupt, err)
	}
	return state, true, nil
}

// Save implements port.VoterStore. An error of the folder wraps ErrFailed.
func (s *VoterStore) Save(state quorum.State) error {
	if err := s.reopen(); err != nil {
		s.onError(err)
		return err
	}
	payload, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode voter state: %w", err)
	}
	if err := s.folder.Save(voterRecord, payload); err != nil {
		s.onError(err)
		return err
	}
	return nil
}

// reopen opens the folder again if it has failed.
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
