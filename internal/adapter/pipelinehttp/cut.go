package pipelinehttp

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/event"
)

// phase is the progress of the request that net/http serves on a connection.
type phase int

const (
	// between: no request is being served; the head of one may have been read in part.
	between phase = iota
	// serving: the handler has the head of a request.
	serving
	// responded: the handler has written the response, which net/http may still hold.
	responded
)

// Who ended a connection, as logged and counted.
const (
	byClient  = "client"
	byGateway = "gateway"
)

// Reasons for which a request was cut on a connection of net/http; those of connections that
// were taken over are endReasons.
const (
	cutLeft     = "client-left"
	cutWrite    = "write-failed"
	cutAborted  = "aborted"
	cutUnserved = "unserved"
	cutUnread   = "input-unread"
)

// requestState is what a connection remembers of its current request, to tell at its end whether
// that got its whole response. It is guarded by the mu of the conn.
type requestState struct {
	phase phase
	// request is the ID, and at when the head had been read.
	request string
	at      time.Time
	// peerErr is the first error of a read that came from the client or the network, writeErr
	// the first of a write. leftAt is the phase in which peerErr came.
	peerErr, writeErr error
	leftAt            phase
	// written counts the bytes that were written since the request was received.
	written int64
	closed  bool
}

// readFailed notes an error of a read that this process hasn't caused. Deadlines are set by this
// process, also to end a read.
func (s *requestState) readFailed(err error) {
	if s.peerErr == nil && !s.closed && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, net.ErrClosed) {
		s.peerErr, s.leftAt = err, s.phase
	}
}

// cause returns who ended the connection before the whole response was written, and why; ""
// if the response is whole. received is the number of bytes that were read of a request that
// wasn't served.
func (s *requestState) cause(received int64) (by, why string) {
	switch {
	case s.peerErr != nil && s.leftAt == serving:
		return byClient, cutLeft
	case s.peerErr != nil && s.phase != serving:
		return "", ""
	case s.writeErr != nil:
		return byGateway, cutWrite
	case s.phase == serving:
		return byGateway, cutAborted
	case received > 0 && s.phase == between:
		return byGateway, cutUnserved
	default:
		return "", ""
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.written += int64(n)
	if err != nil && c.current.writeErr == nil && !c.current.closed {
		c.current.writeErr = err
	}
	return n, err
}

// Close implements net.Conn. It lets the client read the response behind which the connection is
// closed, or a former one that it hasn't read yet. It records a request that is cut off by it; a
// loop that has taken the connection over records its own.
func (c *conn) Close() error {
	c.mu.Lock()
	first, state, h := !c.current.closed, c.current, c.handler
	c.current.closed = true
	received := c.scan.total
	if c.behind {
		received++
	}
	ownedByServer := c.state != takenOver
	c.mu.Unlock()
	whole := first && ownedByServer && h != nil && state.peerErr == nil && state.writeErr == nil
	if whole && state.phase == responded && h.lingering.TryClose(c.Conn) {
		return nil
	}
	if first && ownedByServer && h != nil {
		by, why := state.cause(received)
		if why == "" && state.peerErr == nil && sockqueue.Pending(c.Conn) {
			by, why = byGateway, cutUnread
		}
		if why == cutUnserved {
			state.request = "" // that of the one before
		}
		if why != "" {
			h.recordCut(cut{
				request: state.request, client: c.RemoteAddr(), by: by, why: why, at: state.at, written: state.written, received: received,
				err: errors.Join(state.peerErr, state.writeErr),
			})
		}
	}
	if whole && state.phase == between && sockqueue.Unsent(c.Conn) > 0 && h.lingering.TryDeliver(c.Conn) {
		return nil
	}
	return c.Conn.Close()
}

// setPhase notes the progress of the request that net/http serves. c may be nil.
func (c *conn) setPhase(p phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current.phase = p
}

// beginServing notes that the handler has a request. c may be nil.
func (c *conn) beginServing(h *Handler, r *http.Request, at time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler = h
	c.current.phase, c.current.request, c.current.at, c.current.written = serving, h.requestID(r), at, 0
}

// cut describes a request that didn't get its whole response before its connection ended.
type cut struct {
	request string
	client  net.Addr
	by, why string
	// at is when the head had been read.
	at time.Time
	// written counts the bytes written since then, received those read of a request that
	// wasn't served.
	written, received int64
	// ahead and started are those of pipelined requests.
	ahead, started bool
	err            error
}

// recordCut logs and counts a request that was cut off.
func (h *Handler) recordCut(c cut) {
	h.opts.Meter.RecordCut(c.by, c.why)
	attrs := []slog.Attr{
		slog.String("request", c.request), slog.String("client", c.client.String()), slog.String("by", c.by), slog.String("why", c.why),
		slog.Int64("after_ms", h.opts.Clock.Now().Sub(c.at).Milliseconds()), slog.Int64("written", c.written), slog.Int64("received", c.received),
		slog.Bool("ahead", c.ahead), slog.Bool("started", c.started),
	}
	if c.err != nil {
		attrs = append(attrs, slog.String("error", c.err.Error()))
	}
	event.Log(context.Background(), h.opts.Logger, event.RequestCut, attrs...)
}

// requestID returns the ID of a request for logs.
func (h *Handler) requestID(r *http.Request) string {
	if h.opts.RequestID == nil || r == nil {
		return ""
	}
	return h.opts.RequestID(r)
}

// recordPanic logs a panic that isn't http.ErrAbortHandler. It must be called by a deferred
// function while the panic is handled.
func (h *Handler) recordPanic(v any) {
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		return
	}
	event.Log(context.Background(), h.opts.Logger, event.ServingPanicked,
		slog.Any("panic", v), slog.String("stack", string(debug.Stack())))
}
