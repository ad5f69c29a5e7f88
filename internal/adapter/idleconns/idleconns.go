// Package idleconns closes idle connections of an HTTP server. Unlike the timeouts
// of http.Server, its limits may change while the server runs, and unlike those and
// http.Server.Shutdown it never closes a connection on which a next request has arrived,
// whether that was read or not: a process that gets little processor time may read it late.
//
// A connection is idle while no request is being received or handled on it, and the client has
// taken the last response.
package idleconns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// Limits are the maximum times that a connection may be idle; zero means no limit.
type Limits struct {
	// Header applies to a connection before the first byte of its first request.
	Header time.Duration
	// Idle applies to a connection after a response.
	Idle time.Duration
}

const (
	// shutdownPoll is the time between two checks of a shutdown.
	shutdownPoll = 20 * time.Millisecond
	// firstRequestWait is how long a shutdown waits for the first request of a
	// connection that was just accepted.
	firstRequestWait = 500 * time.Millisecond
	// headTime is how long the head of a request may take from its first byte, and
	// shutdownHeadTime is the same in a shutdown. http.Server's time for a head begins with the
	// fourth byte only.
	headTime         = 10 * time.Second
	shutdownHeadTime = time.Second
)

// Reaper tracks the idle connections of a server. It is safe for concurrent use.
type Reaper struct {
	clock  port.Clock
	limits func() Limits

	mu sync.Mutex
	// idle holds the idle connections. Guarded by mu.
	idle map[*conn]idleState
	// taken holds the open connections that a handler has taken over from the server.
	// Guarded by mu.
	taken map[*conn]bool
	// open counts the connections. Guarded by mu.
	open int
	// unreported counts the connections that were accepted and that the server hasn't reported
	// yet. A planned stop must wait for them, too.
	unreported atomic.Int64
}

// idleState holds the time since when a connection has been idle, how long it may be,
// where zero means no limit, and whether a response has been sent on it.
type idleState struct {
	since     time.Time
	limit     time.Duration
	responded bool
}

// New returns a Reaper that calls limits at each sweep.
func New(clock port.Clock, limits func() Limits) *Reaper {
	return &Reaper{clock: clock, limits: limits, idle: make(map[*conn]idleState), taken: make(map[*conn]bool)}
}

// Listener returns the listener that the server must use.
func (r *Reaper) Listener(l net.Listener) net.Listener { return listener{l, r} }

type listener struct {
	net.Listener
	reaper *Reaper
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.reaper.unreported.Add(1)
	out := &conn{Conn: c, reaper: l.reaper}
	out.unreported.Store(true)
	return out, nil
}

// conn is a connection that is closed as idle only if nothing of a next request has
// arrived. http.Server reports that state only after the request's head was read.
//
// The reader closes it: closeIdle only ends its read. So what the reader has just read, or
// what the kernel holds, counts, however long ago it arrived.
type conn struct {
	net.Conn
	reaper *Reaper
	// unreported is true from the acceptance until the server reports StateNew.
	unreported atomic.Bool

	mu sync.Mutex
	// received is true once a byte was read since the last response; closed once
	// the connection was closed as idle. Guarded by mu.
	received, closed bool
	// receivedAt is when that byte was read. Guarded by mu.
	receivedAt time.Time
	// ending means that closeIdle has ended the read, which may not have returned yet.
	// Guarded by mu.
	ending bool
	// deadline is that of reads as the owner of the connection has set it. Guarded by mu.
	deadline time.Time

	// activeLimit is the limit for idle connections when the last request was received, and
	// delivery follows how the client takes the last response. Guarded by the mu of the Reaper.
	activeLimit time.Duration
	delivery    linger.Delivery
}

// NetConn returns the connection of the server's own listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if again, closed := c.afterRead(n, err); closed {
			_ = c.Close()
			return 0, net.ErrClosed
		} else if !again {
			return n, err
		}
	}
}

// afterRead handles the result of a read. again means that closeIdle has ended it although
// bytes have arrived; closed, that the connection was closed as idle.
func (c *conn) afterRead(n int, err error) (again, closed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false, true
	}
	if n > 0 && !c.received {
		c.received, c.receivedAt = true, c.reaper.clock.Now()
	}
	if !c.ending {
		return false, false
	}
	c.ending = false
	_ = c.Conn.SetReadDeadline(c.deadline)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return false, false
	}
	if c.received || sockqueue.Pending(c.Conn) {
		return true, false
	}
	c.closed = true
	return false, true
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.ending = t, false
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.ending = t, false
	return c.Conn.SetDeadline(t)
}

