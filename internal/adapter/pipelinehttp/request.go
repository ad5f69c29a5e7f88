package pipelinehttp

import (
	"fmt"
	"io"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// statusError is the status with which something is answered that isn't a valid request.
type statusError struct {
	status int
	detail string
}

// Error implements error.
func (e statusError) Error() string {
	text := fmt.Sprintf("%d %s", e.status, http.StatusText(e.status))
	if e.detail == "" {
		return text
	}
	return text + ": " + e.detail
}

// readHead reads the head of a request and checks it as http.Server does.
func (l *loop) readHead() (*http.Request, error) {
	l.source.left = l.handler.opts.HeaderBytes + headSlop
	r, err := http.ReadRequest(l.reader)
	if err != nil && l.source.left <= 0 {
		return nil, errHeadTooLarge
	}
	if err != nil {
		return nil, err
	}
	return r, checkRequest(r)
}

// checkRequest checks what http.ReadRequest leaves to the server.
func checkRequest(r *http.Request) error {
	switch {
	case r.ProtoMajor != 1:
		return statusError{http.StatusHTTPVersionNotSupported, "unsupported protocol version"}
	case r.ProtoAtLeast(1, 1) && r.Host == "" && r.Method != http.MethodConnect:
		return statusError{http.StatusBadRequest, "missing required Host header"}
	case !httpguts.ValidHostHeader(r.Host):
		return statusError{http.StatusBadRequest, "malformed Host header"}
	}
	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return statusError{http.StatusBadRequest, "invalid header name"}
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return statusError{http.StatusBadRequest, "invalid header value"}
			}
		}
	}
	return nil
}

// expectsContinue reports whether the client waits for an interim response before it
// sends the body.
func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue") && r.ContentLength != 0 && r.ProtoAtLeast(1, 1)
}

// wantsKeepAlive reports whether a client of HTTP/1.0 keeps the connection open.
func wantsKeepAlive(r *http.Request) bool {
	return httpguts.HeaderValuesContainsToken(r.Header["Connection"], "keep-alive")
}

// requestBody is the body of a request whose turn has come.
type requestBody struct {
	response        *response
	source          io.ReadCloser
	expectsContinue bool
	// complete means that it was read to its end.
	complete bool
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	if b.expectsContinue {
		b.expectsContinue = false
		if err := b.response.writeContinue(); err != nil {
			return 0, err
		}
	}
	n, err := b.source.Read(p)
	b.complete = b.complete || err == io.EOF //nolint:errorlint // io.Reader returns it unwrapped
	return n, err
}

// Close implements io.Closer. It doesn't read the rest, since that may be sent slowly.
func (b *requestBody) Close() error { return nil }
