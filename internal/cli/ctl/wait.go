package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// pollInterval is the wait between two requests for the status.
const pollInterval = 200 * time.Millisecond

// entryBehind is an entry VM where a version isn't yet in force.
type entryBehind struct {
	// Entry is the name of the entry VM.
	Entry string `json:"entry"`
	// Version is the version in force there, as last reported; 0 when none is
	// known.
	Version uint64 `json:"version"`
	// Age is the time since a control VM last received a report about the entry
	// VM, from itself or from another one of its place, in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Reported is true when a control VM has a report about the entry VM.
	Reported bool `json:"heard"`
}

// String returns the entry as the text output shows it.
func (b entryBehind) String() string {
	if !b.Reported {
		return b.Entry + " (no report received)"
	}
	return fmt.Sprintf("%s (version %d, last report %v ago)", b.Entry, b.Version, b.Age.Round(time.Millisecond))
}

// waitInForce polls until the version is in force at every entry or ctx ends. It
// returns the entries where it isn't in force.
func (r *runner) waitInForce(ctx context.Context, version uint64, entries []string) []entryBehind {
	known := make(map[string]port.EntryStatus)
	for {
		missing := r.pollStatus(ctx, version, entries, known)
		if len(missing) == 0 || !wait.For(ctx, pollInterval) {
			return missing
		}
	}
}

// pollStatus requests the status of the control VMs one after the other until
// their responses together show the version at every entry. It keeps the newest
// version of each entry in known, also when a control VM stops responding or
// reports an older version. It returns the entries where the version isn't in
// force.
func (r *runner) pollStatus(ctx context.Context, version uint64, entries []string, known map[string]port.EntryStatus) []entryBehind {
	for _, member := range r.client.members {
		got, err := r.client.try(ctx, member, request{method: http.MethodGet, path: "/v1/status"})
		if err != nil || got.problem != nil {
			continue
		}
		var status port.ControlStatus
		if json.Unmarshal(got.body, &status) != nil {
			continue
		}
		for _, e := range status.Entries {
			if old, ok := known[e.Name]; !ok || e.Version >= old.Version {
				known[e.Name] = e
			}
		}
		if len(entriesBehind(version, entries, known)) == 0 {
			return nil
		}
	}
	return entriesBehind(version, entries, known)
}

// entriesBehind returns the entries whose known version is below version.
func entriesBehind(version uint64, entries []string, known map[string]port.EntryStatus) []entryBehind {
	var out []entryBehind
	for _, name := range entries {
		e, reported := known[name]
		if e.Version < version {
			out = append(out, entryBehind{Entry: name, Version: e.Version, Age: e.Age, Reported: reported})
		}
	}
	return out
}
