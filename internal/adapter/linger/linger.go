// Package linger closes connections so that their clients get what was written to them.
//
// http.Server closes a connection at once. If the client has sent something that is unread, or
// sends something later, the kernel resets the connection and drops what the client doesn't have
// yet, which may be most of a response: a write returns once the kernel has the bytes. A connection
// that lingers ends its stream instead, and is closed when the client has taken the rest.
package linger

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/adapter/delivery"
	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/wait"
)

const (
	// Timeout bounds how long is read behind a closing response that the client has taken.
	Timeout = 500 * time.Millisecond
	// maxBytes bounds how much is read behind a closing response.
	maxBytes = 4 << 20
	// pollInterval is the time between two checks whether any connection lingers, and whether a
	// client has taken what was written.
	pollInterval = 20 * time.Millisecond
	// readInterval is the same while input is read.
	readInterval = 100 * time.Millisecond
)

// Closer closes connections that linger, and bounds their number. It is safe for concurrent use.
type Closer struct {
	maxOpen int64
	open    atomic.Int64
}

// New returns a Closer of which at most maxOpen connections linger at once. A limit of open
// connections doesn't count these, since the server has closed them.
func New(maxOpen int) *Closer { return &Closer{maxOpen: int64(maxOpen)} }

// TryClose ends the stream to the client behind a closing response. It closes the connection as
// Drain does. It doesn't block. It returns false, and does nothing, if too many
// connections linger.
func (l *Closer) TryClose(c net.Conn) bool { return l.try(c, Drain) }

// TryDeliver ends the stream to a client that may not have the last response yet, and closes the
// connection once it has. Nothing is read, so that the client learns that a request which it
// sends meanwhile wasn't. It doesn't block. It returns false, and does nothing, if too many
// connections linger.
func (l *Closer) TryDeliver(c net.Conn) bool { return l.try(c, deliver) }

func (l *Closer) try(c net.Conn, await func(net.Conn)) bool {
	if l.open.Add(1) > l.maxOpen {
		l.open.Add(-1)
		return false
	}
	go func() {
		defer l.open.Add(-1)
		if half, ok := c.(interface{ CloseWrite() error }); ok {
			_ = half.CloseWrite()
		}
		await(c)
		_ = c.Close()
	}()
	return true
}

// Drain reads from a connection whose stream has ended until the client has closed its side, too,
// or Timeout after the client has taken what was written. It reads maxBytes at most, and ends
// early if the client stops taking what was written.
func Drain(c net.Conn) {
	var d Delivery
	left, end := int64(maxBytes), time.Now().Add(Timeout)
	for time.Now().Before(end) {
		pending := d.Pending(time.Now(), c)
		if pending {
			end = time.Now().Add(Timeout)
		}
		if left == 0 {
			time.Sleep(pollInterval)
			continue
		}
		_ = c.SetReadDeadline(time.Now().Add(readInterval))
		n, err := io.CopyN(io.Discard, c, left)
		left -= n
		switch {
		case err == nil || errors.Is(err, os.ErrDeadlineExceeded):
		case pending && errors.Is(err, io.EOF):
			deliver(c) // a client that has closed its sending side may still read
			return
		default:
			return
		}
	}
}

// deliver waits until the client has taken what was written, or takes no more of it.
func deliver(c net.Conn) {
	var d Delivery
	for d.Pending(time.Now(), c) {
		time.Sleep(pollInterval)
	}
}

// Delivery follows how a client takes what was written to its connection. Its zero value is
// ready to use. It isn't safe for concurrent use.
type Delivery struct {
	// unsent is what the client hadn't taken at since, when it had last taken
	// delivery.PieceBytes.
	unsent int
	since  time.Time
}

// Pending reports whether the client hasn't taken all that was written, and still takes
// delivery.PieceBytes in each delivery.Patience. One that doesn't is cut off, as it is
// while a response is written.
func (d *Delivery) Pending(now time.Time, c net.Conn) bool {
	n := sockqueue.Unsent(c)
	if n == 0 {
		*d = Delivery{}
		return false
	}
	if d.since.IsZero() || n > d.unsent || d.unsent-n >= delivery.PieceBytes {
		d.unsent, d.since = n, now
	}
	return now.Sub(d.since) < delivery.Patience
}

// Wait waits until no connection lingers, or until ctx ends. A process that ends before that
// resets them.
func (l *Closer) Wait(ctx context.Context) {
	for l.open.Load() > 0 && wait.For(ctx, pollInterval) {
	}
}
