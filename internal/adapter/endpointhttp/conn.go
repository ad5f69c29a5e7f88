package endpointhttp

import (
	"bufio"
	"io"
	"math"
	"net"
	"time"

	"sassafrasreach/internal/adapter/traffic"
	"sassafrasreach/internal/core/memory"
)

// conn is a connection to an endpoint. It is used by one call at a time.
type conn struct {
	net.Conn
	// reader and writer are nil while the connection is idle.
	reader *bufio.Reader
	writer *bufio.Writer
	// input limits the size of a response head.
	input *boundedReader
	// written counts the bytes of the current request that the kernel accepted.
	written int64
	// lastAlive is when the connection last delivered a complete response, or when
	// it was opened.
	lastAlive time.Time
	// used is true once the connection carried a request. maxIdle is how long after
	// lastAlive it may be reused.
	used    bool
	maxIdle time.Duration
	// refused holds the IDs of the requests that the endpoint refused on the
	// connection. None of them is sent on it again: its refusal may come once more,
	// and would be taken for the answer.
	refused map[string]bool
	// traffic counts its bytes.
	traffic *traffic.Counter
}

func newConn(raw net.Conn, now time.Time, maxIdle time.Duration, counter *traffic.Counter) *conn {
	c := &conn{Conn: raw, lastAlive: now, maxIdle: maxIdle, refused: make(map[string]bool), traffic: counter}
	c.input = &boundedReader{source: raw, traffic: counter}
	c.attachBuffers()
	return c
}

// countingWriter counts the bytes that the kernel accepted for the connection.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Write(p)
	w.c.written += int64(n)
	w.c.traffic.Add(n, 0)
	return n, err
}

// boundedReader fails after a number of bytes, so that an endless response head
// can't exhaust memory.
type boundedReader struct {
	source io.Reader
	left   int64
	// received counts the bytes of the current response.
	received int64
	// free is what may be read before account is charged for the parsed form; account
	// is nil outside of a head.
	free    int64
	account *memory.Account
	// err is the last error of source; parsers may return their own instead.
	err error
	// traffic counts the bytes read.
	traffic *traffic.Counter
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.source.Read(p)
	r.traffic.Add(0, n)
	r.left -= int64(n)
	r.received += int64(n)
	r.err = err
	if r.account == nil {
		return n, err
	}
	charged := max(0, int64(n)-r.free)
	r.free -= int64(n) - charged
	if !r.account.Take(charged * parsedHeadCost) {
		r.err = ErrMemory
		return 0, ErrMemory
	}
	return n, err
}

// limitHead limits the response head that is read next to maxHeaderBytes, and charges
// its memory to an account.
func (c *conn) limitHead(a *memory.Account) {
	c.input.left, c.input.free, c.input.account = maxHeaderBytes, freeHeadBytes, a
}

// removeLimit removes the limit before the response body is read; the exchange
// limits the size of the body.
func (c *conn) removeLimit() { c.input.left, c.input.account = math.MaxInt64, nil }
