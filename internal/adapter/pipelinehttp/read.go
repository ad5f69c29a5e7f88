package pipelinehttp

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/adapter/sockqueue"
)

// headSlop is how many bytes beyond the limit of a head may be read, as in net/http.
const headSlop = 4 << 10

// source reads a connection: first the bytes that net/http had read from it. It belongs
// to the reader.
type source struct {
	conn net.Conn
	held []byte
	// total counts the bytes that were read, left is how many more may be.
	total, left int64
	// err is the last error of conn; parsers may return their own instead.
	err error
}

var errHeadTooLarge = errors.New("head of a request exceeds the limit")

// Read implements io.Reader.
func (s *source) Read(p []byte) (n int, err error) {
	if s.left <= 0 {
		return 0, errHeadTooLarge
	}
	p = p[:min(int64(len(p)), s.left)]
	if len(s.held) > 0 {
		n = copy(p, s.held)
		s.held = s.held[n:]
	} else {
		n, err = s.conn.Read(p)
		s.err = err
	}
	s.total += int64(n)
	s.left -= int64(n)
	return n, err
}

// consumed returns the number of bytes that were parsed.
func (l *loop) consumed() int64 { return l.source.total - int64(l.reader.Buffered()) }

// read reads requests until the connection has ended.
func (l *loop) read() {
	defer l.endAfterPanic()
	l.classifyFirst()
	for l.awaitByte() && l.awaitRoom() {
		if !l.readOne() {
			l.awaitEnd()
			return
		}
	}
}

// classifyFirst notes whether further requests may run beside the first one, unless that is
// complete.
func (l *loop) classifyFirst() {
	l.mu.Lock()
	first := l.first
	l.mu.Unlock()
	if first == nil {
		return
	}
	concurrent := l.handler.service.MayRunConcurrently(first.request)
	l.mu.Lock()
	defer l.mu.Unlock()
	first.Concurrent = concurrent
}

// awaitByte waits for the next request. It returns false when the connection has ended; a
// client that half-closes it is gone, too.
func (l *loop) awaitByte() bool {
	l.source.left = math.MaxInt64
	err := l.peekRequest()
	for errors.Is(err, os.ErrDeadlineExceeded) && l.hasArrived() {
		err = l.peekRequest()
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		l.end(reasonIdle)
		return false
	case err != nil:
		l.end(reasonClientLeft)
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Ended() {
		return false
	}
	l.reading = true
	_ = l.conn.SetReadDeadline(time.Time{})
	l.handler.opts.ConnState(l.conn, http.StateActive)
	return true
}

// hasArrived reports whether a request has arrived that wasn't read before the idle timeout, and
// lets it be read.
func (l *loop) hasArrived() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue.Ended() || !sockqueue.Pending(l.inner.Conn) {
		return false
	}
	_ = l.conn.SetReadDeadline(time.Time{})
	return true
}

// peekRequest waits for the first byte of a request. It skips up to two empty lines, which
// some clients send behind a POST.
func (l *loop) peekRequest() error {
	skippable := 0
	if l.lastMethod == http.MethodPost {
		skippable = 4
	}
	for ; ; skippable-- {
		if !l.buffered() {
			l.awaitRequest()
		}
		b, err := l.reader.Peek(1)
		if err != nil || skippable == 0 || b[0] != '\r' && b[0] != '\n' {
			return err
		}
		if _, err := l.reader.Discard(1); err != nil {
			return err
		}
	}
}

// buffered reports whether bytes were read that belong to no request so far. Only the reader
// may call it.
func (l *loop) buffered() bool { return l.reader.Buffered() > 0 || len(l.source.held) > 0 }

// awaitRequest notes that the next byte begins a request. What was buffered behind the last
// one may have been empty lines only.
func (l *loop) awaitRequest() {
	if c, ok := l.conn.(interface{ AwaitRequest() }); ok {
		c.AwaitRequest()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading {
		l.reading = false
		l.noteIdle()
	}
}

// awaitRoom waits until a further request may be read. It returns false when the
// connection has ended.
func (l *loop) awaitRoom() bool {
	return l.await(func() bool {
		if !l.queue.MayRead(l.handler.service.Stopping()) {
			return false
		}
		l.charged = 0
		if l.queue.Len() > 0 && l.account.Take(readAheadCharge) {
			l.charged = readAheadCharge
		}
		return l.queue.Len() == 0 || l.charged > 0
	})
}

// awaitTurn waits until all requests are answered. It returns false when the connection
// has ended.
func (l *loop) awaitTurn() bool {
	return l.await(l.queue.HasTurn)
}

// awaitEnd waits until the connection has ended. Nothing more is read from it.
func (l *loop) awaitEnd() { l.await(func() bool { return false }) }

// await waits until a condition, which is called with mu held, or until the connection
// has ended; then it returns false.
func (l *loop) await(condition func() bool) bool {
	for {
		l.mu.Lock()
		ended, met := l.queue.Ended(), false
		if !ended {
			met = condition()
		}
		l.mu.Unlock()
		if ended || met {
			return met
		}
		l.pause()
	}
}

// pause waits for progress, at most for pollInterval. It ends the connection if the
// client is gone, which isn't seen otherwise while nothing is read.
func (l *loop) pause() {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-l.progress:
	case <-l.ctx.Done():
	case <-timer.C:
		if sockqueue.PeerClosed(l.inner.Conn) {
			l.end(reasonClientLeft)
		}
	}
}

