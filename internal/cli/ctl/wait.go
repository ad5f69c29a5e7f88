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

// pollPause is the wait between two looks at the entries' versions.
const pollPause = 200 * time.Millisecond

// behind is an entry where a version isn't in force.
type behind struct {
	// Entry names the entry.
	Entry string `json:"entry"`
	// Version is the version in force there; 0 when none is known.
	Version uint64 `json:"version"`
	// Age is the time since a control VM heard of it, in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Heard says whether a control VM ever heard of it.
	Heard bool `json:"heard"`
}

// String returns the entry in words.
func (b behind) String() string {
	if !b.Heard {
		return b.Entry + " (never heard of)"
	}
	return fmt.Sprintf("%s (version %d, heard of %v ago)", b.Entry, b.Version, b.Age.Round(time.Millisecond))
}

// waitInForce waits until every entry has the version and returns those that
// don't when the time is up.
func (r *runner) waitInForce(ctx context.Context, version uint64, entries []string) []behind {
	known := make(map[string]port.EntryStatus)
	for {
		missing := r.look(ctx, version, entries, known)
		if len(missing) == 0 || !wait.For(ctx, pollPause) {
			return missing
		}
	}
}

// look asks the control VMs one after the other until their answers together
// show the version at every entry. What was known stays known when no VM
// answers any more.
func (r *runner) look(ctx context.Context, version uint64, entries []string, known map[string]port.EntryStatus) []behind {
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
		if len(notAt(version, entries, known)) == 0 {
			return nil
		}
	}
	return notAt(version, entries, known)
}

func notAt(version uint64, entries []string, known map[string]port.EntryStatus) []behind {
	var out []behind
	for _, name := range entries {
		e, heard := known[name]
		if e.Version < version {
			out = append(out, behind{Entry: name, Version: e.Version, Age: e.Age, Heard: heard})
		}
	}
	return out
}
