package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"path/filepath"
)

var (
	// ErrMissing means that there is no such record.
	ErrMissing = errors.New("record is missing")
	// ErrCorrupt means that a record doesn't verify.
	ErrCorrupt = errors.New("record is corrupt")
	// ErrFailed means that an earlier operation failed and the folder must not
	// be used until the process starts again.
	ErrFailed = errors.New("data folder failed")
)

// nextSuffix marks the file that is being written.
const nextSuffix = ".next"

// Folder holds named records. It is not safe for concurrent use.
type Folder struct {
	fs     FS
	path   string
	lock   io.Closer
	failed error
}

// Open returns the folder at path, for this process alone, and creates it if it
// doesn't exist. The error wraps ErrFailed.
func Open(files FS, path string) (*Folder, error) {
	if err := files.MakeFolder(path); err != nil {
		return nil, fmt.Errorf("%w: create: %w", ErrFailed, err)
	}
	if err := files.SyncFolder(filepath.Dir(path)); err != nil {
		return nil, fmt.Errorf("%w: sync parent: %w", ErrFailed, err)
	}
	lock, err := files.Lock(path)
	if err != nil {
		return nil, fmt.Errorf("%w: another process has it: %w", ErrFailed, err)
	}
	return &Folder{fs: files, path: path, lock: lock}, nil
}

// Close gives the folder free for another process.
func (f *Folder) Close() error {
	f.failed = fmt.Errorf("%w: closed", ErrFailed)
	return f.lock.Close()
}

// Load returns the payload of a record. The error wraps ErrMissing, ErrCorrupt
// or, when the file can't be read, ErrFailed.
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

// Save replaces a record and returns after it is durable. After an error, which
// wraps ErrFailed, every further call fails.
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

// Failed returns the error that stopped the folder, or nil.
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
