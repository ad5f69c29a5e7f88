package pipelinehttp

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
)

// Service serves clients' requests. It is used by several goroutines at once.
type Service interface {
	// Stopping reports whether a planned stop has begun.
	Stopping() bool
	// MayRunConcurrently reports whether a request may run at the same time as others
	// of its connection: its method is safe, and its route allows repeated runs.
	MayRunConcurrently(r *http.Request) bool
	// Receive reads the request with its body and checks it. at is when its head had
	// been read; w is the writer of its response, to which nothing is written yet. It
	// returns accepted as false for a request that is answered without Run.
	Receive(w http.ResponseWriter, r *http.Request, at time.Time) (x Exchange, accepted bool)
}

// Exchange is a received request with its answer.
type Exchange interface {
	// Run runs the request and keeps its answer. concurrent means that earlier
	// requests of the connection may be unanswered yet, so that it must not run unless
	// its route allows repeated runs.
	Run(ctx context.Context, concurrent bool)
	// Bytes returns the size of the answer that is kept after Run.
	Bytes() int64
	// Write writes the answer. As a handler of net/http, it panics with
	// http.ErrAbortHandler if the answer breaks off.
	Write(w http.ResponseWriter)
	// Drop releases the request, and its answer if it was run, of an exchange that isn't
	// written.
	Drop()
}

// Options sets up a Handler. All fields but ClientIdleTimeout, RequestID and Budget are needed.
type Options struct {
	Clock  port.Clock
	Logger *slog.Logger
	Meter  port.PipelineMeter
	// ConnState is called with StateActive, StateIdle and StateClosed for connections
	// that were taken over, as http.Server does for the others.
	ConnState func(net.Conn, http.ConnState)
	// HeaderBytes, HeaderTimeout and IdleTimeout are those of the http.Server.
	HeaderBytes   int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// ClientIdleTimeout returns how long clients may keep a connection without a request, which
	// responses state in whole seconds. It may be nil: they don't state it. Connections must be
	// kept open for longer, since the last request may take a while to arrive.
	ClientIdleTimeout func() time.Duration
	// MaxLingering bounds the connections that net/http has closed and whose clients may still
	// read the last response. A limit of open connections doesn't count them. Beyond it,
	// connections are closed at once.
	MaxLingering int
	// RequestID returns the ID of a request for logs. It may be nil.
	RequestID func(*http.Request) string
	// Budget bounds the memory of all requests that are read ahead; nil means no bound.
	Budget *memory.Budget
}

// Handler serves the connections of one http.Server, which must use its ConnContext and
// the listener returned by Listener.
type Handler struct {
	service Service
	opts    Options
	// taken counts the open connections that were taken over.
	taken atomic.Int64
	// lingering closes connections of net/http behind a whole response.
	lingering  *linger.Closer
	takeovers  limitedEvent
	cutRecords limitedEvent
	keepAlive  atomic.Pointer[keepAliveValue]
}

// New returns a Handler.
func New(service Service, opts Options) *Handler {
	return &Handler{service: service, opts: opts, lingering: linger.New(opts.MaxLingering)}
}

// Connections returns the number of open connections that were taken over.
func (h *Handler) Connections() int64 { return h.taken.Load() }

// AwaitClosed waits until no connection of net/http lingers, or until ctx ends. A process that ends
// before that resets them.
func (h *Handler) AwaitClosed(ctx context.Context) { h.lingering.Wait(ctx) }

// ConnState must be set as http.Server.ConnState. It calls that of the Options.
func (h *Handler) ConnState(nc net.Conn, to http.ConnState) {
	if to == http.StateIdle {
		innerConn(nc).setPhase(between) // the connection stays open behind the response
	}
	h.opts.ConnState(nc, to)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	stopping := h.service.Stopping()
	switch {
	case stopping:
		w.Header().Set("Connection", "close")
	case !isFinal(r):
		h.setKeepAlive(w.Header())
	}
	// The last response on the connection may have left a limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
	c, _ := r.Context().Value(connKey{}).(*conn)
	at := h.opts.Clock.Now()
	c.beginServing(h, r, at)
	defer func() {
		if v := recover(); v != nil {
			h.recordPanic(v)
			panic(http.ErrAbortHandler) // net/http closes the connection
		}
	}()
	x, accepted := h.service.Receive(w, r, at)
	switch {
	case !accepted:
		c.unwatch()
		x.Write(w)
	case c == nil || stopping || isFinal(r):
		x.Run(r.Context(), false)
		c.unwatch()
		x.Write(w)
	default:
		h.serveWatched(c, w, r, x)
	}
	c.setPhase(responded)
}

// isFinal reports whether the connection isn't used for requests behind this one, or,
// with HTTP/1.0, only if its client waits for the answer.
func isFinal(r *http.Request) bool { return r.Close || !r.ProtoAtLeast(1, 1) }

// serveWatched serves a request and takes its connection over as soon as something
// arrives behind it.
func (h *Handler) serveWatched(c *conn, w http.ResponseWriter, r *http.Request, x Exchange) {
	complete := false
	defer func() {
		// After a panic, net/http doesn't close a connection that was taken over.
		if complete {
			return
		}
		if l := c.unwatch(); l != nil {
			<-l.hijacked
			l.end(reasonPanic)
		}
	}()
	c.watch(h, w, r, x)
	x.Run(r.Context(), false)
	l := c.unwatch()
	if l == nil {
		complete = true
		x.Write(w)
		return
	}
	<-l.hijacked
	l.finish(l.first)
	// Another goroutine may write the response. net/http cancels the context of the request,
	// within which the response may still be read from its endpoint, when the handler returns.
	<-l.firstEnded
	complete = true
}
