package bootclock

import (
	"fmt"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"sassafrasreach/internal/port"
)

// Clock implements port.BootClock with CLOCK_BOOTTIME.
type Clock struct{}

var _ port.BootClock = Clock{}

// New returns the clock. The error is of the operating system, which lacks it.
func New() (Clock, error) {
	_, err := read()
	return Clock{}, err
}

// SinceBoot implements port.BootClock. If the clock can't be read, which New has ruled out,
// all terms have ended.
func (Clock) SinceBoot() time.Duration {
	now, err := read()
	if err != nil {
		return math.MaxInt64
	}
	return now
}

func read() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(t.Nano()), nil
}
