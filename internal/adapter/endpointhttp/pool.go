package endpointhttp

import (
	"context"
	"slices"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// pool holds the connections to one endpoint incarnation.
type pool struct {
	address string
	limit   int
	// idleConns counts the idle connections of all pools.
	idleConns *idleCount
	// inUse is a semaphore with one element for each connection that is in use or
	// being dialed.
	inUse chan struct{}

	mu sync.Mutex
	// idle holds the connections without a request, the last returned one at the
	// end. Guarded by mu.
	idle []*conn
	// closed means that the incarnation was replaced or forgotten, or that the
	// Caller was closed. Guarded by mu.
	closed bool
	// unresponsiveAt is when a call to the endpoint last exceeded its deadline.
	// Connections whose lastAlive isn't later are not reused. Guarded by mu.
	unresponsiveAt time.Time
	// closedBefore holds the connections that were closed and not replaced, and usedAt
	// is when one was last requested. Guarded by mu.
	closedBefore origins
	usedAt       time.Time
}

func newPool(to port.Endpoint, idleConns *idleCount) *pool {
	limit := to.Connections
	if limit <= 0 {
		limit = defaultConnections
	}
	return &pool{address: to.Address, limit: limit, idleConns: idleConns, inUse: make(chan struct{}, limit)}
}

// acquire waits until the limit permits one more connection in use.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.inUse <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release undoes acquire.
func (p *pool) release() { <-p.inUse }

// reuse returns an idle connection that was last alive within maxAge and its own limit,
// and on which the endpoint didn't refuse a request with the ID. It checks the most recently
// returned connections first, closes those that aren't usable, and stops at the
// first one that is too old. If it finds none, it returns nil and why a new one is
// needed, and ensures that a new one keeps the pool within its limit. The caller must
// have called acquire.
func (p *pool) reuse(now time.Time, maxAge time.Duration, id string) (*conn, Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	skipped := Origin("")
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if now.Sub(c.lastAlive) > maxAge {
			skipped = OnceOnlyIdle // Sweep closes those that are too old for any request
			break
		}
		if c.refused[id] {
			skipped = NotAgain
			continue
		}
		p.takeIdle(i)
		cause := p.causeOfUnusable(now, c)
		if cause == "" {
			c.attachBuffers()
			return c, Reused
		}
		p.closeOne(c, cause)
	}
	p.makeRoom()
	if skipped != "" {
		return nil, skipped
	}
	return nil, p.causeOfNew()
}

// fresh ensures that a new connection keeps the pool within its limit, as reuse does.
func (p *pool) fresh(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = now
	p.makeRoom()
	p.causeOfNew()
}

// takeIdle removes an idle connection from the pool. The caller must hold mu.
func (p *pool) takeIdle(i int) {
	p.idle = slices.Delete(p.idle, i, i+1)
	p.idleConns.remove()
}

// causeOfNew returns why a new connection is opened. The caller must hold mu.
func (p *pool) causeOfNew() Origin {
	if cause, ok := p.closedBefore.take(); ok {
		return cause
	}
	if len(p.inUse) > 1 { // one is the caller's
		return AllInUse
	}
	return First
}

// causeOfUnusable returns why an idle connection isn't usable; empty if it is.
func (p *pool) causeOfUnusable(now time.Time, c *conn) Origin {
	switch {
	case !c.lastAlive.After(p.unresponsiveAt):
		return DeadlinePassed
	case now.Sub(c.lastAlive) > c.maxIdle:
		return Idle
	case !openWithoutInput(c.Conn):
		return EndpointClosed
	default:
		return ""
	}
}

// closeOne closes a connection and records why. The caller must hold mu.
func (p *pool) closeOne(c *conn, cause Origin) {
	_ = c.Close()
	p.closedBefore.add(cause)
}

// discard closes a connection that was in use and records why.
func (p *pool) discard(c *conn, cause Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeOne(c, cause)
}

// makeRoom closes the idle connection that was returned first if the connections
// idle and in use exceed the limit. The caller must hold mu.
func (p *pool) makeRoom() {
	if len(p.idle) > 0 && len(p.idle)+len(p.inUse) > p.limit {
		c := p.idle[0]
		p.takeIdle(0)
		p.closeOne(c, OverLimit)
	}
}

// put returns a connection to the pool. It was last alive at the given time.
func (p *pool) put(c *conn, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	if !p.idleConns.add() {
		p.closeOne(c, OverLimit)
		return
	}
	c.detachBuffers()
	c.lastAlive, c.used = at, true
	p.idle = append(p.idle, c)
}

// markUnresponsive closes the idle connections after a call exceeded its deadline.
func (p *pool) markUnresponsive(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unresponsiveAt = now
	p.closeIdle(func(c *conn) bool { return !c.lastAlive.After(now) }, DeadlinePassed)
}

// close closes the idle connections; from then on, put closes connections too.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(func(*conn) bool { return true }, Idle)
}

// sweep closes the connections that have been idle for their limits, and reports whether
// the pool wasn't used since unusedSince.
func (p *pool) sweep(now, unusedSince time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *conn) bool { return now.Sub(c.lastAlive) >= c.maxIdle }, Idle)
	return len(p.idle) == 0 && len(p.inUse) == 0 && p.usedAt.Before(unusedSince)
}

// closeIdle closes the idle connections that are due, for the given cause. The caller must
// hold mu.
func (p *pool) closeIdle(due func(*conn) bool, cause Origin) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if !due(c) {
			kept = append(kept, c)
			continue
		}
		p.idleConns.remove()
		p.closeOne(c, cause)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
