package endpointhttp

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// statedIdleMargin is subtracted from the idle time that an endpoint states. The endpoint
// counts from when it sent its last response, a request takes some time to it, and its
// clock may differ. It is at most half of the stated time.
const statedIdleMargin = time.Second

// statedIdle returns the time for which an endpoint keeps an idle connection open according
// to the parameter timeout, in whole seconds, of Keep-Alive (RFC 2068, section 19.7.1.1),
// less the margin; false if it doesn't state it.
func statedIdle(h http.Header) (time.Duration, bool) {
	values := h["Keep-Alive"]
	if len(values) != 1 {
		return 0, false
	}
	for parameter := range strings.SplitSeq(values[0], ",") {
		name, text, _ := strings.Cut(parameter, "=")
		if !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(text), 10, 16)
		if err != nil {
			return 0, false
		}
		stated := time.Duration(n) * time.Second
		return stated - min(statedIdleMargin, stated/2), true
	}
	return 0, false
}

// idleCount counts the idle connections of all pools.
type idleCount struct {
	n, limit atomic.Int64
}

// add counts one more idle connection; false if there are as many as may be.
func (c *idleCount) add() bool {
	if c.n.Add(1) <= c.limit.Load() {
		return true
	}
	c.n.Add(-1)
	return false
}

func (c *idleCount) remove() { c.n.Add(-1) }

// readers and writers hold the buffers of connections without a request.
var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// attachBuffers gives the connection buffers for a request.
func (c *conn) attachBuffers() {
	c.reader, _ = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.input)
	c.writer, _ = writers.Get().(*bufio.Writer)
	c.writer.Reset(countingWriter{c})
}

// detachBuffers takes the buffers from a connection that becomes idle. The exchange must
// have read everything that was buffered, and must not use the connection any more.
func (c *conn) detachBuffers() {
	c.reader.Reset(nil)
	c.writer.Reset(nil)
	readers.Put(c.reader)
	writers.Put(c.writer)
	c.reader, c.writer = nil, nil
}
