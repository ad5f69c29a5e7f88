package fleet_test

import (
	"bytes"
	"compress/gzip"
	"io"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/fleet"
)

// storedState is the value in testdata/state.json.gz. No field has its zero value.
var storedState = fleet.State{
	Config: fleet.Config{
		Version: 42,
		Routes: []fleet.Route{{
			Name: "belts", Host: "belts.example", Prefix: "/v1/", Idempotent: true, Priority: 2,
			Target: 300 * time.Millisecond, Timeout: 2 * time.Second, Attempts: 3, Sticky: true,
			Parts:   []fleet.Part{{Service: "belt-control", Weight: 0.75}, {Service: "belt-next", Weight: 0.25}},
			Regions: []string{"north", "south"},
		}},
		Services: []fleet.Service{{
			Name: "belt-control", HealthPath: "/health", Connections: 64, ColdPerSecond: 1.5, ColdTime: 90 * time.Second,
		}},
		Limits: fleet.Limits{
			HeaderBytes: 16384, BodyBytes: 1048576, HeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute,
		},
	},
	Source:    []byte("{\"version\": \"r42\"}"),
	Accepted:  []string{"00112233445566778899aabb", "ffeeddccbbaa998877665544"},
	Evacuated: []string{"north-1", "south-2"},
}

// TestStoredStateKeepsItsNames reads a state that an earlier release stored and
// encodes it again. It guards against a renamed Go field that changes the stored
// names.
func TestStoredStateKeepsItsNames(t *testing.T) {
	is := is.New(t)
	stored, err := os.ReadFile("testdata/state.json.gz")
	is.NoErr(err)
	state, err := fleet.Decode(stored)
	is.NoErr(err)
	is.Equal(*state, storedState)
	again, err := state.Encode()
	is.NoErr(err)
	// The compressed bytes may change with the Go release, but not their content.
	is.Equal(decompress(t, again), decompress(t, stored))
}

func decompress(t *testing.T, compressed []byte) string {
	t.Helper()
	is := is.New(t)
	reader, err := gzip.NewReader(bytes.NewReader(compressed))
	is.NoErr(err)
	text, err := io.ReadAll(reader)
	is.NoErr(err)
	return string(text)
}
