package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// serviceSpec is a service with its number of workers, their slots and the time of a run.
type serviceSpec struct {
	workers, slots int
	work           time.Duration
	// keepID means that its workers start again under the IDs that they had.
	keepID bool
}

func sortedNames[V any](m map[string]V) []string {
	var out []string
	for name := range m {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

func newID() string { return fmt.Sprintf("%016x", uint64(attempts.Add(1))<<32|uint64(rand.Uint32())) }

func addressOf(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

func objectName(n int) string { return fmt.Sprintf("object-%d", n) }