// setReadDeadline sets the deadline for reading, unless the connection has ended.
func (l *loop) setReadDeadline(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.queue.Ended() {
		_ = l.conn.SetReadDeadline(t)
	}
}

// readOne reads a request and adds it to the queue. It returns false if nothing more is
// read from the connection.
func (l *loop) readOne() bool {
	l.setReadDeadline(time.Now().Add(l.handler.opts.HeaderTimeout))
	began := l.consumed()
	r, err := l.readHead()
	at := l.handler.opts.Clock.Now()
	l.setReadDeadline(time.Time{})
	if errors.Is(l.source.err, os.ErrDeadlineExceeded) && err != nil {
		// Nothing is answered, as on the usual path. What is in flight is served.
		if l.awaitTurn() {
			l.end(reasonSlowHead)
		}
		return false
	}
	if err != nil && l.source.err != nil {
		l.end(reasonClientLeft)
		return false
	}
	e := &entry{request: r, at: at, cancel: func() {}}
	e.HeadBytes = l.consumed() - began
	if l.charged > 0 {
		e.charged = l.charged
		if extra := parsedHeadCost * max(0, e.HeadBytes-freeHeadBytes); l.account.Take(extra) {
			e.charged += extra
		}
	}
	if err != nil {
		l.reject(e, err)
		return false
	}
	return l.receive(e, at)
}

// receive reads the rest of a request and adds it to the queue. A request with a body
// waits for its turn before that. It returns false if nothing more is read from the
// connection.
func (l *loop) receive(e *entry, at time.Time) bool {
	h := l.handler
	r := e.request
	r.RemoteAddr = l.conn.RemoteAddr().String()
	ctx, cancel := context.WithCancel(l.ctx)
	e.request, e.cancel = r.WithContext(ctx), cancel
	e.writer = newResponse(l, e)
	e.Concurrent = h.service.MayRunConcurrently(e.request)
	l.lastMethod = r.Method
	body := &requestBody{response: e.writer, source: r.Body, expectsContinue: expectsContinue(r)}
	body.complete = r.Body == http.NoBody || r.ContentLength == 0
	if !body.complete {
		if !l.awaitTurn() {
			cancel()
			return false
		}
		e.request.Body = body
	}
	if expect := r.Header.Get("Expect"); expect != "" && !expectsContinue(r) && !strings.EqualFold(expect, "100-continue") {
		l.reject(e, statusError{http.StatusExpectationFailed, ""})
		return false
	}
	l.source.left = math.MaxInt64
	exchange, accepted := h.service.Receive(e.writer, e.request, at)
	l.setReadDeadline(time.Time{}) // Receive may have set one
	e.exchange = exchange
	// A deadline is that of Receive, which has given up the body and answers the request.
	if !body.complete && l.source.err != nil && !errors.Is(l.source.err, os.ErrDeadlineExceeded) {
		cancel()
		l.end(reasonClientLeft)
		return false
	}
	// What is left of a body must not be taken for the next request. The body of a request
	// that isn't accepted may be too large; net/http closes the connection then, too.
	refusedBody := !accepted && e.request.Body == body
	e.writer.final = !body.complete || refusedBody || r.Close || !r.ProtoAtLeast(1, 1) && !wantsKeepAlive(r)
	return l.enqueue(e, !accepted) && !e.writer.final
}

// reject adds the answer to what isn't a valid request, after which the connection is
// closed.
func (l *loop) reject(e *entry, err error) {
	answer := statusError{http.StatusBadRequest, ""}
	switch {
	case errors.As(err, &answer):
	case errors.Is(err, errHeadTooLarge):
		answer.status = http.StatusRequestHeaderFieldsTooLarge
	case strings.HasPrefix(err.Error(), "unsupported transfer encoding"):
		answer.status = http.StatusNotImplemented
	}
	if e.request == nil {
		e.request = &http.Request{Method: http.MethodGet, ProtoMajor: 1, ProtoMinor: 1}
	}
	e.writer = newResponse(l, e)
	e.exchange, e.writer.final = rejection(answer), true
	l.enqueue(e, true)
}

// rejection is the exchange of something that isn't a valid request.
type rejection statusError

// Run implements Exchange. It isn't called.
func (rejection) Run(context.Context, bool) {}

// Bytes implements Exchange.
func (rejection) Bytes() int64 { return 0 }

// Write implements Exchange.
func (x rejection) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(x.status)
	_, _ = io.WriteString(w, statusError(x).Error())
}

// Drop implements Exchange.
func (rejection) Drop() {}

// linger reads what the client sent behind the last response, so that the connection
// isn't reset before the client has read the response.
func (l *loop) linger() {
	l.mu.Lock()
	why := l.ended
	l.mu.Unlock()
	if why.lingers() {
		linger.Drain(l.inner.Conn)
	}
}
