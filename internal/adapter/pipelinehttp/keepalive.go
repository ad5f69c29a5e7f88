package pipelinehttp

import (
	"net/http"
	"strconv"
	"time"
)

// headerKeepAlive states, as its parameter timeout in whole seconds, how long the client may
// wait with its next request (RFC 2068, section 19.7.1.1).
const headerKeepAlive = "Keep-Alive"

// keepAliveValue is the value of the header for a timeout. Responses share it.
type keepAliveValue struct {
	timeout time.Duration
	values  []string
}

// setKeepAlive adds the header to a response that keeps the connection open. A client that
// doesn't know when the connection is closed may send a request at that moment, which is lost.
func (h *Handler) setKeepAlive(header http.Header) {
	if h.opts.ClientIdleTimeout == nil {
		return
	}
	timeout := h.opts.ClientIdleTimeout().Truncate(time.Second)
	if timeout <= 0 {
		return
	}
	value := h.keepAlive.Load()
	if value == nil || value.timeout != timeout {
		value = &keepAliveValue{timeout, []string{"timeout=" + strconv.FormatInt(int64(timeout/time.Second), 10)}}
		h.keepAlive.Store(value)
	}
	header[headerKeepAlive] = value.values
}
