package callerhttp

import (
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// hopHeaders are not carried from one connection to the next (RFC 9110,
// section 7.6.1), together with this interface's own fields.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderTimeout, HeaderKey, HeaderPlace, HeaderRequestID, HeaderVerdict, HeaderEntry,
}

// serve carries one request of a caller.
func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderEntry, h.name)
	req, err := h.read(w, r)
	if err != nil {
		writeProblem(w, refusal(r, err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	response, err := h.entry.Serve(ctx, req)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeResponse(w, r.Method, response)
}

// refusal returns the error of a request that this adapter refuses by itself.
// One with a key may be the resend of an attempt that ran, which only the key's
// home can tell.
func refusal(r *http.Request, err error) error {
	if _, keyErr := claims.ParseKey(r.Header.Get(HeaderKey)); keyErr != nil {
		return err
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonOf(err), err)
}

// read builds the request from what the caller sent.
func (h *handler) read(w http.ResponseWriter, r *http.Request) (*port.Request, error) {
	service := chi.URLParam(r, "service")
	terms, err := h.entry.Terms(service, r.Method)
	if err != nil {
		return nil, err
	}
	deadline, err := h.deadline(r, terms)
	if err != nil {
		return nil, err
	}
	origin, err := h.entry.OriginOf(r.Header.Get(HeaderPlace), clientAddr(r))
	if err != nil {
		return nil, err
	}
	body, err := readBody(w, r, terms.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	key := r.Header.Get(HeaderKey)
	return &port.Request{
		ID:             requestID(r),
		Service:        service,
		Origin:         origin,
		Method:         r.Method,
		Target:         target(r, service),
		Header:         endToEnd(r.Header),
		Body:           body,
		OnceOnly:       terms.OnceOnly || key != "",
		Key:            key,
		Deadline:       deadline,
		MaxAnswerBytes: terms.MaxAnswerBytes,
	}, nil
}

// deadline reads the remaining time; without one the service's default holds.
func (h *handler) deadline(r *http.Request, terms port.ServiceTerms) (time.Time, error) {
	now := h.clock.Now()
	text := r.Header.Get(HeaderTimeout)
	if text == "" {
		return now.Add(terms.Deadline), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil {
		return time.Time{}, badRequest(fmt.Errorf("header %s: %w", HeaderTimeout, err))
	}
	if millis <= 0 && r.Header.Get(HeaderKey) != "" {
		// The key's home tells what became of earlier attempts.
		return now, nil
	}
	if millis <= 0 {
		return time.Time{}, verdict.NewError(verdict.NotRun, verdict.ReasonDeadline, nil)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if isTooLarge(err) {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonTooLarge, err)
	}
	if err != nil {
		return nil, badRequest(fmt.Errorf("read body: %w", err))
	}
	return body, nil
}

func requestID(r *http.Request) string {
	if id := r.Header.Get(HeaderRequestID); id != "" && len(id) <= maxRequestIDBytes {
		return id
	}
	return rand.Text()
}

// maxRequestIDBytes bounds an identifier that a caller chose.
const maxRequestIDBytes = 64

// target returns the path and query below /s/{service}.
func target(r *http.Request, service string) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/s/"+service)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// endToEnd returns the headers without those of this connection.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// writeResponse sends a whole answer. A failure after the first byte aborts
// the connection, so that a truncated answer can't look complete.
func writeResponse(w http.ResponseWriter, method string, response *port.Response) {
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(HeaderVerdict, verdict.Ran.String())
	if response.Rest == nil {
		if method != http.MethodHead {
			header.Set("Content-Length", strconv.Itoa(len(response.Body)))
		}
		w.WriteHeader(response.Status)
		_, _ = w.Write(response.Body)
		return
	}
	defer func() { _ = response.Rest.Close() }()
	w.WriteHeader(response.Status)
	if _, err := w.Write(response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, response.Rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
