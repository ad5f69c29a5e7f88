package cli

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
)

// callerServer is the HTTP server of callers or operators. Unlike http.Server.Shutdown, its
// stop answers each request that has arrived on an open connection, read or not.
type callerServer struct {
	http    *http.Server
	limiter *connlimit.Limiter
	idle    *idleconns.Reaper
	// listener must be set before serve and shutdown.
	listener net.Listener
	// stopping is true once shutdown has begun.
	stopping atomic.Bool
}

func newCallerServer(h http.Handler, limiter *connlimit.Limiter, clock port.Clock) *callerServer {
	s := &callerServer{limiter: limiter}
	s.idle = idleconns.New(clock, func() idleconns.Limits { return idleconns.Limits{} })
	s.http = &http.Server{
		Handler: callerhttp.CloseConnectionsWhen(s.stopping.Load, h),
		ConnState: func(c net.Conn, state http.ConnState) {
			limiter.ConnState(c, state)
			s.idle.ConnState(c, state)
		},
		IdleTimeout:       callerIdleTimeout,
		ReadHeaderTimeout: callerHeaderTimeout,
	}
	return s
}

// serve serves until shutdown, when it returns http.ErrServerClosed.
func (s *callerServer) serve() error {
	err := s.http.Serve(s.idle.Listener(s.limiter.Listener(s.listener)))
	if s.stopping.Load() {
		return http.ErrServerClosed // instead of the error of the closed listener
	}
	return err
}

// shutdown closes the listener, and each connection once it is idle. It returns when no
// connection is open; when ctx ends before, it closes the others and returns the error of ctx.
func (s *callerServer) shutdown(ctx context.Context) error {
	s.stopping.Store(true)
	return s.idle.Shutdown(ctx, s.http, s.listener)
}
