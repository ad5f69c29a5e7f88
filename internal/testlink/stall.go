package testlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Stall is a listener whose connections can stand still before they read from the kernel, or
// behind that, as when the process isn't scheduled.
type Stall struct {
	net.Listener

	gate, gateBehind sync.RWMutex

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

// HoldBehind lets reads stand still once they have read from the kernel, until ReleaseBehind.
func (s *Stall) HoldBehind() { s.gateBehind.Lock() }

// ReleaseBehind undoes HoldBehind.
func (s *Stall) ReleaseBehind() { s.gateBehind.Unlock() }

// AwaitRead waits until a read waits for input, which Hold doesn't stop. A handler of http.Server
// calls it before Hold, since the server reads in the background meanwhile.
func (s *Stall) AwaitRead() {
	for s.Reading() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// Pass lets the read deadlines pass that end within d from now.
func (s *Stall) Pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		if n := c.deadline.Load(); n > 0 && time.Until(time.Unix(0, n)) < d {
			_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
}

type stalledConn struct {
	net.Conn
	stall *Stall
	// deadline is that of reads, in nanoseconds since 1970; not positive if there is none.
	deadline atomic.Int64
}

// NetConn returns the connection of the underlying listener.
func (c *stalledConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *stalledConn) Read(p []byte) (int, error) {
	c.stall.held.Add(1)
	await(&c.stall.gate)
	c.stall.held.Add(-1)
	c.stall.reading.Add(1)
	n, err := c.Conn.Read(p)
	c.stall.reading.Add(-1)
	await(&c.stall.gateBehind)
	return n, err
}

// await waits while a gate is held.
func await(gate *sync.RWMutex) {
	gate.RLock()
	defer gate.RUnlock()
}

// CloseWrite closes the sending side.
func (c *stalledConn) CloseWrite() error { return c.Conn.(*net.TCPConn).CloseWrite() }

// SetReadDeadline implements net.Conn.
func (c *stalledConn) SetReadDeadline(t time.Time) error {
	c.deadline.Store(t.UnixNano())
	return c.Conn.SetReadDeadline(t)
}
