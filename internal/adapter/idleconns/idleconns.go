// Package idleconns closes idle connections of an HTTP server. Unlike the timeouts
// of http.Server, its limits may change while the server runs.
//
// A connection is idle while no request is being received or handled on it.
package idleconns

import (
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// Limits are the maximum times that a connection may be idle; zero means no limit.
type Limits struct {
	// Header applies to a connection before the first byte of its first request.
	Header time.Duration
	// Idle applies to a connection after a response.
	Idle time.Duration
}

// Reaper tracks the idle connections of a server. It is safe for concurrent use.
type Reaper struct {
	clock  port.Clock
	limits func() Limits

	mu sync.Mutex
	// idle holds the idle connections. Guarded by mu.
	idle map[net.Conn]idleState
}

// idleState holds the time since when a connection has been idle, and whether a
// response has been sent on it.
type idleState struct {
	since     time.Time
	responded bool
}

// New returns a Reaper that calls limits at each sweep.
func New(clock port.Clock, limits func() Limits) *Reaper {
	return &Reaper{clock: clock, limits: limits, idle: make(map[net.Conn]idleState)}
}

// ConnState must be set as http.Server.ConnState.
func (r *Reaper) ConnState(c net.Conn, to http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch to {
	case http.StateNew, http.StateIdle:
		r.idle[c] = idleState{r.clock.Now(), to == http.StateIdle}
	default:
		delete(r.idle, c)
	}
}

// Sweep closes the connections that exceed their limit. It should be called about
// once a second.
func (r *Reaper) Sweep() {
	limits := r.limits()
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.idle {
		limit := limits.Header
		if s.responded {
			limit = limits.Idle
		}
		if limit > 0 && now.Sub(s.since) > limit {
			delete(r.idle, c)
			_ = c.Close() // no request is being handled on it
		}
	}
}
