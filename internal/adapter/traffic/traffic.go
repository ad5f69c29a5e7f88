// Package traffic counts the bytes that a process sends and receives on connections.
package traffic

import (
	"errors"
	"net"
	"sync/atomic"
)

// Counter counts bytes. It is safe for concurrent use; a nil Counter counts nothing.
type Counter struct{ sent, received atomic.Int64 }

// Add adds bytes that were sent and received.
func (c *Counter) Add(sent, received int) {
	if c == nil {
		return
	}
	if sent > 0 {
		c.sent.Add(int64(sent))
	}
	if received > 0 {
		c.received.Add(int64(received))
	}
}

// Totals returns the bytes sent and received so far.
func (c *Counter) Totals() (sent, received int64) { return c.sent.Load(), c.received.Load() }

// Listener returns a listener whose connections are counted.
func (c *Counter) Listener(l net.Listener) net.Listener { return listener{l, c} }

type listener struct {
	net.Listener
	counter *Counter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return conn{c, l.counter}, nil
}

type conn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counter.Add(0, n)
	return n, err
}

// Write implements net.Conn.
func (c conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.Add(n, 0)
	return n, err
}

// NetConn returns the connection without the counter.
func (c conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, if the connection can do that.
func (c conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}
