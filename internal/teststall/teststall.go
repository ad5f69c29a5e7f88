// Package teststall lets the reads of a server's connections stand still, as those of a process
// that isn't scheduled do.
package teststall

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Listener is a listener whose connections stand still in Read while one of its locks is held.
type Listener struct {
	net.Listener
	// Before is for reads that haven't read from the kernel, After for those that have.
	Before, After sync.RWMutex

	reading atomic.Int64
}

// AwaitRead waits until a connection reads from the kernel, so that Before doesn't stop that
// read. A handler of http.Server calls it, since the server reads in the background meanwhile.
func (l *Listener) AwaitRead() {
	for l.reading.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{c, l}, nil
}

type conn struct {
	net.Conn
	listener *Listener
}

// NetConn returns the connection of the underlying listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	wait(&c.listener.Before)
	c.listener.reading.Add(1)
	n, err := c.Conn.Read(p)
	c.listener.reading.Add(-1)
	wait(&c.listener.After)
	return n, err
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// wait waits while a test holds the lock.
func wait(l *sync.RWMutex) {
	l.RLock()
	defer l.RUnlock()
}
