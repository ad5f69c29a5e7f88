// Package idleconns closes idle connections of an HTTP server. Unlike the timeouts
// of http.Server, its limits may change while the server runs, and unlike
// http.Server.Shutdown it never closes a connection whose next request was read.
//
// A connection is idle while no request is being received or handled on it.
package idleconns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

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
}

// idleState holds the time since when a connection has been idle, and whether a
// response has been sent on it.
type idleState struct {
	since     time.Time
	responded bool
}

// New returns a Reaper that calls limits at each sweep.
func New(clock port.Clock, limits func() Limits) *Reaper {
	return &Reaper{clock: clock, limits: limits, idle: make(map[*conn]idleState), taken: make(map[*conn]bool)}
}

// Listener returns the listener that the server must use.
func (r *Reaper) Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn is a connection that is closed as idle only if nothing of a next request
// was read from it. http.Server reports that state only after the request's head
// was read.
type conn struct {
	net.Conn

	mu sync.Mutex
	// received is true once a byte was read since the last response; closed once
	// the connection was closed as idle. Guarded by mu.
	received, closed bool
}

// NetConn returns the connection of the server's own listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed // what arrived meanwhile is not handled
	}
	c.received = c.received || n > 0
	return n, err
}

// CloseWrite closes the sending side, if the connection can do that. The server uses it so
// that a client can read the response to a request whose body wasn't read to its end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// AwaitRequest marks that the next byte begins a request. A handler that has taken the
// connection over calls it before it reads that byte.
func (c *conn) AwaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.received = false
}

// closeIdle closes the connection unless something of a next request was read.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.received && !c.closed {
		c.closed = true
		_ = c.Close()
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
		r.idle[c] = idleState{since: r.clock.Now()}
	case http.StateIdle:
		if !r.taken[c] {
			c.AwaitRequest()
		}
		r.idle[c] = idleState{r.clock.Now(), true}
	case http.StateHijacked:
		r.taken[c] = true
	case http.StateClosed:
		delete(r.taken, c)
		r.open--
	default:
	}
}

// Sweep closes the connections that exceed their limit. It should be called about
// once a second.
func (r *Reaper) Sweep() { r.closeOver(r.limits()) }

// closeOver closes the connections that have been idle for longer than a limit.
func (r *Reaper) closeOver(limits Limits) {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.idle {
		limit := limits.Header
		if s.responded {
			limit = limits.Idle
		}
		if limit > 0 && now.Sub(s.since) > limit {
			c.closeIdle()
		}
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
		open := r.open
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
