// Package pacedconn sends large responses on clients' connections in pieces that a
// pacing.Pacer spaces, so that they don't hold up what else the VM sends.
package pacedconn

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/core/pacing"
	"sassafrasreach/internal/port"
)

// Listener returns a listener whose connections share a link with a capacity in bits per
// second in each direction. With 0, the capacity isn't known and nothing is paced.
func Listener(l net.Listener, linkBitsPerSecond float64, clock port.Clock) net.Listener {
	if linkBitsPerSecond <= 0 {
		return l
	}
	return &listener{Listener: l, clock: clock, pacer: pacing.New(linkBitsPerSecond)}
}

type listener struct {
	net.Listener
	clock port.Clock

	mu sync.Mutex
	// pacer is guarded by mu.
	pacer *pacing.Pacer
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, listener: l}, nil
}

// await waits until n bytes may be sent, and returns how long that took.
func (l *listener) await(n int) time.Duration {
	l.mu.Lock()
	began := l.clock.Now()
	wait := l.pacer.Reserve(began, n)
	l.mu.Unlock()
	if wait <= 0 {
		return 0
	}
	time.Sleep(wait)
	return l.clock.Now().Sub(began)
}

// conn paces what is written beyond pacing.SmallBytes since the client last sent something,
// which is taken for the next request.
type conn struct {
	net.Conn
	listener *listener
	written  atomic.Int64

	mu sync.Mutex
	// writeDeadline is zero if there is none. Guarded by mu.
	writeDeadline time.Time
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeDeadline = t
	return c.Conn.SetWriteDeadline(t)
}

// postpone moves the deadline for writing by the time that a piece has waited, which isn't
// the client's. A deadline that had passed before stays.
func (c *conn) postpone(waited time.Duration) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waited <= 0 || c.writeDeadline.IsZero() || c.writeDeadline.Before(c.listener.clock.Now().Add(-waited)) {
		return nil
	}
	c.writeDeadline = c.writeDeadline.Add(waited)
	return c.Conn.SetWriteDeadline(c.writeDeadline)
}

// NetConn returns the connection of the underlying listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.written.Store(0)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if c.written.Add(int64(len(p))) <= pacing.SmallBytes {
		return c.Conn.Write(p)
	}
	sent := 0
	for sent < len(p) {
		piece := p[sent:min(len(p), sent+pacing.PieceBytes)]
		if err := c.postpone(c.listener.await(len(piece))); err != nil {
			return sent, err
		}
		n, err := c.Conn.Write(piece)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}