// CloseWrite closes the sending side, if the connection can do that. The server uses it so
// that a client can read the response to a request whose body wasn't read to its end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// reported notes that the server has reported the connection or closes it.
func (c *conn) reported() {
	if c.unreported.CompareAndSwap(true, false) {
		c.reaper.unreported.Add(-1)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.reported()
	return c.Conn.Close()
}

// AwaitRequest marks that the next byte begins a request. A handler that has taken the
// connection over calls it before it reads that byte.
func (c *conn) AwaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// closeStopped closes the connection if a part of a head was received for longer than a limit
// ago and nothing more has arrived.
func (c *conn) closeStopped(now time.Time, limit time.Duration) {
	c.mu.Lock()
	stopped := c.received && !c.closed && now.Sub(c.receivedAt) > limit && !sockqueue.Pending(c.Conn)
	c.closed = c.closed || stopped
	c.mu.Unlock()
	if stopped {
		_ = c.Close()
	}
}

// closeOver closes the connection if it has been idle for longer than a limit, or if a head has
// stopped for longer than headLimit, unless the client still takes the last response. No limit
// is 0. The caller must hold the mu of the Reaper.
func (c *conn) closeOver(now time.Time, s idleState, limit, headLimit time.Duration) {
	idle := limit > 0 && now.Sub(s.since) > limit
	if !idle && !c.headStopped(now, headLimit) || s.responded && c.delivery.Pending(now, c.Conn) {
		return
	}
	if idle {
		c.closeIdle()
	}
	c.closeStopped(now, headLimit)
}

// headStopped reports whether a part of a head was received for longer than a limit ago.
func (c *conn) headStopped(now time.Time, limit time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.received && now.Sub(c.receivedAt) > limit
}

// closeIdle lets the reader close the connection unless something of a next request has
// arrived. If nobody reads at the moment, or its owner sets another deadline, a later call does.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.received && !c.closed {
		c.ending = true
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// ConnState must be set as http.Server.ConnState. A connection stays open for the Reaper
// when it is hijacked: the handler that has taken it over calls ConnState with StateActive,
// StateIdle and finally StateClosed.
func (r *Reaper) ConnState(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return // of another listener
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.idle, c)
	switch to {
	case http.StateNew:
		r.open++
		c.reported()
		r.idle[c] = idleState{since: r.clock.Now(), limit: r.limits().Header}
	case http.StateActive:
		c.activeLimit = r.limits().Idle
	case http.StateIdle:
		if !r.taken[c] {
			c.AwaitRequest()
		}
		// The client was told one of these with the response.
		r.idle[c] = idleState{r.clock.Now(), max(r.limits().Idle, c.activeLimit), true}
		c.delivery = linger.Delivery{}
	case http.StateHijacked:
		r.taken[c] = true
	case http.StateClosed:
		delete(r.taken, c)
		r.open--
	default:
	}
}

// Sweep closes the connections that exceed the limit that was in force when they became
// idle, or else the present one, and those on which a head has stopped. It should be called about once a second.
func (r *Reaper) Sweep() {
	now, limits := r.clock.Now(), r.limits()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.idle {
		limit := s.limit
		if limit == 0 {
			limit = limits.of(s)
		}
		c.closeOver(now, s, limit, headTime)
	}
}

// of returns the limit for a connection.
func (l Limits) of(s idleState) time.Duration {
	if s.responded {
		return l.Idle
	}
	return l.Header
}

// closeOver closes the connections that have been idle for longer than a limit, or on which a
// head has stopped.
func (r *Reaper) closeOver(limits Limits) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.idle {
		c.closeOver(now, s, limits.of(s), shutdownHeadTime)
	}
}

// closeTaken closes the connections that were taken over from the server.
func (r *Reaper) closeTaken() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.taken {
		_ = c.Close()
	}
}

// Shutdown closes the server's listener and each connection once it is idle. It
// returns when no connection is open; when ctx ends before, it closes the others and
// returns the error of ctx.
func (r *Reaper) Shutdown(ctx context.Context, s *http.Server, l net.Listener) error {
	_ = l.Close()
	for {
		r.closeOver(Limits{Header: firstRequestWait, Idle: time.Nanosecond})
		r.mu.Lock()
		open := r.open + int(r.unreported.Load())
		r.mu.Unlock()
		if open == 0 {
			// Close may find the listener that was closed above.
			if err := s.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
				return err
			}
			return nil
		}
		if !wait.For(ctx, shutdownPoll) {
			_ = s.Close()
			r.closeTaken()
			return ctx.Err()
		}
	}
}
