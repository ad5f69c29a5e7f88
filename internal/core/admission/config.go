package admission

import "time"

// Defaults of Config.
const (
	// DefaultSilentAfter is the time without an announcement after which an
	// endpoint is gone.
	DefaultSilentAfter = 3 * time.Second
	// DefaultSlowStart is the time in which a cold endpoint grows to all its
	// slots.
	DefaultSlowStart = 10 * time.Second
	// DefaultSlowStartFloor is the part of its slots that a cold endpoint
	// begins with.
	DefaultSlowStartFloor = 0.2
	// DefaultMaxQueue bounds the requests that wait in one group.
	DefaultMaxQueue = 4096
	// DefaultForgetAfter is the time for which an endpoint that is gone is
	// remembered, so that late announcements don't bring it back.
	DefaultForgetAfter = 10 * time.Minute
)

// Config holds the parameters of a group. Zero values mean the defaults.
type Config struct {
	// ReservePercent is the part of the group's slots that spilled-in work may
	// not use; 0 to 100.
	ReservePercent int
	// MaxSlots bounds the slots that are believed of one endpoint; 0 means
	// unbounded.
	MaxSlots int
	// SilentAfter is the time without an announcement after which an endpoint
	// is gone.
	SilentAfter time.Duration
	// SlowStart is the time in which a cold endpoint grows to all its slots.
	SlowStart time.Duration
	// SlowStartFloor is the part of its slots that a cold endpoint begins with.
	SlowStartFloor float64
	// MaxQueue bounds the requests that wait.
	MaxQueue int
	// ForgetAfter is the time for which an endpoint that is gone is remembered.
	ForgetAfter time.Duration
}

func (c Config) withDefaults() Config {
	if c.SilentAfter == 0 {
		c.SilentAfter = DefaultSilentAfter
	}
	if c.SlowStart == 0 {
		c.SlowStart = DefaultSlowStart
	}
	if c.SlowStartFloor == 0 {
		c.SlowStartFloor = DefaultSlowStartFloor
	}
	if c.MaxQueue == 0 {
		c.MaxQueue = DefaultMaxQueue
	}
	if c.ForgetAfter == 0 {
		c.ForgetAfter = DefaultForgetAfter
	}
	return c
}
