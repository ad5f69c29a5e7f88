//go:build !linux

package bootclock

import (
	"time"

	"sassafrasreach/internal/port"
)

// Clock implements port.BootClock with the wall clock, which goes on while the VM is
// suspended. It may be set; the platform's VMs run Linux.
type Clock struct{}

var _ port.BootClock = Clock{}

// New returns the clock.
func New() (Clock, error) { return Clock{}, nil }

// SinceBoot implements port.BootClock.
func (Clock) SinceBoot() time.Duration { return time.Duration(time.Now().UnixNano()) }
