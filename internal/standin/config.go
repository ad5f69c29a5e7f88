package standin

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Config configures one stand-in endpoint.
type Config struct {
	// ID, Service and Place identify the endpoint.
	ID      string
	Service string
	Place   string
	// Listen is the IP:port to serve on; it is announced too.
	Listen string
	// Entries are the IP:ports of entry VMs to announce to.
	Entries []string
	// Slots and Connections are announced. Requests beyond Slots at once are shed.
	// Connections isn't enforced.
	Slots       int
	Connections int
	// Work is the duration of a request. At the start of the process, Cold is added
	// to it; the addition decreases linearly to zero over Warmup.
	Work   time.Duration
	Cold   time.Duration
	Warmup time.Duration
	// CrashOn is the request body on which the process exits; for trials of
	// quarantine. Empty means never.
	CrashOn string
	// RunLog is a file to which one line is appended for each run; empty means none.
	RunLog string
	// LeaveFor is how long the endpoint announces that it is leaving before it shuts
	// down.
	LeaveFor time.Duration
}

// ErrBadConfig is wrapped by every error of Validate.
var ErrBadConfig = errors.New("bad stand-in configuration")

// Validate returns an error that wraps ErrBadConfig for the first invalid setting.
func (c Config) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"id", c.ID}, {"service", c.Service}, {"place", c.Place},
	} {
		if field.value == "" {
			return fmt.Errorf("%w: -%s is missing", ErrBadConfig, field.name)
		}
	}
	if len(c.Entries) == 0 {
		return fmt.Errorf("%w: -entry is missing", ErrBadConfig)
	}
	for _, address := range append([]string{c.Listen}, c.Entries...) {
		if _, err := netip.ParseAddrPort(address); err != nil {
			return fmt.Errorf("%w: %w", ErrBadConfig, err)
		}
	}
	if c.Slots < 1 || c.Connections < 1 {
		return fmt.Errorf("%w: -slots and -connections must be at least 1", ErrBadConfig)
	}
	return nil
}
