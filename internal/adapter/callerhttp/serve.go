package callerhttp

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/delivery"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// notForwarded lists the header fields that are not forwarded to endpoints: those of
// a single connection (RFC 9110, section 7.6.1) and those of this interface.
var notForwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderTimeout, HeaderKey, HeaderPlace, HeaderRequestID, HeaderVerdict, HeaderEntry,
}

// serve handles a request for an endpoint.
func (h *handler) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderEntry, h.name)
	req, terms, err := h.parseHead(r)
	if err != nil {
		writeProblem(w, rejectionError(r, err))
		return
	}
	intake.Expect(w)
	body, err := h.bodies.Read(w, r, terms.MaxBodyBytes, req.Deadline)
	if err != nil {
		h.refuseBody(w, r, req.Deadline, err)
		return
	}
	defer body.Done()
	if len(body.Parts) > 0 {
		req.Body, req.BodyRest = body.Parts[0], body.Parts[1:]
	}
	req.Retain = body.Retain
	ctx, cancel := context.WithDeadline(r.Context(), req.Deadline)
	defer cancel()
	response, err := h.entry.Serve(ctx, req)
	if err != nil {
		body.Done()
		writeProblem(w, err)
		return
	}
	if response.Rest == nil {
		body.Done() // a streamed response keeps its request
	}
	h.writeResponse(w, r, response)
}

// rejectionError returns the error of a request that is rejected before
// port.Entry.Serve. With a valid key its verdict is MayHaveRun: the request may be a
// retry of an attempt that ran, and only the key's coordinator knows.
func rejectionError(r *http.Request, err error) error {
	if _, keyErr := claims.ParseKey(r.Header.Get(HeaderKey)); keyErr != nil {
		return err
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonOf(err), err)
}

// parseHead validates the caller's HTTP request but its body, and converts it.
func (h *handler) parseHead(r *http.Request) (*port.Request, port.ServiceTerms, error) {
	service := chi.URLParam(r, "service")
	terms, err := h.entry.Terms(service, r.Method)
	if err != nil {
		return nil, terms, err
	}
	deadline, err := h.deadline(r, terms)
	if err != nil {
		return nil, terms, err
	}
	origin, err := h.entry.OriginOf(r.Header.Get(HeaderPlace), clientAddr(r))
	if err != nil {
		return nil, terms, err
	}
	key := r.Header.Get(HeaderKey)
	return &port.Request{
		ID:             requestID(r),
		Service:        service,
		Origin:         origin,
		Method:         r.Method,
		Target:         target(r, service),
		Header:         endToEnd(r.Header),
		OnceOnly:       terms.OnceOnly || key != "",
		Key:            key,
		Deadline:       deadline,
		MaxAnswerBytes: terms.MaxAnswerBytes,
	}, terms, nil
}

// deadline returns the deadline from HeaderTimeout, or from the service's default
// if the header is missing.
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
		// The deadline has passed, but the request is still forwarded so that the
		// key's coordinator can report the outcome of earlier attempts.
		return now, nil
	}
	if millis <= 0 {
		return time.Time{}, verdict.NewError(verdict.NotRun, verdict.ReasonDeadline, nil)
	}
	return now.Add(time.Duration(millis) * time.Millisecond), nil
}

// refuseBody answers a request whose body couldn't be read.
func (h *handler) refuseBody(w http.ResponseWriter, r *http.Request, deadline time.Time, err error) {
	status, reason := intake.Classify(err)
	h.refusals.Record("callers", reason, r.RemoteAddr)
	err = verdict.NewError(verdict.NotRun, h.bodyReason(deadline, err), fmt.Errorf("read request body: %w", err))
	intake.CloseAfter(w, func() {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Retry-After", retryAfterSeconds)
		}
		writeProblem(w, rejectionError(r, err))
	})
}

// bodyReason returns the reason of a request whose body couldn't be read.
func (h *handler) bodyReason(deadline time.Time, err error) verdict.Reason {
	switch {
	case errors.Is(err, intake.ErrTooLarge):
		return verdict.ReasonTooLarge
	case errors.Is(err, intake.ErrSlow) && !deadline.IsZero() && !h.clock.Now().Before(deadline):
		return verdict.ReasonDeadline
	case errors.Is(err, intake.ErrSlow):
		return verdict.ReasonSlowBody
	case errors.Is(err, intake.ErrMemory):
		return verdict.ReasonMemory
	case errors.Is(err, intake.ErrStopping):
		return verdict.ReasonStopping
	default:
		return verdict.ReasonBadRequest
	}
}

// requestID returns the caller's request ID, or another one if it is missing, too long or
// not printable ASCII.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	unprintable := func(c rune) bool { return c <= ' ' || c > '~' }
	if id == "" || len(id) > maxRequestIDBytes || strings.ContainsFunc(id, unprintable) {
		return rand.Text()
	}
	return id
}

// maxRequestIDBytes limits a request ID that the caller chose; a longer one is
// replaced.
const maxRequestIDBytes = 64

// target returns the path below /s/{service} and the query.
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

// endToEnd returns a copy of the headers without notForwarded and without those that
// the Connection header lists.
func endToEnd(in http.Header) http.Header {
	out := in.Clone()
	for _, field := range in.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range notForwarded {
		out.Del(name)
	}
	return out
}

// writeResponse sends the endpoint's response. If a streamed body fails or the caller
// doesn't read, the connection is aborted, so that a truncated response can't look complete.
func (h *handler) writeResponse(w http.ResponseWriter, r *http.Request, response *port.Response) {
	defer response.Done()
	header := w.Header()
	for name, values := range response.Header {
		header[name] = values
	}
	header.Set(HeaderVerdict, verdict.Ran.String())
	if response.Rest == nil && r.Method != http.MethodHead {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	w.WriteHeader(response.Status)
	err := delivery.WriteBody(w, response)
	if errors.Is(err, delivery.ErrClient) && errors.Is(err, os.ErrDeadlineExceeded) {
		h.refusals.Record("callers", "slow-reader", r.RemoteAddr)
	}
	if err != nil && response.Rest != nil || errors.Is(err, os.ErrDeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
}
