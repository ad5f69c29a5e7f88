package disk

import (
	"errors"
	"io"
	"os"
	"syscall"
)

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// File is an open file for writing.
type File interface {
	io.Writer
	// Sync returns when the file's content is durable.
	Sync() error
	Close() error
}

// FS is the set of file system operations that a Folder needs.
type FS interface {
	// MakeFolder creates a folder and its parents if they don't exist.
	MakeFolder(path string) error
	// Read returns a file's content; the error wraps fs.ErrNotExist when there
	// is no such file.
	Read(path string) ([]byte, error)
	// Create opens a file for writing. It truncates an existing file.
	Create(path string) (File, error)
	// Rename atomically moves a file over another.
	Rename(from, to string) error
	// Lock takes an exclusive lock on a folder, which is held until the returned
	// Closer is closed. It fails at once when the lock is already held.
	Lock(path string) (io.Closer, error)
	// SyncFolder returns when the names in a folder are durable.
	SyncFolder(path string) error
}

// OS implements FS with the operating system's file system.
type OS struct{}

// MakeFolder implements FS.
func (OS) MakeFolder(path string) error { return os.MkdirAll(path, folderPermissions) }

// Read implements FS.
func (OS) Read(path string) ([]byte, error) { return os.ReadFile(path) }

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Lock implements FS with flock(2); the lock is released when the process ends.
func (OS) Lock(path string) (io.Closer, error) {
	folder, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(folder.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(err, folder.Close())
	}
	return folder, nil
}

// SyncFolder implements FS.
func (OS) SyncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := folder.Sync(); err != nil {
		_ = folder.Close()
		return err
	}
	return folder.Close()
}
