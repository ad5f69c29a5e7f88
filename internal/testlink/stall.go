package testlink

import (
	"net"
	"sync"
	"sync/atomic"
)

// Stall is a listener whose connections can stand still before they read from the kernel, as
// when the process isn't scheduled.
type Stall struct {
	net.Listener

	gate    sync.RWMutex
	reading atomic.Int64
	closed  atomic.Bool
}

// Accept implements net.Listener.
func (s *Stall) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{Conn: c, stall: s}, nil
}

// Close implements net.Listener.
func (s *Stall) Close() error {
	s.closed.Store(true)
	return s.Listener.Close()
}

// Closed reports whether Close was called.
func (s *Stall) Closed() bool { return s.closed.Load() }

// Reading returns the number of reads that wait for input.
func (s *Stall) Reading() int64 { return s.reading.Load() }

// Hold lets reads that begin from now on stand still, until Release.
func (s *Stall) Hold() { s.gate.Lock() }

// Release undoes Hold.
func (s *Stall) Release() { s.gate.Unlock() }

type stalledConn struct {
	net.Conn
	stall *Stall
}

// NetConn returns the connection of the underlying listener.
func (c *stalledConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *stalledConn) Read(p []byte) (int, error) {
	c.stall.gate.RLock()
	c.stall.gate.RUnlock() //nolint:staticcheck // waits while Hold is in force
	c.stall.reading.Add(1)
	defer c.stall.reading.Add(-1)
	return c.Conn.Read(p)
}
