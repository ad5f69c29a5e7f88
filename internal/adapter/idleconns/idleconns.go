// Package idleconns closes the connections to an HTTP server that carry nothing
// for longer than limits which may change while the server runs.
package idleconns

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// Limits are how long a connection may carry nothing; zero sets no limit.
type Limits struct {
	// Header is for a connection that hasn't sent its first request yet.
	Header time.Duration
	// Idle is for one that has been answered.
	Idle time.Duration
}

// Reaper follows the connections of a server. It is safe for concurrent use.
type Reaper struct {
	clock  port.Clock
	limits func() Limits

	mu sync.Mutex
	// quiet holds since when a connection carries nothing; must hold mu.
	quiet map[net.Conn]state
}

type state struct {
	since    time.Time
	answered bool
}

// New returns a reaper that asks for the limits at each sweep.
func New(clock port.Clock, limits func() Limits) *Reaper {
	return &Reaper{clock: clock, limits: limits, quiet: make(map[net.Conn]state)}
}

// ConnState is the hook of http.Server.
func (r *Reaper) ConnState(c net.Conn, to http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch to {
	case http.StateNew, http.StateIdle:
		r.quiet[c] = state{r.clock.Now(), to == http.StateIdle}
	default:
		delete(r.quiet, c)
	}
}

// Sweep closes the connections whose time is over. It is meant to be called about
// once a second.
func (r *Reaper) Sweep() {
	limits := r.limits()
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.quiet {
		limit := limits.Header
		if s.answered {
			limit = limits.Idle
		}
		if limit > 0 && now.Sub(s.since) > limit {
			delete(r.quiet, c)
			_ = c.Close() // it carries nothing that could be lost
		}
	}
}
