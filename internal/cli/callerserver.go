package cli

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/port"
)

const (
	// callerIdleTimeout is the time after which a sweep closes idle connections of callers. It
	// is longer than callers may use them (30 s, docs/callers.md), for requests on their way.
	callerIdleTimeout = 35 * time.Second
	// firstRequestTimeout is the time after which a sweep closes connections that have sent
	// nothing.
	firstRequestTimeout = 5 * time.Second
	// callerHeaderTimeout is the maximum time to read the header of a request. On a new
	// connection it includes the wait for the first byte.
	callerHeaderTimeout = 2 * firstRequestTimeout
	// lastIdleTimeout is http.Server's own idle timeout, which also closes connections on which
	// a request has arrived unread. It is so long that a sweep comes first.
	lastIdleTimeout = 3 * time.Minute
)

// callerServer is the HTTP server of callers or operators. Unlike http.Server's own timeout and
// Shutdown, its sweep and its stop never close an idle connection on which a request has
// arrived, whether that was read or not. A connection that is closed behind a response lingers, so
// that the caller's next request doesn't reset it before the caller has the response.
type callerServer struct {
	http    *http.Server
	limiter *connlimit.Limiter
	idle    *idleconns.Reaper
	// lingering closes connections behind a whole response.
	lingering *linger.Closer
	// listener must be set before serve and shutdown.
	listener net.Listener
	// stopping is true once shutdown has begun.
	stopping atomic.Bool
}

// newCallerServer returns a server of which at most maxLingering closed connections linger.
func newCallerServer(h http.Handler, limiter *connlimit.Limiter, maxLingering int, clock port.Clock) *callerServer {
	s := &callerServer{limiter: limiter, lingering: linger.New(maxLingering)}
	s.idle = idleconns.New(clock, func() idleconns.Limits {
		return idleconns.Limits{Header: firstRequestTimeout, Idle: callerIdleTimeout}
	})
	s.http = &http.Server{
		Handler:     linger.Handler(callerhttp.CloseConnectionsWhen(s.stopping.Load, h)),
		ConnContext: linger.ConnContext,
		ConnState: func(c net.Conn, state http.ConnState) {
			linger.ConnState(c, state)
			limiter.ConnState(c, state)
			s.idle.ConnState(c, state)
		},
		IdleTimeout:       lastIdleTimeout,
		ReadHeaderTimeout: callerHeaderTimeout,
	}
	return s
}

// serve serves until shutdown, when it returns http.ErrServerClosed.
func (s *callerServer) serve() error {
	err := s.http.Serve(s.idle.Listener(s.limiter.Listener(s.lingering.Listener(s.listener))))
	if s.stopping.Load() {
		return http.ErrServerClosed // instead of the error of the closed listener
	}
	return err
}

// sweep closes connections that are idle for too long. It should be called about once a second.
func (s *callerServer) sweep() { s.idle.Sweep() }

// shutdown closes the listener, and each connection once it is idle. It returns when no
// connection is open or lingers; when ctx ends before, it closes the open ones and returns the error of
// ctx.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	err := s.idle.Shutdown(ctx, s.http, s.listener)
	s.lingering.Wait(ctx)
	return err
}
