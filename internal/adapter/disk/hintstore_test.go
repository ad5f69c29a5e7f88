package disk_test

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// TestHints saves hints, damages the file in several ways and loads them again. It
// guards against hints that are used although they are torn, of another format, too
// large or old; endpoints that leave have no age.
func TestHints(t *testing.T) {
	saved := port.Hints{
		Gateways: []port.Gateway{{Address: "192.0.2.1:80", Zone: "a1", Region: "a", Ready: true}},
		Ended:    []registry.Endpoint{{ID: "e1", StartedMillis: 5, Leaving: true}},
		Loads:    []dispatch.Load{{Region: "a", Service: "s", Need: 2.5, Slots: 3}},
	}
	old := port.Hints{Ended: saved.Ended}
	cases := []struct {
		name   string
		after  time.Duration
		damage func(path string, data []byte) error
		want   port.Hints
		err    error
	}{
		{name: "unchanged", want: saved},
		{name: "missing", damage: func(path string, _ []byte) error { return os.Remove(path) }},
		{name: "old", after: time.Hour, want: old},
		{name: "from the future", after: -time.Hour, want: old},
		{name: "torn", damage: func(path string, data []byte) error { return os.WriteFile(path, data[:len(data)/2], 0o600) }, err: disk.ErrCorrupt},
		{name: "changed", damage: func(path string, data []byte) error {
			data[len(data)/2]++
			return os.WriteFile(path, data, 0o600)
		}, err: disk.ErrCorrupt},
		{name: "other format", damage: replaceRecord("hints", map[string]any{"Format": 2}), err: disk.ErrUnusable},
		{name: "not hints", damage: replaceRecord("hints", []int{1}), err: disk.ErrCorrupt},
		{name: "too large", damage: replaceRecord("hints", make([]byte, 8<<20)), err: disk.ErrUnusable},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir, now := t.TempDir(), time.Unix(1_800_000_000, 0)
			store := disk.NewHintStore(disk.OS{}, dir, port.ClockFunc(func() time.Time { return now }))
			is.NoErr(store.Save(saved))
			path := filepath.Join(dir, "hints", "hints")
			data, err := os.ReadFile(path)
			is.NoErr(err)
			if c.damage != nil {
				is.NoErr(c.damage(path, data))
			}
			now = now.Add(c.after)
			got, err := store.Load()
			is.True(errors.Is(err, c.err))
			if c.err == nil {
				is.Equal(got, c.want)
			}
		})
	}
}

// replaceRecord stores a sound record with other content.
func replaceRecord(name string, content any) func(path string, _ []byte) error {
	return func(path string, _ []byte) error {
		payload, err := json.Marshal(content)
		if err != nil {
			return err
		}
		folder, err := disk.Open(disk.OS{}, filepath.Join(filepath.Dir(path), "other"))
		if err != nil {
			return err
		}
		if err := folder.Save(name, payload); err != nil {
			return err
		}
		return os.Rename(filepath.Join(filepath.Dir(path), "other", name), path)
	}
}
