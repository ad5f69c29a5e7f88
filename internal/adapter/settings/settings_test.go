package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/settings"
)

const control = `name: c1
data_dir: /var/lib/sassafrasreach
peer_listen: 127.0.1.1:17080
operator_listen: 127.0.1.1:17081
members:
- {name: c1, address: 127.0.1.1:17080}
- {name: c2, address: 127.0.1.2:17080}
- {name: c3, address: 127.0.1.3:17080}
`

const entry = `name: norte-a-1
place: norte-a
caller_listen: 127.0.10.1:18080
peer_listen: 127.0.10.1:19080
control: ["127.0.1.1:17080"]
seeds: ["127.0.10.2:19080"]
`

// write stores the text in a temporary file and returns its path.
func write(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.yaml")
	is.New(t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestLoad guards against valid settings that are rejected, and against missing
// defaults.
func TestLoad(t *testing.T) {
	is := is.New(t)
	c, err := settings.LoadControl(write(t, control))
	is.NoErr(err)
	is.Equal(c.LogLevel, "info")
	is.Equal(len(c.Members), 3)
	e, err := settings.LoadEntry(write(t, entry))
	is.NoErr(err)
	is.Equal(e.DrainLimit.Std(), time.Minute)
	e, err = settings.LoadEntry(write(t, entry+"drain_limit: 5s\n"))
	is.NoErr(err)
	is.Equal(e.DrainLimit.Std(), 5*time.Second)
}

// TestLoadRejectsInvalid guards against invalid settings that are accepted, and
// against errors that name the wrong line or field.
func TestLoadRejectsInvalid(t *testing.T) {
	loadControl := func(path string) error { _, err := settings.LoadControl(path); return err }
	loadEntry := func(path string) error { _, err := settings.LoadEntry(path); return err }
	cases := []struct {
		name     string
		load     func(string) error
		text     string
		old, new string
		line     int
		field    string
		message  string
	}{
		{"unknown field", loadControl, control, "data_dir", "datadir", 2, "datadir", "unknown field"},
		{"missing field", loadControl, control, "data_dir: /var/lib/sassafrasreach\n", "", 1, "data_dir", "this field is required"},
		{"bad address", loadControl, control, "listen: 127.0.1.1:17081", "listen: localhost:80", 4, "operator_listen", "isn't IP:port"},
		{"any address", loadControl, control, "listen: 127.0.1.1:17081", "listen: 0.0.0.0:80", 4, "operator_listen", "address of one VM"},
		{"same address", loadControl, control, "127.0.1.1:17081", "127.0.1.1:17080", 4, "operator_listen", "already the value of peer_listen"},
		{"bad member", loadControl, control, "127.0.1.2:17080", "127.0.1.2", 7, "members[1].address", "isn't IP:port"},
		{"duplicate member", loadControl, control, "name: c2", "name: c1", 7, "members[1].name", "listed twice"},
		{"two members", loadControl, control, "- {name: c2, address: 127.0.1.2:17080}\n", "", 5, "members", "3 or 5"},
		{"not a member", loadControl, control, "name: c1\ndata", "name: c9\ndata", 5, "members", "must be the name of one of the members"},
		{"log level", loadControl, control, "data_dir", "log_level: loud\ndata_dir", 2, "log_level", "must be one of"},
		{"bootstrap token", loadControl, control, "data_dir", "bootstrap_token_sha256: abc\ndata_dir", 2, "bootstrap_token_sha256", "SHA-256"},
		{"wrong type", loadEntry, entry, `control: ["127.0.1.1:17080"]`, "control: 127.0.1.1:17080", 5, "control", "a list is wanted"},
		{"no control", loadEntry, entry, `control: ["127.0.1.1:17080"]`, "control: []", 5, "control", "at least one"},
		{"bad seed", loadEntry, entry, "127.0.10.2:19080", "127.0.10.2:0", 6, "seeds[0]", "port 0"},
		{"bad place", loadEntry, entry, "place: norte-a", "place: Norte A", 2, "place", "is not a valid name"},
		{"duration", loadEntry, entry, "place", "drain_limit: 5\nplace", 2, "drain_limit", "a duration"},
		{"duration out of range", loadEntry, entry, "place", "drain_limit: 5h\nplace", 2, "drain_limit", "between"},
		{"not YAML", loadEntry, entry, "place: norte-a", "place: [", 2, "", "did not find"},
		{"empty", loadEntry, "", "", "", 1, "", "empty"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			path := write(t, strings.Replace(c.text, c.old, c.new, 1))
			var e *settings.Error
			is.True(errors.As(c.load(path), &e))
			is.Equal(e.File, path)
			is.Equal(e.Line, c.line)
			is.Equal(e.Field, c.field)
			is.True(strings.Contains(e.Message, c.message)) // e.Message
		})
	}
	var e *settings.Error
	is.New(t).True(errors.As(loadEntry(filepath.Join(t.TempDir(), "none.yaml")), &e))
}
