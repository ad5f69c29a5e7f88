package admission

import "time"

// Defaults of Config.
const (
	// DefaultUnresponsiveAfter is the time without an announcement after
	// which an endpoint is taken out of use.
	DefaultUnresponsiveAfter = 3 * time.Second
	// DefaultSlowStart is the time in which a cold endpoint grows to all its
	// slots.
	DefaultSlowStart = 10 * time.Second
	// DefaultSlowStartFloor is the part of its slots that a cold endpoint
	// starts with.
	DefaultSlowStartFloor = 0.2
	// DefaultMaxQueue bounds the queued requests of a group.
	DefaultMaxQueue = 4096
	// DefaultTombstoneTTL is how long an endpoint that is gone is remembered,
	// so that delayed announcements don't bring it back.
	DefaultTombstoneTTL = 10 * time.Minute
)

// Config holds the parameters of a group. Zero values mean the defaults.
type Config struct {
	// ReservePercent is the part of the group's slots that spilled-in
	// requests may not use; 0 to 100.
	ReservePercent int
	// MaxSlots bounds the slots of one endpoint; if it announces more, only
	// MaxSlots count. 0 sets no bound.
	MaxSlots int
	// UnresponsiveAfter is the time without an announcement after which an
	// endpoint is taken out of use.
	UnresponsiveAfter time.Duration
	// SlowStart is the time in which a cold endpoint grows to all its slots.
	SlowStart time.Duration
	// SlowStartFloor is the part of its slots that a cold endpoint starts
	// with.
	SlowStartFloor float64
	// MaxQueue bounds the queued requests of the group.
	MaxQueue int
	// TombstoneTTL is how long an endpoint that is gone is remembered.
	TombstoneTTL time.Duration
}

func (c Config) withDefaults() Config {
	if c.UnresponsiveAfter == 0 {
		c.UnresponsiveAfter = DefaultUnresponsiveAfter
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
	if c.TombstoneTTL == 0 {
		c.TombstoneTTL = DefaultTombstoneTTL
	}
	return c
}
