// Package connlimit bounds the open connections of an HTTP server and the memory of the
// heads that are read from them. When there is no room for another connection, it closes
// one that sends no requests: first those that never sent one, then those that are idle. It
// doesn't close one whose next request has arrived, read or not. One whose client hasn't taken
// the last response is closed only if there is no other.
package connlimit

import (
	"cmp"
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

const (
	// headGrace is the time that a new connection has for the head of its first request, and
	// each head from its first byte on, before the connection may be closed for another one.
	headGrace = 500 * time.Millisecond
	// closingSlack is how many connections may be open beyond the limit while others are
	// being closed for them.
	closingSlack = 16
	// maxLookedAt bounds the connections that are looked at to find one that can be closed.
	maxLookedAt = 16
	// freeHeadBytes is the part of a head that isn't charged, and parsedHeadCost what a
	// byte beyond it may take once it is parsed: a head of short lines takes far more
	// memory than it has bytes.
	freeHeadBytes  = 8 << 10
	parsedHeadCost = 16
)

// Reasons of refusals.
const (
	reasonLimit = "connections"
	reasonIdle  = "idle-connection"
	reasonHead  = "head-memory"
)

var errHeadMemory = errors.New("no memory is left for the head of the request")

// Options sets up a Limiter.
type Options struct {
	// Max bounds the open connections.
	Max int
	// Budget is charged for each connection and for large heads.
	Budget *memory.Budget
	Clock  port.Clock
	// MakeRoom ends a request that doesn't get on, so that its connection is closed. It
	// returns false if there is none.
	MakeRoom func() bool
	// Refused is called for each connection that was refused or closed, with the reason
	// and the client's address.
	Refused func(reason, address string)
}

// Limiter bounds the connections of one server. It is safe for concurrent use.
type Limiter struct {
	opts Options

	mu sync.Mutex
	// open counts the open connections. Guarded by mu.
	open int
	// unserved holds those that never sent a whole request, and idle those that wait for
	// their next one, each longest first. Guarded by mu.
	unserved, idle *list.List
}

// New returns a Limiter.
func New(opts Options) *Limiter { return &Limiter{opts: opts, unserved: list.New(), idle: list.New()} }

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Listener returns the listener that the server must use.
func (l *Limiter) Listener(inner net.Listener) net.Listener { return listener{inner, l} }

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.limiter.admit(raw); c != nil {
			return c, nil
		}
		l.limiter.opts.Refused(reasonLimit, raw.RemoteAddr().String())
		_ = raw.Close()
	}
}

// conn is an open connection. The fields below the account are guarded by the mu of the
// Limiter.
type conn struct {
	net.Conn
	limiter *Limiter
	account *memory.Account

	// waiting is the list that holds the connection, and element its place there; nil while
	// the head of a request was read and its response isn't complete, and once it is closed.
	waiting *list.List
	element *list.Element
	closed  bool
	// since is when the connection was accepted.
	since time.Time
	// headBytes is what was read of the next head, and headCharge what was taken for it.
	headBytes, headCharge int64

	// begunAt is when the first byte of the next head was read, in nanoseconds since 1970; 0
	// before. It is set at once behind the read, without the mu of the Limiter.
	begunAt atomic.Int64
}

// admit returns the connection if there is room for it, or was made.
func (l *Limiter) admit(raw net.Conn) *conn {
	c := &conn{Conn: raw, limiter: l, account: l.opts.Budget.OpenFor(memory.Connections), since: l.opts.Clock.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.opts.Max && !l.closeLeastUseful() && (l.open >= l.opts.Max+closingSlack || !l.opts.MakeRoom()) {
		return nil
	}
	if !c.account.TakeConnection() && (!l.closeLeastUseful() || !c.account.TakeConnection()) {
		return nil
	}
	l.open++
	c.wait(l.unserved)
	return c
}

// wait moves the connection to the end of a list, or to none. The caller must hold the mu of
// the Limiter.
func (c *conn) wait(in *list.List) {
	if c.waiting != nil {
		c.waiting.Remove(c.element)
	}
	if c.waiting = in; in != nil {
		c.element = in.PushBack(c)
	}
}

// closeLeastUseful closes the connection that leastUseful returns; false if there is none.
// Must hold mu.
func (l *Limiter) closeLeastUseful() bool {
	victim := l.leastUseful()
	if victim == nil {
		return false
	}
	l.remove(victim)
	l.opts.Refused(reasonIdle, victim.RemoteAddr().String())
	_ = victim.Conn.Close()
	return true
}

// leastUseful returns the connection to close for another one: the oldest that never sent
// a request, else the one that has been idle for longest; nil if there is none. Must hold
// mu.
func (l *Limiter) leastUseful() *conn {
	now := l.opts.Clock.Now()
	if c := firstClosable(l.unserved, now, headGrace); c != nil {
		return c
	}
	return firstClosable(l.idle, now, 0)
}

// firstClosable returns the first connection of a list from which nothing has arrived since its
// last response, else the first one with a part of a head that has stopped, else the first one
// whose client hasn't taken the last response; nil if there is none
// among the first maxLookedAt that were accepted longer ago than grace. Others aren't closed:
// what has arrived may be a whole request, which would be lost.
func firstClosable(in *list.List, now time.Time, grace time.Duration) *conn {
	var stopped, unread *conn
	lookedAt := 0
	for e := in.Front(); e != nil && lookedAt < maxLookedAt; e = e.Next() {
		c := e.Value.(*conn)
		if now.Sub(c.since) < grace {
			break
		}
		lookedAt++
		begun := c.begunAt.Load()
		switch {
		case begun != 0 && (stopped != nil || now.Sub(time.Unix(0, begun)) < headGrace):
		case sockqueue.Pending(c.Conn):
		case sockqueue.Unsent(c.Conn) > 0:
			unread = cmp.Or(unread, c)
		case begun != 0:
			stopped = c
		default:
			return c
		}
	}
	return cmp.Or(stopped, unread)
}

// remove gives back what a connection holds. Must hold mu.
func (l *Limiter) remove(c *conn) {
	if c.closed {
		return
	}
	c.closed = true
	l.open--
	c.wait(nil)
	c.account.Close()
}

// ConnState must be called with the states of the server's connections.
func (l *Limiter) ConnState(nc net.Conn, to http.ConnState) {
	c := unwrap(nc)
	if c == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case c.closed:
	case to == http.StateActive:
		c.wait(nil)
	case to == http.StateIdle:
		c.wait(l.idle)
		c.account.Return(c.headCharge)
		c.headBytes, c.headCharge = 0, 0
		c.begunAt.Store(0)
	}
}

// unwrap returns the connection that other listeners have wrapped.
func unwrap(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		outer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = outer.NetConn()
	}
}

// Read implements net.Conn. It fails if there is no memory for the head that is read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begunAt.CompareAndSwap(0, c.limiter.opts.Clock.Now().UnixNano())
	}
	if !c.chargeHead(int64(n)) {
		c.limiter.opts.Refused(reasonHead, c.RemoteAddr().String())
		_ = c.Close()
		return 0, errHeadMemory
	}
	return n, err
}

// chargeHead charges bytes that were read, if they belong to a head.
func (c *conn) chargeHead(n int64) bool {
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.waiting == nil {
		return true // a body
	}
	before := max(c.headBytes, freeHeadBytes)
	c.headBytes += n
	charge := max(c.headBytes-before, 0) * parsedHeadCost
	if charge == 0 {
		return true
	}
	if !c.account.Take(charge) {
		return false
	}
	c.headCharge += charge
	return true
}

// NetConn returns the connection of the underlying listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.remove(c)
	c.limiter.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}
