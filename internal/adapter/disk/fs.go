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

// File is an open file that is written once.
type File interface {
	io.Writer
	// Sync returns after the file's content is durable.
	Sync() error
	Close() error
}

// FS is the part of a file system that a Folder needs.
type FS interface {
	// MakeFolder creates a folder and its parents if they don't exist.
	MakeFolder(path string) error
	// Read returns a file's content; the error wraps fs.ErrNotExist when there
	// is no such file.
	Read(path string) ([]byte, error)
	// Create opens an empty file for writing, in place of any older one.
	Create(path string) (File, error)
	// Rename moves a file over another in one step.
	Rename(from, to string) error
	// Lock takes a folder for this process alone until the lock is closed. It
	// fails at once when another holds it.
	Lock(path string) (io.Closer, error)
	// SyncFolder returns after the names in a folder are durable.
	SyncFolder(path string) error
}

// OS is the FS of the operating system.
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

// Lock implements FS with flock(2), which ends with the process.
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
