package endpointhttp

import (
	"context"
	"math"
	"net"
	"time"

	"sassafrasreach/internal/adapter/traffic"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

const (
	// DefaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
	DefaultMaxBufferedBytes = 1 << 20

	// DefaultMaxHeldBytes is the default of Options.MaxHeldBytes.
	DefaultMaxHeldBytes = 64 << 20

	// DefaultStreamBufferBytes is the default of Options.StreamBufferBytes.
	DefaultStreamBufferBytes = 1 << 20

	// freeHeadBytes and freeBodyBytes are the parts of a response head and body that
	// don't count for MaxHeldBytes.
	freeHeadBytes = 8 << 10
	freeBodyBytes = 16 << 10
	// parsedHeadCost is how many bytes a byte of a head may take once it is parsed: a
	// head of short lines takes far more memory than it has bytes.
	parsedHeadCost = 16

	defaultDialTimeout     = time.Second
	defaultOnceOnlyMaxIdle = time.Second
	defaultIdleTimeout     = 10 * time.Second
	defaultUserTimeout     = 2 * time.Second
	defaultConnections     = 16
	// poolRetention is how long the causes of closed connections to an endpoint are kept
	// after its last request.
	poolRetention     = time.Minute
	maxHeaderBytes    = 256 << 10
	maxShedBytes      = 4 << 10
	maxRefusedIDs     = 64
	maxInterim        = 5
	earlyResponseWait = 50 * time.Millisecond
	shedBodyWait      = 50 * time.Millisecond
	writeBufferBytes  = 16 << 10
	readBufferBytes   = 4 << 10
)

// DialFunc opens a connection; net.Dialer.DialContext is one.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options sets up a Caller. Zero values select defaults.
type Options struct {
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// OnceOnlyMaxIdle is how long after its last response a connection may be
	// reused for a once-only request.
	OnceOnlyMaxIdle time.Duration
	// IdleTimeout is how long after its last response a connection may be reused
	// for any other request. Sweep closes connections that are idle for longer.
	IdleTimeout time.Duration
	// MaxStatedIdle bounds the time that an endpoint states in Keep-Alive, which then
	// replaces IdleTimeout; 0 means that the statement isn't used.
	MaxStatedIdle time.Duration
	// MaxIdleConnections bounds the idle connections to all endpoints together; 0 sets no
	// bound.
	MaxIdleConnections int64
	// ResendReset means that a request that may run twice is sent again, once, on a new
	// connection if its reused connection is reset before any byte of a response. A call
	// then writes its request at most twice.
	ResendReset bool
	// UserTimeout limits how long sent data may stay unacknowledged, on kernels
	// with TCP_USER_TIMEOUT (RFC 5482).
	UserTimeout time.Duration
	// MaxBufferedBytes is the size up to which a response body is buffered; the
	// remainder of a larger body is streamed.
	MaxBufferedBytes int64
	// StreamBufferBytes is how much of a streamed response is read from the endpoint
	// ahead of its reader.
	StreamBufferBytes int64
	// MaxHeldBytes bounds the memory of all responses together, from the first byte
	// until their Release. Small ones don't count.
	MaxHeldBytes int64
	// Memory, if not nil, is charged instead of a budget of MaxHeldBytes.
	Memory *memory.Budget
	// Traffic counts the bytes of all connections; nil counts nothing.
	Traffic *traffic.Counter
	// Clock measures how long connections are idle.
	Clock port.Clock
	// OnConnection is called with the origin of the connection of each request. It must
	// not block.
	OnConnection func(Origin)
	// HeaderConvention is the header convention of the endpoints. An empty
	// IDHeader selects the one of endpoints that announce themselves to entry VMs.
	HeaderConvention HeaderConvention
	// Dial replaces the default dialer.
	Dial DialFunc
}

func (o Options) withDefaults() Options {
	setDefault(&o.DialTimeout, defaultDialTimeout)
	setDefault(&o.OnceOnlyMaxIdle, defaultOnceOnlyMaxIdle)
	setDefault(&o.IdleTimeout, defaultIdleTimeout)
	setDefault(&o.MaxIdleConnections, math.MaxInt64)
	setDefault(&o.UserTimeout, defaultUserTimeout)
	setDefault(&o.MaxBufferedBytes, DefaultMaxBufferedBytes)
	setDefault(&o.StreamBufferBytes, DefaultStreamBufferBytes)
	setDefault(&o.MaxHeldBytes, DefaultMaxHeldBytes)
	if o.HeaderConvention.IDHeader == "" {
		o.HeaderConvention = defaultHeaderConvention()
	}
	if o.Clock == nil {
		o.Clock = port.ClockFunc(time.Now)
	}
	if o.OnConnection == nil {
		o.OnConnection = func(Origin) {}
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

// newDialer returns a dialer whose connections detect an unreachable peer quickly,
// by keep-alive probes and, where available, by TCP_USER_TIMEOUT.
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
