package pipelinehttp

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/pipeline"
	"sassafrasreach/internal/event"
)

const (
	// readAheadCharge is charged to the budget for each request that is read ahead: 24 KiB
	// of its response that the caller of endpoints doesn't charge, 16 KiB for its parsed
	// head, and 8 KiB for its goroutine. freeHeadBytes of the head are within it; each
	// further byte is charged as parsedHeadCost bytes, which a parsed head may take.
	readAheadCharge = 48 << 10
	freeHeadBytes   = 1 << 10
	parsedHeadCost  = 16
	// pollInterval is the time between two checks whether the client is still there, and
	// whether there is room in the budget, while nothing is read.
	pollInterval = 100 * time.Millisecond
	writeBuffer  = 4 << 10
)

// endReason says why a connection ended.
type endReason string

const (
	reasonClientLeft endReason = "client-left"
	reasonClosed     endReason = "closing-response"
	reasonIdle       endReason = "idle"
	reasonSlowHead   endReason = "header-timeout"
	reasonBroken     endReason = "response-broke-off"
	reasonPanic      endReason = "panic"
	reasonTakeover   endReason = "take-over-failed"
)

// lingers reports whether the client may still read whole responses after such an end.
func (r endReason) lingers() bool { return r == reasonClosed || r == reasonSlowHead }

// entry is a request that was read and isn't answered.
type entry struct {
	pipeline.Progress
	exchange Exchange
	// at is when its head had been read.
	at      time.Time
	request *http.Request
	writer  *response
	cancel  context.CancelFunc
	// charged is what the budget was charged for it.
	charged int64
}

// loop serves one connection that was taken over. One goroutine reads it. Requests run in
// goroutines of their own, of which the one that completes the first request in the queue
// writes its response and those that are ready behind it.
type loop struct {
	handler *Handler
	inner   *conn
	conn    net.Conn
	account *memory.Account
	// ctx is the parent of the contexts of all requests but the first.
	ctx    context.Context
	cancel context.CancelFunc
	// serverReader is that of net/http; nil before the connection was handed over.
	serverReader *bufio.Reader
	// hijacked is closed once net/http has handed over the connection.
	hijacked chan struct{}
	source   source
	reader   *bufio.Reader
	writer   *bufio.Writer
	// firstEnded is closed once the first request has its response or gets none any more.
	firstEnded chan struct{}
	// progress holds an element after a response was written.
	progress chan struct{}
	// lastMethod is the method of the request that was read last, charged what the budget
	// was charged for the next one. They belong to the reader.
	lastMethod string
	charged    int64

	// mu guards the fields below.
	mu    sync.Mutex
	queue pipeline.Queue[*entry]
	// first is the request that net/http read; nil once its response was written, since the
	// connection may stay open for long and its body and answer are large.
	first *entry
	// reading means that a part of a request was read that isn't in the queue.
	reading bool
	// ended says why the connection ended; empty before.
	ended endReason
	// served and ahead count the requests and those that were read ahead.
	served, ahead int
}

// newLoop returns the loop for a connection whose first request is being run.
func newLoop(c *conn, h *Handler, r *http.Request, x Exchange) *loop {
	l := &loop{
		handler: h, inner: c, conn: c.server, account: h.opts.Budget.OpenFor(memory.ReadAhead),
		hijacked: make(chan struct{}), firstEnded: make(chan struct{}), progress: make(chan struct{}, 1), lastMethod: r.Method,
	}
	l.ctx, l.cancel = context.WithCancel(c.context.Context)
	l.first = &entry{exchange: x, request: r, at: c.current.at, cancel: func() {}}
	l.first.writer = newResponse(l, l.first)
	l.queue.AddRunning(l.first)
	// What arrived behind the first request began the take-over.
	l.served, l.reading = 1, true
	return l
}

// run takes the connection over from net/http and reads it until it ends. w is the
// writer of the first response.
func (l *loop) run(w http.ResponseWriter) {
	h := l.handler
	h.taken.Add(1)
	defer h.taken.Add(-1)
	h.opts.Meter.RecordTakeover()
	h.takeovers.log(h.opts.Clock.Now(), h.opts.Logger, event.ConnectionTakenOver, slog.String("client", l.conn.RemoteAddr().String()))
	err := l.hijack(w)
	close(l.hijacked)
	if err == nil {
		l.read()
		l.linger()
	} else {
		l.end(reasonTakeover)
	}
	_ = l.conn.Close()
	l.account.Close()
	h.opts.ConnState(l.conn, http.StateClosed)
}

// endAfterPanic is deferred by goroutines that call the service. As with net/http, a panic
// ends the connection and not the process.
func (l *loop) endAfterPanic() {
	if v := recover(); v != nil {
		l.handler.recordPanic(v)
		l.end(reasonPanic)
	}
}

func (l *loop) hijack(w http.ResponseWriter) error {
	nc, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return err
	}
	l.serverReader = buffered.Reader
	// What the reader of net/http holds is all that has been read.
	held, err := l.serverReader.Peek(l.serverReader.Buffered())
	if err != nil {
		return err
	}
	l.source = source{conn: nc, held: append([]byte(nil), held...)}
	l.reader = bufio.NewReader(&l.source)
	l.writer = bufio.NewWriterSize(nc, writeBuffer)
	return nil
}

// enqueue adds a request that was read, and that already has its answer if answered is
// true. It returns false if the connection takes no more.
func (l *loop) enqueue(e *entry, answered bool) bool {
	l.mu.Lock()
	l.reading = !e.writer.final && l.buffered()
	ahead, add := l.queue.Len() > 0, l.queue.Add
	if answered {
		add = l.queue.AddAnswered
	}
	if !add(e) {
		l.mu.Unlock()
		e.cancel()
		e.exchange.Drop()
		return false
	}
	l.served++
	if ahead {
		l.ahead++
		l.handler.opts.Meter.RecordReadAhead()
	}
	l.start()
	l.mu.Unlock()
	if answered {
		go l.writeReady() // the reader must not wait for a client that doesn't read
	}
	return true
}

