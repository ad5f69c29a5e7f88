package disk_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/port"
)

// TestEvidenceStore saves evidence, damages the file in several ways and loads it again. It guards
// against evidence that is lost with other evidence that can't be used, that is used although it is
// torn, of another format or too large, and that lasts for longer since the process was down.
func TestEvidenceStore(t *testing.T) {
	f, g := fingerprint.Of("s", "POST", "/a"), fingerprint.Of("s", "POST", "/b")
	saved := []quarantine.Evidence{
		{Fingerprint: f, Quarantined: time.Minute, Version: 5},
		{Fingerprint: g, Endpoint: "e1", Incarnation: 1_767_458_710_170, Age: 10 * time.Second, Version: 6},
	}
	later := []quarantine.Evidence{saved[0], saved[1]}
	later[0].Quarantined, later[1].Age = 40*time.Second, 30*time.Second
	type item map[string]any
	text := g.String()
	unusable := []item{
		{}, {"Fingerprint": "x", "Endpoint": "e1"}, {"Fingerprint": text}, {"Fingerprint": text, "Endpoint": "e\n"},
		{"Fingerprint": text, "Endpoint": "e1", "AgeMillis": -1}, {"Fingerprint": text, "QuarantinedMillis": -1},
		{"Fingerprint": text, "Endpoint": "e1", "QuarantinedMillis": 9_000_000},
		{"Fingerprint": text, "Endpoint": strings.Repeat("e", 300)},
	}
	many := make([]item, quarantine.MaxEvidence+3)
	for i := range many {
		many[i] = item{"Fingerprint": text, "Endpoint": "e1"}
	}
	content := func(v any) func(string, []byte) error {
		return replaceRecord("evidence", map[string]any{"Format": 1, "SavedMillis": int64(1_800_000_000_000), "Hints": v})
	}
	cases := []struct {
		name    string
		after   time.Duration
		damage  func(path string, data []byte) error
		want    []quarantine.Evidence
		loaded  int
		dropped int
		err     error
	}{
		{name: "unchanged", want: saved, loaded: 2},
		{name: "later", after: 20 * time.Second, want: later, loaded: 2},
		{name: "clock set back", after: -time.Hour, want: saved, loaded: 2},
		{name: "long after", after: time.Hour, loaded: 1, dropped: 1},
		{name: "missing", damage: func(path string, _ []byte) error { return os.Remove(path) }},
		{name: "torn", damage: func(path string, data []byte) error { return os.WriteFile(path, data[:len(data)/2], 0o600) }, err: disk.ErrCorrupt},
		{name: "other format", damage: replaceRecord("evidence", map[string]any{"Format": 2}), err: disk.ErrUnusable},
		{name: "not evidence", damage: content("x"), err: disk.ErrCorrupt},
		{name: "too large", damage: replaceRecord("evidence", make([]byte, 1<<20)), err: disk.ErrUnusable},
		{name: "unusable items", damage: content(append(unusable, item{"Fingerprint": text, "Endpoint": "e1"})), loaded: 1, dropped: len(unusable)},
		{name: "too many items", damage: content(many), loaded: quarantine.MaxEvidence, dropped: 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			dir, now := t.TempDir(), time.Unix(1_800_000_000, 0)
			store := disk.NewEvidenceStore(disk.OS{}, dir, port.ClockFunc(func() time.Time { return now }))
			is.NoErr(store.Save(saved))
			path := filepath.Join(dir, "evidence", "evidence")
			data, err := os.ReadFile(path)
			is.NoErr(err)
			if c.damage != nil {
				is.NoErr(c.damage(path, data))
			}
			now = now.Add(c.after)
			got, dropped, err := store.Load()
			is.True(errors.Is(err, c.err))
			is.Equal(len(got), c.loaded)
			is.Equal(dropped, c.dropped)
			if c.want != nil {
				is.Equal(got, c.want)
			}
		})
	}
}
