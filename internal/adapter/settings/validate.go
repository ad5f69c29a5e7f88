package settings

import (
	"fmt"
	"slices"

	"sassafrasreach/internal/core/document"
)

// Fault is one thing that is wrong with settings.
type Fault struct {
	// Field is the path of the field.
	Field string
	// Message says what is wrong.
	Message string
}

// LogLevels are the values of the LogLevel fields.
func LogLevels() []string { return []string{"debug", "info", "warn", "error"} }

// memberCounts are the numbers of control VMs that survive the loss of one or
// two with a majority.
var memberCounts = []int{3, 5}

// faults collects what is wrong, in the order of the checks.
type faults []Fault

func (fs *faults) add(field, format string, args ...any) {
	*fs = append(*fs, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (fs *faults) needed(field, value string) bool {
	if value == "" {
		fs.add(field, "this field is needed")
	}
	return value != ""
}

func (fs *faults) name(field, value string) {
	if fs.needed(field, value) && !document.ValidName(value) {
		fs.add(field, "%q isn't a name of 1 to %d letters a-z, digits and inner hyphens", value, document.MaxNameBytes)
	}
}

func (fs *faults) address(field, value string) {
	if !fs.needed(field, value) {
		return
	}
	if reason := document.CheckAddress(value); reason != "" {
		fs.add(field, "%s", reason)
	}
}

func (fs *faults) addresses(field string, values []string) {
	for i, value := range values {
		at := fmt.Sprintf("%s[%d]", field, i)
		fs.address(at, value)
		if slices.Contains(values[:i], value) {
			fs.add(at, "%q is listed twice", value)
		}
	}
}

func (fs *faults) logLevel(value string) {
	if !slices.Contains(LogLevels(), value) {
		fs.add("log_level", "%q isn't one of %v", value, LogLevels())
	}
}

func (fs *faults) metrics(value string) {
	if value != "" {
		fs.address("metrics_listen", value)
	}
}

// distinct reports listen addresses that are equal. An empty one is no address.
func (fs *faults) distinct(fields []string, values []string) {
	for i, value := range values {
		if j := slices.Index(values, value); value != "" && j < i {
			fs.add(fields[i], "%q is already %s", value, fields[j])
		}
	}
}

// Validate returns all faults of the settings.
func (c *Control) Validate() []Fault {
	var fs faults
	fs.name("name", c.Name)
	fs.needed("data_dir", c.DataDir)
	fs.address("peer_listen", c.PeerListen)
	fs.address("operator_listen", c.OperatorListen)
	c.members(&fs)
	if c.BootstrapTokenSHA256 != "" && !document.ValidTokenHash(c.BootstrapTokenSHA256) {
		fs.add("bootstrap_token_sha256", "the lower-case hex SHA-256 of a token that isn't empty is wanted")
	}
	fs.logLevel(c.LogLevel)
	fs.metrics(c.MetricsListen)
	fs.distinct([]string{"peer_listen", "operator_listen", "metrics_listen"},
		[]string{c.PeerListen, c.OperatorListen, c.MetricsListen})
	return fs
}

func (c *Control) members(fs *faults) {
	if !slices.Contains(memberCounts, len(c.Members)) {
		fs.add("members", "there are %d members; 3 or 5 are needed", len(c.Members))
		return
	}
	own := false
	for i, m := range c.Members {
		at := fmt.Sprintf("members[%d]", i)
		fs.name(at+".name", m.Name)
		fs.address(at+".address", m.Address)
		for _, other := range c.Members[:i] {
			if m.Name == other.Name {
				fs.add(at+".name", "%q is listed twice", m.Name)
			}
			if m.Address == other.Address {
				fs.add(at+".address", "%q is listed twice", m.Address)
			}
		}
		own = own || m.Name == c.Name
	}
	if !own {
		fs.add("members", "%q, the name of this VM, isn't among them", c.Name)
	}
}

// Validate returns all faults of the settings.
func (e *Entry) Validate() []Fault {
	var fs faults
	fs.name("name", e.Name)
	fs.name("place", e.Place)
	fs.address("caller_listen", e.CallerListen)
	fs.address("peer_listen", e.PeerListen)
	if len(e.Control) == 0 {
		fs.add("control", "at least one control VM is needed")
	}
	fs.addresses("control", e.Control)
	fs.addresses("seeds", e.Seeds)
	if e.DrainLimit.Std() < MinDrainLimit || e.DrainLimit.Std() > MaxDrainLimit {
		fs.add("drain_limit", "%v isn't between %v and %v", e.DrainLimit.Std(), MinDrainLimit, MaxDrainLimit)
	}
	fs.logLevel(e.LogLevel)
	fs.metrics(e.MetricsListen)
	fs.distinct([]string{"caller_listen", "peer_listen", "metrics_listen"},
		[]string{e.CallerListen, e.PeerListen, e.MetricsListen})
	return fs
}
