package endpointhttp

import (
	"context"
	"net"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// DefaultHoldBytes is the size up to which an answer's body is held whole.
	DefaultHoldBytes = 1 << 20

	defaultDialTimeout = time.Second
	defaultFreshWithin = time.Second
	defaultIdleTimeout = 10 * time.Second
	defaultUserTimeout = 2 * time.Second
	defaultConnections = 16
	maxHeaderBytes     = 256 << 10
	maxShedBytes       = 4 << 10
	maxInterim         = 5
	earlyAnswerWait    = 50 * time.Millisecond
	writeBufferBytes   = 16 << 10
	readBufferBytes    = 4 << 10
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options sets up a Caller. Zero values select defaults.
type Options struct {
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// FreshWithin is how long after its last answer a connection may carry a
	// once-only request.
	FreshWithin time.Duration
	// IdleTimeout is how long after its last answer a connection may carry any
	// request.
	IdleTimeout time.Duration
	// UserTimeout bounds how long sent data may stay unacknowledged, where the
	// kernel has TCP_USER_TIMEOUT (RFC 5482).
	UserTimeout time.Duration
	// HoldBytes is the size up to which an answer's body is held whole; the
	// rest of a larger one streams.
	HoldBytes int64
	// Clock times idle connections.
	Clock port.Clock
	// Dialect is what endpoints speak; zero means the system's own.
	Dialect Dialect
	// Dial replaces the package's own dialer.
	Dial DialFunc
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.FreshWithin, defaultFreshWithin)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.HoldBytes, DefaultHoldBytes)
	if o.Dialect.IDHeader == "" {
		o.Dialect = ownDialect()
	}
	if o.Clock == nil {
		o.Clock = port.ClockFunc(time.Now)
	}
	if o.Dial == nil {
		o.Dial = newDialer(o.UserTimeout).DialContext
	}
	return o
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// newDialer returns a dialer whose connections notice a dead peer soon.
func newDialer(userTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     time.Second,
			Interval: time.Second,
			Count:    3,
		},
		Control: setUserTimeout(userTimeout),
	}
}
