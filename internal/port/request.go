package port

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
)

// Request is a caller's request for an endpoint.
type Request struct {
	// ID identifies this attempt; an answer must echo it.
	ID string
	// Service names the requested service.
	Service string
	// Origin names the place that the caller belongs to.
	Origin string
	// Host is the requested host; empty means the endpoint's address.
	Host string
	// Method and Target are the HTTP method and the path with its query as the
	// endpoint sees them.
	Method string
	Target string
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body; its length is bounded by the service's
	// MaxBodyBytes.
	Body []byte
	// BodyRest holds what follows Body of a large body, which isn't held in one piece,
	// since that would take twice its memory while it arrives.
	BodyRest [][]byte
	// Retain keeps the memory of the body charged until release is called, for an attempt
	// that outlives the call that it was passed to; nil if nothing is charged.
	Retain func() (release func())
	// OnceOnly means that the request must not run twice.
	OnceOnly bool
	// Key is the once-only key; empty for idempotent requests.
	Key string
	// Deadline is the time after which the answer is of no use, on this VM's
	// clock. Between VMs it is sent as the remaining time.
	Deadline time.Time
	// MaxAnswerBytes bounds the answer's body.
	MaxAnswerBytes int64
	// Identify means that the configuration has client accounts. The endpoint is then
	// told the name of Account, or nothing if that is empty, and gets neither the key
	// nor the name that the client sent.
	Identify bool
	Account  string
	// StreamAfter is the size in bytes beyond which the answer's body is passed on
	// before it is complete (Response.Begin); 0 turns that off.
	StreamAfter int64
	// NeedsLength means that the reader can't tell a truncated body from a complete one
	// unless its length was declared. Other bodies aren't streamed.
	NeedsLength bool
}

// BodyBytes returns the size of the body in bytes.
func (r *Request) BodyBytes() int64 {
	n := int64(len(r.Body))
	for _, part := range r.BodyRest {
		n += int64(len(part))
	}
	return n
}

// RetainBody calls Retain, if there is one.
func (r *Request) RetainBody() (release func()) {
	if r.Retain == nil {
		return func() {}
	}
	return r.Retain()
}

// BodyParts returns the pieces of the body.
func (r *Request) BodyParts() [][]byte {
	return append([][]byte{r.Body}, r.BodyRest...)
}

// Response is an endpoint's answer. It exists only when the request ran.
type Response struct {
	// Status is the HTTP status.
	Status int
	// Header holds the end-to-end headers.
	Header http.Header
	// Body is the whole body, or its first part when Rest is set.
	Body []byte
	// Signals are what the endpoint said about itself with the answer.
	Signals registry.Signals
	// Rest is the unread part of a large body; nil when Body is the whole. A
	// reader must treat any error but io.EOF as a truncated answer.
	Rest io.ReadCloser
	// Begin starts to read Rest from the endpoint, ahead of the reader of Rest; nil if
	// Rest is read at its reader's speed. It must be called once. ended is called once:
	// with nil when the endpoint's part is complete, though its reader may not have read
	// it all, or with a *verdict.Error.
	Begin func(ended func(error))
	// Release is called once Header and Body have been written or dropped, so that
	// others may use their memory. It may be nil, and be called again.
	Release func()
}

// RestFailure returns the error with which Rest is known to break off, nil if none is known.
func (r *Response) RestFailure() error {
	if rest, ok := r.Rest.(interface{ Failure() error }); ok {
		return rest.Failure()
	}
	return nil
}

// Done calls Release, if there is one.
func (r *Response) Done() {
	if r != nil && r.Release != nil {
		r.Release()
	}
}

// ErrRefused means that the endpoint refused to run the request.
var ErrRefused = errors.New("the endpoint refused to run the request")

// AnsweredError is wrapped by the error of a request whose endpoint answered, if
// the answer can't be passed on.
type AnsweredError struct {
	// Err is the reason; ErrRefused if the endpoint didn't run the request.
	Err error
	// Signals are what the endpoint said about itself with the answer.
	Signals registry.Signals
}

// Error implements error.
func (e *AnsweredError) Error() string { return e.Err.Error() }

// Unwrap returns the reason.
func (e *AnsweredError) Unwrap() error { return e.Err }

// Endpoint is the address of one endpoint and the incarnation that runs there.
type Endpoint struct {
	// ID identifies the endpoint.
	ID string
	// Incarnation changes at each start of the endpoint.
	Incarnation uint64
	// Address is its IP:port.
	Address string
	// Connections bounds the connections that may be open to it.
	Connections int
}

// Gate decides right before sending whether an attempt of a request may still
// be sent.
type Gate interface {
	// Open returns nil if the request may be sent now. Its error is a
	// *verdict.Error with NotRun.
	Open() error
	// Written is called once the whole request has been written.
	Written()
}

// EndpointCaller sends one request to one endpoint.
//
// A nil error means Ran, whatever the status. Every error is a *verdict.Error:
// NotRun only on proof that the endpoint did not start the request (the dial
// failed, nothing was written, or the endpoint's explicit shed answer), and
// MayHaveRun for all else.
type EndpointCaller interface {
	// Call opens the gate, if there is one, right before the request's first
	// byte is written; nothing is written if Open returns an error.
	Call(ctx context.Context, to Endpoint, req *Request, gate Gate) (*Response, error)
	// Probe opens a new connection and closes it. Its error wraps
	// ErrConnectionRefused when nothing listens at the address.
	Probe(ctx context.Context, to Endpoint) error
}

var (
	// ErrConnectionLost is wrapped by the error of a request whose connection
	// was reset or closed before the answer: its endpoint may have ended.
	ErrConnectionLost = errors.New("connection lost")
	// ErrConnectionRefused means that nothing listens at an address.
	ErrConnectionRefused = errors.New("connection refused")
)

// Clock returns the time; tests use their own.
type Clock interface {
	Now() time.Time
}

// ClockFunc adapts a function to Clock.
type ClockFunc func() time.Time

// Now implements Clock.
func (f ClockFunc) Now() time.Time { return f() }

// BootClock measures time that goes on while the VM is suspended, which the differences
// between two times of Clock don't.
type BootClock interface {
	// SinceBoot returns the time since the VM's start, or since another fixed time.
	SinceBoot() time.Duration
}

// BootClockFunc adapts a function to BootClock.
type BootClockFunc func() time.Duration

// SinceBoot implements BootClock.
func (f BootClockFunc) SinceBoot() time.Duration { return f() }

// BootClockOf returns a BootClock that follows a Clock, for VMs that are never suspended.
func BootClockOf(c Clock) BootClock {
	start := c.Now()
	return BootClockFunc(func() time.Duration { return c.Now().Sub(start) })
}

// Answer pairs a response with its error, for queues and tests.
type Answer struct {
	Response *Response
	Err      error
}

// Verdict returns the verdict of the answer.
func (a Answer) Verdict() verdict.Verdict { return verdict.Of(a.Err) }
