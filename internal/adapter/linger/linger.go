// Package linger closes connections behind a closing response so that the client can read it.
//
// http.Server closes such a connection at once. If the client has sent something that is unread,
// the kernel then resets the connection and drops what the client doesn't have yet. A connection
// that lingers ends its stream instead, and reads on until the client closes.
package linger

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/wait"
)

const (
	// Timeout bounds how long is read behind a closing response.
	Timeout = 500 * time.Millisecond
	// MaxBytes bounds how much is read behind a closing response.
	MaxBytes = 4 << 20
	// pollInterval is the time between two checks whether any connection lingers.
	pollInterval = 20 * time.Millisecond
)

// Closer closes connections that linger, and bounds their number. It is safe for concurrent use.
type Closer struct {
	maxOpen int64
	open    atomic.Int64
}

// New returns a Closer of which at most maxOpen connections linger at once. A limit of open
// connections doesn't count these, since the server has closed them.
func New(maxOpen int) *Closer { return &Closer{maxOpen: int64(maxOpen)} }

// TryClose ends the stream to the client and closes the connection once the client has closed its
// side, or at a bound. It doesn't block. It returns false, and does nothing, if too many
// connections linger.
func (l *Closer) TryClose(c net.Conn) bool {
	if l.open.Add(1) > l.maxOpen {
		l.open.Add(-1)
		return false
	}
	go func() {
		defer l.open.Add(-1)
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		_ = c.SetReadDeadline(time.Now().Add(Timeout))
		_, _ = io.CopyN(io.Discard, c, MaxBytes)
		_ = c.Close()
	}()
	return true
}

// Wait waits until no connection lingers, or until ctx ends. A process that ends before that
// resets them.
func (l *Closer) Wait(ctx context.Context) {
	for l.open.Load() > 0 && wait.For(ctx, pollInterval) {
	}
}
