package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"sassafrasreach/internal/port"
)

// ErrUnusable means that a stored record has another format or is too large.
var ErrUnusable = errors.New("stored record can't be used")

// jsonStore stores one record as JSON, in a folder of its own inside the data folder: a failure
// there doesn't keep the voter from saving its state. It is not safe for concurrent use.
type jsonStore[T any] struct {
	fs    FS
	clock port.Clock
	// path is that of the folder, and name that of the record.
	path, name string
	// format is the version of the content, and maxBytes bounds the record, so that a damaged file
	// can't exhaust memory.
	format, maxBytes int
	folder           *Folder
}

// jsonFile is the content of the record.
type jsonFile struct {
	Format int `json:"Format"`
	// SavedMillis is the time of the save, in Unix milliseconds.
	SavedMillis int64 `json:"SavedMillis"`
	// Content is named as in the first such record.
	Content json.RawMessage `json:"Hints"`
}

func newJSONStore[T any](files FS, dataFolder, name string, format, maxBytes int, clock port.Clock) *jsonStore[T] {
	return &jsonStore[T]{fs: files, clock: clock, path: filepath.Join(dataFolder, name), name: name, format: format, maxBytes: maxBytes}
}

// open opens the folder, again if it has failed. The error wraps ErrFailed.
func (s *jsonStore[T]) open() error {
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

// load returns the stored value and its age by the time of day, which is negative for a record from
// the future; the zero values if there is none. The error wraps ErrCorrupt, ErrUnusable or ErrFailed.
func (s *jsonStore[T]) load() (v T, age time.Duration, err error) {
	if err := s.open(); err != nil {
		return v, 0, err
	}
	payload, err := s.folder.Load(s.name)
	switch {
	case errors.Is(err, ErrMissing):
		return v, 0, nil
	case err != nil:
		return v, 0, err
	case len(payload) > s.maxBytes:
		return v, 0, fmt.Errorf("%w: %s: %d bytes exceed %d", ErrUnusable, s.name, len(payload), s.maxBytes)
	}
	var f jsonFile
	if err := json.Unmarshal(payload, &f); err != nil {
		return v, 0, fmt.Errorf("%w: %s: %w", ErrCorrupt, s.name, err)
	}
	if f.Format != s.format {
		return v, 0, fmt.Errorf("%w: %s: format %d isn't %d", ErrUnusable, s.name, f.Format, s.format)
	}
	if err := json.Unmarshal(f.Content, &v); err != nil {
		var none T
		return none, 0, fmt.Errorf("%w: %s: %w", ErrCorrupt, s.name, err)
	}
	return v, s.clock.Now().Sub(time.UnixMilli(f.SavedMillis)), nil
}

// save returns once a value is durable. The error wraps ErrFailed.
func (s *jsonStore[T]) save(v T) error {
	if err := s.open(); err != nil {
		return err
	}
	content, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode %s: %w", s.name, err)
	}
	payload, err := json.Marshal(jsonFile{Format: s.format, SavedMillis: s.clock.Now().UnixMilli(), Content: content})
	if err != nil {
		return fmt.Errorf("encode %s: %w", s.name, err)
	}
	return s.folder.Save(s.name, payload)
}
