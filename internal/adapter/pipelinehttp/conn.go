package pipelinehttp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
)

// Listener returns a listener whose connections detect bytes behind the current request.
func Listener(l net.Listener) net.Listener { return listener{l} }

type listener struct{ net.Listener }

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

type connKey struct{}

// connContext is the context of a connection, which holds the conn. It is a part of the
// conn and isn't canceled, so that it costs nothing.
type connContext struct {
	context.Context
	conn *conn
}

// Value implements context.Context.
func (c *connContext) Value(key any) any {
	if key == (connKey{}) {
		return c.conn
	}
	return c.Context.Value(key)
}

// ConnContext must be set as http.Server.ConnContext.
func (h *Handler) ConnContext(ctx context.Context, nc net.Conn) context.Context {
	c := innerConn(nc)
	if c == nil {
		return ctx // of another listener
	}
	c.server, c.context = nc, connContext{ctx, c}
	return &c.context
}

// innerConn returns the conn of this package within a connection that was wrapped, or nil.
func innerConn(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		wrapped, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapped.NetConn()
	}
}

// watchState says who acts on bytes behind the current request.
type watchState int

const (
	// unwatched: nobody; no request is being run.
	unwatched watchState = iota
	// watched: the connection is taken over as soon as a byte arrives.
	watched
	// takenOver: the loop reads the connection.
	takenOver
)

// conn is a client's connection. It costs one allocation, and none per request.
type conn struct {
	net.Conn
	// server is the connection as http.Server knows it. It and context are set before the
	// first read.
	server  net.Conn
	context connContext

	mu    sync.Mutex
	state watchState
	// behind is true if the last read was the read in the background of net/http, which
	// happens behind the end of a request.
	behind bool
	scan   headScan
	// The request that is being run while watched.
	handler  *Handler
	writer   http.ResponseWriter
	request  *http.Request
	exchange Exchange
	loop     *loop
	current  requestState
}

// NetConn returns the connection of the underlying listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.record(p[:n], len(p) == 1)
	}
	if err != nil {
		c.mu.Lock()
		c.current.readFailed(err)
		c.mu.Unlock()
	}
	return n, err
}

// CloseWrite closes the sending side, if the connection can do that. net/http uses it so that
// a client can read the response to a request whose body wasn't read to its end.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// record notes bytes that were read. While a request is served, net/http reads a single
// byte in the background to detect that the client leaves. All its other reads have a
// larger buffer; a rare one that doesn't costs a take-over without need.
func (c *conn) record(read []byte, background bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == takenOver {
		return
	}
	c.behind = background
	if !background {
		c.scan.add(read)
	}
	if background && c.state == watched {
		c.takeOver()
	}
}

// watch begins to watch for bytes behind a request whose body has been read. It takes
// the connection over at once if some have arrived with the request or before watch.
func (c *conn) watch(h *Handler, w http.ResponseWriter, r *http.Request, x Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handler, c.writer, c.request, c.exchange = h, w, r, x
	c.state = watched
	if c.behind || c.scan.hasMore(r.ContentLength) {
		c.takeOver()
	}
}

// unwatch ends the watch before the response is written, and returns the loop if the
// connection was taken over; otherwise the next bytes begin the next request. c may be
// nil.
func (c *conn) unwatch() *loop {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == takenOver {
		return c.loop
	}
	c.state, c.behind, c.scan = unwatched, false, headScan{}
	c.writer, c.request, c.exchange = nil, nil, nil
	return nil
}

// takeOver starts the loop. The caller must hold mu. The loop runs in a goroutine of its
// own, since Hijack waits for the read in the background, which may be the caller.
func (c *conn) takeOver() {
	c.state = takenOver
	c.loop = newLoop(c, c.handler, c.request, c.exchange)
	go c.loop.run(c.writer)
	c.writer, c.request, c.exchange = nil, nil, nil
}

// headScan finds the end of a request in the bytes that were read for it.
type headScan struct {
	// total counts the bytes, end those up to the end of the head; 0 before that.
	total, end int64
	// lineStart is true at the beginning of a line other than the first.
	lineStart bool
	// tail holds the last bytes.
	tail [len(lastChunk)]byte
}

// lastChunk ends a chunked body without trailers. No header ends so, since a line "0"
// isn't one.
const lastChunk = "\r\n0\r\n\r\n"

func (s *headScan) add(b []byte) {
	if s.end == 0 {
		s.findEnd(b)
	}
	s.total += int64(len(b))
	if len(b) < len(s.tail) {
		copy(s.tail[:], s.tail[len(b):])
	}
	n := min(len(b), len(s.tail))
	copy(s.tail[len(s.tail)-n:], b[len(b)-n:])
}

// findEnd looks for the empty line behind the head.
func (s *headScan) findEnd(b []byte) {
	for i := 0; i < len(b); {
		if s.lineStart && b[i] == '\n' {
			s.end = s.total + int64(i) + 1
			return
		}
		if s.lineStart && b[i] == '\r' {
			i++
			continue
		}
		s.lineStart = false
		n := bytes.IndexByte(b[i:], '\n')
		if n < 0 {
			return
		}
		i += n + 1
		s.lineStart = true
	}
}

// hasMore reports whether bytes follow a request that has been read whole; contentLength
// is -1 if its body is chunked. It may miss bytes behind a chunked body, and mistakes
// trailers for them.
func (s *headScan) hasMore(contentLength int64) bool {
	switch {
	case s.end == 0:
		return false
	case contentLength >= 0:
		return s.total > s.end+contentLength
	default:
		return string(s.tail[:]) != lastChunk
	}
}