// start starts the requests that may run now. The caller must hold mu.
func (l *loop) start() {
	for _, e := range l.queue.Start(l.handler.service.Stopping()) {
		go l.serve(e)
	}
}

// serve runs a request.
func (l *loop) serve(e *entry) {
	defer l.endAfterPanic()
	e.exchange.Run(e.request.Context(), e.Ahead())
	l.finish(e)
}

// finish notes that a request has its answer and writes what is ready.
func (l *loop) finish(e *entry) {
	l.mu.Lock()
	open := l.queue.Answer(e, e.exchange.Bytes())
	l.mu.Unlock()
	if !open {
		e.exchange.Drop()
		return
	}
	l.writeReady()
}

// writeReady writes the responses that are ready in the order of the queue, unless
// another goroutine does.
func (l *loop) writeReady() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		e, ready := l.queue.BeginWrite()
		if !ready {
			return
		}
		l.mu.Unlock()
		l.write(e)
		l.mu.Lock()
		e.cancel()
		if e == l.first {
			l.first = nil
			close(l.firstEnded)
		}
		if !l.queue.EndWrite() {
			return
		}
		l.account.Return(e.charged)
		l.start()
		l.noteIdle()
		l.signal()
	}
}

// noteIdle notes that the connection is idle if it is. The caller must hold mu.
func (l *loop) noteIdle() {
	if !l.queue.HasTurn() || l.reading {
		return
	}
	_ = l.conn.SetReadDeadline(time.Now().Add(l.handler.opts.IdleTimeout))
	l.handler.opts.ConnState(l.conn, http.StateIdle)
}

// signal wakes the reader.
func (l *loop) signal() {
	select {
	case l.progress <- struct{}{}:
	default:
	}
}

// write writes the response of the first request in the queue.
func (l *loop) write(e *entry) {
	switch err := l.writeWhole(e); {
	case err != nil:
		l.recordCut(e, reasonBroken)
		l.end(reasonBroken)
	case e.writer.closes:
		l.end(reasonClosed)
	}
}

// writeWhole returns an error if the response isn't complete.
func (l *loop) writeWhole(e *entry) (err error) {
	defer func() {
		if v := recover(); v != nil {
			l.handler.recordPanic(v)
			err = http.ErrAbortHandler
		}
	}()
	e.exchange.Write(e.writer)
	return e.writer.finish()
}

// beginResponse reports whether the connection is closed after the response that is being
// written. closes means that the response asks for it.
func (l *loop) beginResponse(closes bool) bool {
	stopping := l.handler.service.Stopping()
	l.mu.Lock()
	defer l.mu.Unlock()
	last, canceled := l.queue.BeginResponse(stopping, closes)
	for _, e := range canceled {
		e.cancel()
	}
	return last
}

// end ends the connection. If all its responses are whole and it isn't idle, it is half-closed, and
// the reader closes it when the client has them; otherwise it is closed at once. All requests
// that are unanswered are canceled.
func (l *loop) end(why endReason) {
	l.mu.Lock()
	inFlight := l.queue.Len()
	unanswered, ok := l.queue.End()
	if !ok {
		l.mu.Unlock()
		return
	}
	l.ended = why
	canceled := inFlight
	if why.lingers() {
		canceled = len(unanswered)
		_ = l.conn.SetReadDeadline(time.Now().Add(linger.Timeout))
	}
	served, ahead := l.served-canceled, l.ahead
	for _, e := range unanswered {
		e.cancel()
		if e == l.first {
			close(l.firstEnded)
		}
	}
	l.mu.Unlock()
	l.cancel()
	for _, e := range unanswered {
		l.recordCut(e, why)
		if e.Answered() {
			e.exchange.Drop()
		}
	}
	if half, ok := l.inner.Conn.(interface{ CloseWrite() error }); why.lingers() && ok {
		_ = half.CloseWrite()
	} else if !why.lingers() {
		_ = l.conn.Close()
		l.cancelFirst()
	}
	h := l.handler
	h.opts.Meter.RecordPipelineEnd(canceled)
	if canceled > 0 {
		h.cutRecords.log(h.opts.Clock.Now(), h.opts.Logger, event.PipelineCut, slog.String("client", l.conn.RemoteAddr().String()),
			slog.String("why", string(why)), slog.Int("canceled", canceled), slog.Int("served", served), slog.Int("ahead", ahead))
	}
}

// recordCut records a request that doesn't get its whole response.
func (l *loop) recordCut(e *entry, why endReason) {
	l.inner.mu.Lock()
	state := l.inner.current
	l.inner.mu.Unlock()
	by := byGateway
	if why == reasonClientLeft || state.peerErr != nil {
		by = byClient
	}
	l.handler.recordCut(cut{
		request: l.handler.requestID(e.request), client: l.conn.RemoteAddr(), by: by, why: string(why), at: e.at,
		ahead: e.Ahead(), started: e.Started(), err: errors.Join(state.peerErr, state.writeErr),
	})
}

// cancelFirst cancels the context of the first request, if that is still being run, after
// the connection was closed. net/http cancels it when a read of its own fails. A context
// of this package would cost each connection some allocations.
func (l *loop) cancelFirst() {
	if l.serverReader == nil {
		return
	}
	_, _ = l.serverReader.Discard(l.serverReader.Buffered())
	_, _ = l.serverReader.Peek(1)
}
