package settings

import (
	"fmt"
	"slices"

	"sassafrasreach/internal/core/document"
)

// Problem describes one invalid field.
type Problem struct {
	// Field is the path of the field.
	Field string
	// Message describes the problem and, where it is known, what is valid.
	Message string
}

// LogLevels returns the valid values of the LogLevel fields.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// memberCounts are the valid numbers of control VMs: 3 keep a majority after the
// loss of one, and 5 after the loss of two.
var memberCounts = []int{3, 5}

// problems collects invalid fields in the order of the checks.
type problems []Problem

func (ps *problems) add(field, format string, args ...any) {
	*ps = append(*ps, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (ps *problems) required(field, value string) bool {
	if value == "" {
		ps.add(field, "this field is required and must not be empty")
	}
	return value != ""
}

func (ps *problems) name(field, value string) {
	if ps.required(field, value) && !document.ValidName(value) {
		ps.add(field, "%q is not a valid name; it must have 1 to %d characters a-z, 0-9 and inner hyphens", value, document.MaxNameBytes)
	}
}

func (ps *problems) address(field, value string) {
	if !ps.required(field, value) {
		return
	}
	if reason := document.CheckAddress(value); reason != "" {
		ps.add(field, "%s", reason)
	}
}

func (ps *problems) addresses(field string, values []string) {
	for i, value := range values {
		at := fmt.Sprintf("%s[%d]", field, i)
		ps.address(at, value)
		if slices.Contains(values[:i], value) {
			ps.add(at, "%q is listed twice; each address must be listed once", value)
		}
	}
}

func (ps *problems) logLevel(value string) {
	if !slices.Contains(LogLevels(), value) {
		ps.add("log_level", "%q is not a log level; it must be one of %v", value, LogLevels())
	}
}

func (ps *problems) metrics(value string) {
	if value != "" {
		ps.address("metrics_listen", value)
	}
}

// resources checks the bounds of the process's memory and descriptors.
func (ps *problems) resources(memoryBytes, descriptors int64) {
	ps.between("memory_bytes", memoryBytes, MinMemoryBytes, MaxMemoryBytes)
	ps.between("max_descriptors", descriptors, MinMaxDescriptors, MaxMaxDescriptors)
}

func (ps *problems) between(field string, value, least, most int64) {
	if value < least || value > most {
		ps.add(field, "%d is out of range; it must be between %d and %d", value, least, most)
	}
}

// distinct reports listen addresses that are equal. Empty ones are not compared.
func (ps *problems) distinct(fields []string, values []string) {
	for i, value := range values {
		if j := slices.Index(values, value); value != "" && j < i {
			ps.add(fields[i], "%q is already the value of %s; listen addresses must differ", value, fields[j])
		}
	}
}

// Validate returns all problems of the settings, in the order of the checks.
func (c *Control) Validate() []Problem {
	var ps problems
	ps.name("name", c.Name)
	ps.required("data_dir", c.DataDir)
	ps.address("peer_listen", c.PeerListen)
	ps.address("operator_listen", c.OperatorListen)
	c.members(&ps)
	if c.BootstrapTokenSHA256 != "" && !document.ValidTokenHash(c.BootstrapTokenSHA256) {
		ps.add("bootstrap_token_sha256", "the value must be the lower-case hex SHA-256 of a token that isn't empty")
	}
	ps.logLevel(c.LogLevel)
	ps.metrics(c.MetricsListen)
	ps.resources(c.MemoryBytes, c.MaxDescriptors)
	ps.distinct([]string{"peer_listen", "operator_listen", "metrics_listen"},
		[]string{c.PeerListen, c.OperatorListen, c.MetricsListen})
	return ps
}

func (c *Control) members(ps *problems) {
	if !slices.Contains(memberCounts, len(c.Members)) {
		ps.add("members", "%d members are listed; there must be 3 or 5", len(c.Members))
		return
	}
	found := false
	for i, m := range c.Members {
		at := fmt.Sprintf("members[%d]", i)
		ps.name(at+".name", m.Name)
		ps.address(at+".address", m.Address)
		for _, other := range c.Members[:i] {
			if m.Name == other.Name {
				ps.add(at+".name", "%q is listed twice; each member needs its own name", m.Name)
			}
			if m.Address == other.Address {
				ps.add(at+".address", "%q is listed twice; each member needs its own address", m.Address)
			}
		}
		found = found || m.Name == c.Name
	}
	if !found {
		ps.add("members", "%q, the name of this VM, must be the name of one of the members", c.Name)
	}
}

// Validate returns all problems of the settings, in the order of the checks.
func (e *Entry) Validate() []Problem {
	var ps problems
	ps.name("name", e.Name)
	ps.name("place", e.Place)
	ps.address("caller_listen", e.CallerListen)
	ps.address("peer_listen", e.PeerListen)
	if len(e.Control) == 0 {
		ps.add("control", "at least one control VM must be listed")
	}
	ps.addresses("control", e.Control)
	ps.addresses("seeds", e.Seeds)
	if e.DrainLimit.Std() < MinDrainLimit || e.DrainLimit.Std() > MaxDrainLimit {
		ps.add("drain_limit", "%v is out of range; it must be between %v and %v", e.DrainLimit.Std(), MinDrainLimit, MaxDrainLimit)
	}
	ps.logLevel(e.LogLevel)
	ps.metrics(e.MetricsListen)
	ps.resources(e.MemoryBytes, e.MaxDescriptors)
	ps.distinct([]string{"caller_listen", "peer_listen", "metrics_listen"},
		[]string{e.CallerListen, e.PeerListen, e.MetricsListen})
	return ps
}
