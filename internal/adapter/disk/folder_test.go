package disk_test

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
)

var errDevice = errors.New("device error")

// fakeFS distinguishes what was written from what is durable. Operation number
// failAt fails, counted from 1; a write that fails has written half of its bytes.
type fakeFS struct {
	names   map[string]*fakeFile
	durable map[string]*fakeFile
	ops     int
	failAt  int
}

type fakeFile struct {
	fs      *fakeFS
	data    []byte
	durable []byte
}

func newFakeFS() *fakeFS {
	return &fakeFS{names: make(map[string]*fakeFile), durable: make(map[string]*fakeFile)}
}

func (f *fakeFS) op() error {
	f.ops++
	if f.ops == f.failAt {
		return errDevice
	}
	return nil
}

func (f *fakeFS) MakeFolder(string) error { return nil }

func (f *fakeFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (f *fakeFS) Read(path string) ([]byte, error) {
	if err := f.op(); err != nil {
		return nil, err
	}
	if file, found := f.names[path]; found {
		return file.data, nil
	}
	return nil, fs.ErrNotExist
}

func (f *fakeFS) Create(path string) (disk.File, error) {
	if err := f.op(); err != nil {
		return nil, err
	}
	f.names[path] = &fakeFile{fs: f}
	return f.names[path], nil
}

func (f *fakeFS) Rename(from, to string) error {
	if err := f.op(); err != nil {
		return err
	}
	f.names[to] = f.names[from]
	delete(f.names, from)
	return nil
}

func (f *fakeFS) SyncFolder(string) error {
	if err := f.op(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.names)
	return nil
}

func (f *fakeFile) Write(p []byte) (int, error) {
	if err := f.fs.op(); err != nil {
		f.data = append(f.data, p[:len(p)/2]...)
		return len(p) / 2, err
	}
	f.data = append(f.data, p...)
	return len(p), nil
}

func (f *fakeFile) Sync() error {
	if err := f.fs.op(); err != nil {
		return err
	}
	f.durable = f.data
	return nil
}

func (f *fakeFile) Close() error { return f.fs.op() }

// crash returns the file system as a process finds it after a power failure. Names
// and content that weren't synced are kept if keepUnsynced is set, and lost otherwise.
func (f *fakeFS) crash(keepUnsynced bool) *fakeFS {
	after := newFakeFS()
	names := f.durable
	if keepUnsynced {
		names = f.names
	}
	for name, file := range names {
		data := file.durable
		if keepUnsynced {
			data = file.data
		}
		after.names[name] = &fakeFile{fs: after, data: data, durable: data}
	}
	after.durable = maps.Clone(after.names)
	return after
}

const path = "data"

// TestSaveFaults guards against a crash or an error during a save that leaves
// anything but the old or the new content. It injects them at each step: create,
// write (torn, or the disk is full), sync, close, rename, sync of the folder.
func TestSaveFaults(t *testing.T) {
	const saveOps = 6
	for step := 1; step <= saveOps+1; step++ {
		for _, keepUnsynced := range []bool{false, true} {
			t.Run(fmt.Sprintf("step %d, keep unsynced %v", step, keepUnsynced), func(t *testing.T) {
				is := is.New(t)
				files := newFakeFS()
				folder, err := disk.Open(files, path)
				is.NoErr(err)
				is.NoErr(folder.Save("state", []byte("old")))
				files.failAt = files.ops + step
				err = folder.Save("state", []byte("new"))
				fails := step <= saveOps
				is.Equal(errors.Is(err, disk.ErrFailed), fails)
				is.Equal(errors.Is(err, errDevice), fails)
				if fails {
					_, err = folder.Load("state")
					is.True(errors.Is(err, disk.ErrFailed))                       // a failed folder rejects reads
					is.True(errors.Is(folder.Save("other", nil), disk.ErrFailed)) // and writes
				}
				again, err := disk.Open(files.crash(keepUnsynced), path)
				is.NoErr(err)
				payload, err := again.Load("state")
				is.NoErr(err)
				is.True(string(payload) == "new" || fails && string(payload) == "old")
			})
		}
	}
}

// TestLoadFaults guards against a damaged record that is taken for a valid one:
// shortened to each length, extended, or with any one bit flipped. It also covers
// missing records and failing operations.
func TestLoadFaults(t *testing.T) {
	record := func(t *testing.T) (*fakeFS, *fakeFile) {
		files := newFakeFS()
		folder, err := disk.Open(files, path)
		is.New(t).NoErr(err)
		is.New(t).NoErr(folder.Save("state", []byte("payload")))
		return files, files.names[path+"/state"]
	}
	_, whole := record(t)
	type damage func(*fakeFS, *fakeFile)
	cases := map[string]struct {
		damage damage
		want   error
	}{
		"missing":      {func(f *fakeFS, _ *fakeFile) { clear(f.names) }, disk.ErrMissing},
		"failing open": {func(f *fakeFS, _ *fakeFile) { f.failAt = f.ops + 1 }, disk.ErrFailed},
		"failing read": {func(f *fakeFS, _ *fakeFile) { f.failAt = f.ops + 2 }, disk.ErrFailed},
		"longer":       {func(_ *fakeFS, r *fakeFile) { r.data = append(r.data, 0) }, disk.ErrCorrupt},
	}
	for i := range whole.data {
		cases[fmt.Sprintf("short %d", i)] = struct {
			damage damage
			want   error
		}{func(_ *fakeFS, r *fakeFile) { r.data = r.data[:i] }, disk.ErrCorrupt}
		for bit := range 8 {
			cases[fmt.Sprintf("flipped bit %d of byte %d", bit, i)] = struct {
				damage damage
				want   error
			}{func(_ *fakeFS, r *fakeFile) { r.data[i] ^= 1 << bit }, disk.ErrCorrupt}
		}
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			files, file := record(t)
			c.damage(files, file)
			folder, err := disk.Open(files, path)
			if err == nil {
				_, err = folder.Load("state")
			}
			is.True(errors.Is(err, c.want))
		})
	}
}

// TestOSStoresRecords guards against faults of the OS file system: a record that
// can't be read after the folder is opened again, and a closed folder that is
// still usable.
func TestOSStoresRecords(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir() + "/data"
	folder, err := disk.Open(disk.OS{}, dir)
	is.NoErr(err)
	_, err = folder.Load("state")
	is.True(errors.Is(err, disk.ErrMissing))
	is.NoErr(folder.Save("state", []byte("one")))
	is.NoErr(folder.Save("state", []byte("two")))
	_, err = disk.Open(disk.OS{}, dir)
	is.True(errors.Is(err, disk.ErrFailed)) // the folder is locked
	is.NoErr(folder.Close())
	is.True(errors.Is(folder.Save("state", nil), disk.ErrFailed))
	again, err := disk.Open(disk.OS{}, dir)
	is.NoErr(err)
	payload, err := again.Load("state")
	is.NoErr(err)
	is.Equal(string(payload), "two")
}

// TestFolderIsForOneProcess guards against two processes that write to the same
// folder: a second Open must fail until the first Folder is closed.
func TestFolderIsForOneProcess(t *testing.T) {
	is := is.New(t)
	path := t.TempDir()
	first, err := disk.Open(disk.OS{}, path)
	is.NoErr(err)
	_, err = disk.Open(disk.OS{}, path)
	is.True(errors.Is(err, disk.ErrFailed))
	is.NoErr(first.Close())
	_, err = disk.Open(disk.OS{}, path)
	is.NoErr(err)
}
