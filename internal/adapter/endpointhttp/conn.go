package endpointhttp

import (
	"bufio"
	"io"
	"math"
	"net"
	"time"
)

// conn is one connection to an endpoint. One call uses it at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// input bounds the bytes of an answer's head.
	input *boundedReader
	// written counts the bytes that the kernel took since the last reset.
	written int64
	// proven is when the endpoint last answered on the connection, or when the
	// connection was opened.
	proven time.Time
}

func newConn(raw net.Conn, now time.Time) *conn {
	c := &conn{Conn: raw, proven: now}
	c.input = &boundedReader{source: raw}
	c.reader = bufio.NewReaderSize(c.input, readBufferBytes)
	c.writer = bufio.NewWriterSize(countingWriter{c}, writeBufferBytes)
	return c
}

// countingWriter adds up what the connection's kernel side took.
type countingWriter struct{ c *conn }

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.c.Write(p)
	w.c.written += int64(n)
	return n, err
}

// boundedReader fails after a number of bytes, so that an endless answer head
// takes no memory.
type boundedReader struct {
	source io.Reader
	left   int64
	// err is the source's error, which parsers may hide behind their own.
	err error
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeaderTooLarge
	}
	if int64(len(p)) > r.left {
		p = p[:r.left]
	}
	n, err := r.source.Read(p)
	r.left -= int64(n)
	r.err = err
	return n, err
}

// boundHead begins the reading of an answer's head.
func (c *conn) boundHead() { c.input.left = maxHeaderBytes }

// unbound lets an answer's body follow; it has its own bound.
func (c *conn) unbound() { c.input.left = math.MaxInt64 }
