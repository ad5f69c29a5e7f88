package endpointhttp

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// pool holds the connections to one endpoint incarnation.
type pool struct {
	address string
	limit   int
	// using has one element for each connection that is in use or being dialed.
	using chan struct{}

	mu sync.Mutex
	// idle holds connections without a request, the last used at the end; must
	// hold mu.
	idle []*conn
	// closed says that the incarnation is gone; must hold mu.
	closed bool
	// suspect is when a connection to the endpoint last went silent; connections
	// not proven since then aren't reused. Must hold mu.
	suspect time.Time
}

func newPool(to port.Endpoint) *pool {
	limit := to.Connections
	if limit <= 0 {
		limit = defaultConnections
	}
	return &pool{address: to.Address, limit: limit, using: make(chan struct{}, limit)}
}

// acquire waits until one more connection may be in use.
func (p *pool) acquire(ctx context.Context) error {
	select {
	case p.using <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release ends the use that acquire began.
func (p *pool) release() { <-p.using }

// reuse returns an idle connection that was proven within maxAge, or nil when a
// new one is to be opened; there is room for it then. The caller has acquired.
func (p *pool) reuse(now time.Time, maxAge time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		if now.Sub(c.proven) > maxAge {
			break
		}
		p.idle = p.idle[:last]
		if c.proven.After(p.suspect) && quiet(c.Conn) {
			return c
		}
		_ = c.Close()
	}
	p.makeRoom()
	return nil
}

// makeRoom closes the oldest idle connection when idle ones and those in use
// would be more than the limit. Must hold mu.
func (p *pool) makeRoom() {
	if len(p.idle) > 0 && len(p.idle)+len(p.using) > p.limit {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
}

// put makes a connection idle after a whole answer.
func (p *pool) put(c *conn, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	c.proven = now
	p.idle = append(p.idle, c)
}

// distrust closes all idle connections, because one in use went silent.
func (p *pool) distrust(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.suspect = now
	p.closeIdle(now)
}

// close closes the idle connections and lets none become idle again.
func (p *pool) close(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(now)
}

// sweep closes the connections that were proven before oldest, and reports
// whether the pool is unused.
func (p *pool) sweep(oldest time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(oldest)
	return len(p.idle) == 0 && len(p.using) == 0
}

// closeIdle closes idle connections that weren't proven after the given time.
// Must hold mu.
func (p *pool) closeIdle(after time.Time) {
	kept := p.idle[:0]
	for _, c := range p.idle {
		if c.proven.After(after) {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}
