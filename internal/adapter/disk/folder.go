package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

var (
	// ErrMissing means that the record doesn't exist.
	ErrMissing = errors.New("record is missing")
	// ErrCorrupt means that a record exists but has a wrong format, length or
	// checksum, or content that can't be decoded.
	ErrCorrupt = errors.New("record is corrupt")
	// ErrFailed means that this or an earlier operation on the folder failed, or
	// that the Folder is closed. The Folder can't be used any more.
	ErrFailed = errors.New("data folder failed")
)

// nextSuffix marks the file to which the next content of a record is written.
const nextSuffix = ".next"

// Folder stores named records. It is not safe for concurrent use.
type Folder struct {
	fs     FS
	path   string
	lock   io.Closer
	failed error
}

// Open locks the folder at path and creates it if it doesn't exist. It fails if
// the folder is already open, in this process or another. The error wraps
// ErrFailed.
func Open(files FS, path string) (*Folder, error) {
	if err := files.MakeFolder(path); err != nil {
		return nil, fmt.Errorf("%w: create folder: %w", ErrFailed, err)
	}
	if err := files.SyncFolder(filepath.Dir(path)); err != nil {
		return nil, fmt.Errorf("%w: sync parent folder: %w", ErrFailed, err)
	}
	lock, err := files.Lock(path)
	if err != nil {
		return nil, fmt.Errorf("%w: lock folder (another process may hold it): %w", ErrFailed, err)
	}
	return &Folder{fs: files, path: path, lock: lock}, nil
}

// Close unlocks the folder. Later calls of Load and Save fail.
func (f *Folder) Close() error {
	f.failed = fmt.Errorf("%w: the folder is closed", ErrFailed)
	return f.lock.Close()
}

// Load returns the payload of a record. The error wraps ErrMissing, ErrCorrupt
// or, when the file can't be read or the folder has failed, ErrFailed.
func (f *Folder) Load(name string) ([]byte, error) {
	if f.failed != nil {
		return nil, f.failed
	}
	record, err := f.fs.Read(filepath.Join(f.path, name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%s: %w", name, ErrMissing)
	}
	if err != nil {
		return nil, f.fail("read", name, err)
	}
	payload, err := decodeRecord(record)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return payload, nil
}

// Save replaces a record and returns when it is durable. The error wraps
// ErrFailed, and after it every further call fails.
func (f *Folder) Save(name string, payload []byte) error {
	if f.failed != nil {
		return f.failed
	}
	path := filepath.Join(f.path, name)
	if err := f.write(path+nextSuffix, encodeRecord(payload)); err != nil {
		return f.fail("write", name, err)
	}
	if err := f.fs.Rename(path+nextSuffix, path); err != nil {
		return f.fail("rename", name, err)
	}
	if err := f.fs.SyncFolder(f.path); err != nil {
		return f.fail("sync folder of", name, err)
	}
	return nil
}

// Failed returns the error after which the folder rejects all calls, or nil.
func (f *Folder) Failed() error { return f.failed }

func (f *Folder) write(path string, record []byte) error {
	file, err := f.fs.Create(path)
	if err != nil {
		return err
	}
	if err := writeSynced(file, record); err != nil {
		_ = file.Close()
		return err
	}
	return file.Close()
}

func writeSynced(file File, record []byte) error {
	if _, err := file.Write(record); err != nil {
		return err
	}
	return file.Sync()
}

func (f *Folder) fail(step, name string, cause error) error {
	f.failed = fmt.Errorf("%w: %s %s: %w", ErrFailed, step, name, cause)
	return f.failed
}
