package pipelinehttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strconv"
	"time"

	"golang.org/x/net/http/httpguts"
)

// maxPending is the size of a body without declared length from which on it is sent in
// chunks. It is that of net/http.
const maxPending = 2 << 10

// response writes the response of one request, once its turn has come, as the
// http.ResponseWriter of net/http does. It isn't safe for concurrent use.
type response struct {
	loop    *loop
	request *http.Request
	header  http.Header
	// final means that the connection is closed after the response whatever its header
	// says; closes, that it is closed.
	final, closes bool
	// status is 0 until it is decided, which then is http.StatusOK.
	status      int
	headWritten bool
	// pending is the beginning of a body without declared length, whose length is
	// declared if the body is complete within maxPending.
	pending []byte
	// length is the declared length of the body, -1 if there is none; written counts
	// the bytes of the body.
	length, written int64
	// chunks encodes a body without declared length; nil otherwise.
	chunks io.WriteCloser
	// deadline means that a deadline for writing is set.
	deadline bool
	// err is the first error of the connection.
	err error
}

func newResponse(l *loop, e *entry) *response {
	return &response{loop: l, request: e.request, header: make(http.Header), length: -1}
}

// Header implements http.ResponseWriter.
func (w *response) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter. Only the first call for a final response has
// an effect; interim responses are left out.
func (w *response) WriteHeader(status int) {
	if w.status == 0 && status >= http.StatusOK {
		w.status = status
	}
}

// begin writes the head and the body so far, unless that was done. done means that this
// is the whole body.
func (w *response) begin(done bool) {
	if w.headWritten {
		return
	}
	w.headWritten = true
	isEmptyHead := w.request.Method == http.MethodHead && len(w.pending) == 0
	if done && w.bodyAllowed() && !isEmptyHead && w.header.Get("Content-Length") == "" {
		w.header.Set("Content-Length", strconv.Itoa(len(w.pending)))
	}
	w.writeHead()
	if len(w.pending) > 0 {
		_, _ = w.writeBody(w.pending)
		w.pending = nil
	}
}

// writeHead writes the head.
func (w *response) writeHead() {
	w.frame()
	w.closes = w.loop.beginResponse(w.final || httpguts.HeaderValuesContainsToken(w.header["Connection"], "close"))
	w.setConnection()
	if w.header.Get("Date") == "" {
		w.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	text := http.StatusText(w.status)
	if text == "" {
		text = "status code " + strconv.Itoa(w.status)
	}
	_, err := fmt.Fprintf(w.loop.writer, "HTTP/1.%d %03d %s\r\n", w.minor(), w.status, text)
	err = errors.Join(err, w.header.Write(w.loop.writer))
	_, errEnd := w.loop.writer.WriteString("\r\n")
	w.err = errors.Join(err, errEnd)
}

// minor returns the minor version of the protocol.
func (w *response) minor() int {
	if w.request.ProtoAtLeast(1, 1) {
		return 1
	}
	return 0
}

// frame decides how the end of the body is shown, and sets the headers for it.
func (w *response) frame() {
	h := w.header
	h.Del("Transfer-Encoding")
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		w.length = n
	} else {
		h.Del("Content-Length")
	}
	switch {
	case w.status == http.StatusNotModified:
		h.Del("Content-Type")
		h.Del("Content-Length")
	case w.status == http.StatusNoContent:
		h.Del("Content-Length")
	case w.request.Method == http.MethodHead || w.length >= 0:
	case w.request.ProtoAtLeast(1, 1):
		h.Set("Transfer-Encoding", "chunked")
		w.chunks = httputil.NewChunkedWriter(w.loop.writer)
	default:
		w.final = true
	}
}

// setConnection sets the header Connection.
func (w *response) setConnection() {
	w.header.Del("Connection")
	w.header.Del(headerKeepAlive)
	if !w.closes && w.request.ProtoAtLeast(1, 1) {
		w.loop.handler.setKeepAlive(w.header)
	}
	switch {
	case w.closes && w.request.ProtoAtLeast(1, 1):
		w.header.Set("Connection", "close")
	case !w.closes && !w.request.ProtoAtLeast(1, 1):
		w.header.Set("Connection", "keep-alive")
	}
}

// bodyAllowed reports whether the response has a body.
func (w *response) bodyAllowed() bool {
	return w.status != http.StatusNoContent && w.status != http.StatusNotModified
}

// Write implements http.ResponseWriter.
func (w *response) Write(p []byte) (int, error) {
	if len(p) == 0 || w.err != nil {
		return 0, w.err
	}
	w.WriteHeader(http.StatusOK)
	if !w.bodyAllowed() {
		return 0, http.ErrBodyNotAllowed
	}
	if !w.headWritten && w.header.Get("Content-Length") == "" && len(w.pending)+len(p) < maxPending {
		w.pending = append(w.pending, p...)
		return len(p), nil
	}
	w.begin(false)
	return w.writeBody(p)
}

// writeBody writes a part of the body behind the head.
func (w *response) writeBody(p []byte) (int, error) {
	switch {
	case w.err != nil:
		return 0, w.err
	case w.length >= 0 && w.written+int64(len(p)) > w.length:
		return 0, http.ErrContentLength
	case w.request.Method == http.MethodHead:
		w.written += int64(len(p))
		return len(p), nil
	}
	var n int
	if w.chunks != nil {
		n, w.err = w.chunks.Write(p)
	} else {
		n, w.err = w.loop.writer.Write(p)
	}
	w.written += int64(n)
	return n, w.err
}

// finish ends the response. It returns an error if the response isn't complete.
func (w *response) finish() error {
	w.WriteHeader(http.StatusOK)
	w.begin(true)
	if w.err != nil {
		return w.err
	}
	if w.length >= 0 && w.written < w.length && w.bodyAllowed() && w.request.Method != http.MethodHead {
		return fmt.Errorf("response has %d bytes, %d were declared", w.written, w.length)
	}
	if w.chunks != nil {
		if err := w.chunks.Close(); err != nil {
			return err
		}
		if _, err := w.loop.writer.WriteString("\r\n"); err != nil {
			return err
		}
	}
	if err := w.loop.writer.Flush(); err != nil {
		return err
	}
	if w.deadline {
		return w.SetWriteDeadline(time.Time{})
	}
	return nil
}

// FlushError sends what was written. It is called through http.ResponseController.
func (w *response) FlushError() error {
	w.WriteHeader(http.StatusOK)
	w.begin(false)
	if w.err == nil {
		w.err = w.loop.writer.Flush()
	}
	return w.err
}

// SetWriteDeadline sets the deadline for writing this response. It is called through
// http.ResponseController.
func (w *response) SetWriteDeadline(t time.Time) error {
	w.deadline = !t.IsZero()
	return w.loop.conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline for reading the body. It is called through
// http.ResponseController, and has no effect once the request was received.
func (w *response) SetReadDeadline(t time.Time) error {
	w.loop.mu.Lock()
	defer w.loop.mu.Unlock()
	if !w.loop.reading || w.loop.queue.Ended() {
		return nil
	}
	return w.loop.conn.SetReadDeadline(t)
}

// writeContinue tells the client to send the body.
func (w *response) writeContinue() error {
	if _, err := w.loop.writer.WriteString("HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return err
	}
	return w.loop.writer.Flush()
}
