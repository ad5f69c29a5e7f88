// Package bootclock reads a clock that goes on while the VM is suspended.
//
// The monotonic clock of time.Now, CLOCK_MONOTONIC on Linux, stands still during that time,
// so that what was valid before would count as valid after it.
package bootclock
