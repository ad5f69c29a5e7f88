package testlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Stall is a listener whose connections can stand still before they read from the kernel, as
// when the process isn't scheduled.
type Stall struct {
	net.Listener

	gate          sync.RWMutex
	reading, held atomic.Int64
	closed        atomic.Bool

	mu    sync.Mutex
	conns []*stalledConn
}

// Accept implements net.Listener.
func (s *Stall) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	sc := &stalledConn{Conn: c, stall: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, sc)
	return sc, nil
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

// Held returns the number of reads that stand still.
func (s *Stall) Held() int64 { return s.held.Load() }

// Hold lets reads that begin from now on stand still, until Release.
func (s *Stall) Hold() { s.gate.Lock() }

// Release undoes Hold.
func (s *Stall) Release() { s.gate.Unlock() }

// Pass lets the read deadlines pass that end within d from now.
func (s *Stall) Pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if t := c.deadline.Load(); t != nil && !t.IsZero() && time.Until(*t) < d {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

type stalledConn struct {
	net.Conn
	stall    *Stall
	deadline atomic.Pointer[time.Time]
}

// NetConn returns the connection of the underlying listener.
func (c *stalledConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *stalledConn) Read(p []byte) (int, error) {
	c.stall.held.Add(1)
	c.stall.gate.RLock()
	c.stall.gate.RUnlock() //nolint:staticcheck // waits while Hold is in force
	c.stall.held.Add(-1)
	c.stall.reading.Add(1)
	defer c.stall.reading.Add(-1)
	return c.Conn.Read(p)
}

// SetReadDeadline implements net.Conn.
func (c *stalledConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(&t)
	return c.Conn.SetReadDeadline(t)
}
