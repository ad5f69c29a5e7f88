package endpointhttp

import (
	"errors"
	"fmt"
	"io"
	"runtime"

	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// readBody buffers a small body. Of a larger one it buffers the first part; the rest is a
// stream if the request allows that.
func (x *exchange) readBody(in *response) (*port.Response, error) {
	limit := min(x.caller.opts.MaxBufferedBytes, x.maxBytes())
	streams := x.streamable(in)
	if streams {
		limit = min(limit, x.req.StreamAfter)
		if in.length > limit {
			return x.startStream(in, nil)
		}
	}
	body, complete, err := x.readUpTo(in, limit)
	if err == nil && complete {
		err = x.checkTrailingBytes()
	}
	if err == nil && !complete && (limit == x.maxBytes() || x.req.StreamAfter > 0 && !streams) {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	if err != nil {
		return nil, x.fail(verdict.ReasonBadAnswer, err)
	}
	if !complete && streams {
		return x.startStream(in, body)
	}
	out := x.newResponse(in, body)
	if complete {
		x.finish(in)
		return out, nil
	}
	out.Rest = &bodyStream{x: x, in: in, left: x.maxBytes() - int64(len(body))}
	return out, nil
}

// newResponse returns the response with the part of its body that has been read.
func (x *exchange) newResponse(in *response, body []byte) *port.Response {
	out := &port.Response{
		Status: in.status, Header: endToEnd(in.header), Body: body, Signals: x.caller.opts.HeaderConvention.signals(in),
		Release: x.account.Close,
	}
	// A response that is dropped without Release gives its memory back, too.
	runtime.AddCleanup(out, (*memory.Account).Close, x.account)
	return out
}

// readUpTo reads the body up to limit bytes, and one more to detect its end. It
// reports whether the body is complete; otherwise body has limit+1 bytes. Memory beyond
// freeBodyBytes is charged to the exchange's account before it is used.
func (x *exchange) readUpTo(in *response, limit int64) (body []byte, complete bool, err error) {
	body = make([]byte, 0, firstCapacity(in.length, limit))
	for {
		if len(body) == cap(body) {
			if body, err = x.grow(body, limit+1); err != nil {
				return nil, false, err
			}
		}
		n, err := in.body.Read(body[len(body):min(int64(cap(body)), limit+1)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return body, false, nil
		case errors.Is(err, io.EOF):
			return body, true, nil
		case err != nil:
			// A parser may hide that the connection ended within its input.
			return nil, false, errors.Join(err, x.conn.input.err)
		}
	}
}

// firstCapacity returns the capacity with which the buffer of a body begins: one more
// than a declared length, so that the end is seen without growing, if that is small.
func firstCapacity(length, limit int64) int64 {
	if length < 0 {
		length = readBufferBytes
	}
	return min(length, limit, freeBodyBytes-1) + 1
}

// grow doubles the capacity of a buffer, up to a limit.
func (x *exchange) grow(buffer []byte, limit int64) ([]byte, error) {
	before, after := int64(cap(buffer)), min(2*int64(cap(buffer)), limit)
	if after > freeBodyBytes && !x.account.Take(after) {
		return nil, ErrMemory
	}
	grown := append(make([]byte, 0, after), buffer...)
	if before > freeBodyBytes {
		x.account.Return(before)
	}
	return grown, nil
}

// bodyStream is the part of a body that isn't buffered. It isn't safe for
// concurrent use.
type bodyStream struct {
	x    *exchange
	in   *response
	left int64
	// err is returned by all further calls of Read; nil until the body has ended or
	// failed.
	err error
}

// Read implements io.Reader. It returns io.EOF only after the complete body, and a
// *verdict.Error if the body is truncated or too large.
func (r *bodyStream) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.in.body.Read(p)
	r.left -= int64(n)
	if r.left < 0 {
		r.fail(ErrTooLarge)
		return 0, r.err
	}
	if errors.Is(err, io.EOF) && r.x.checkTrailingBytes() != nil {
		err = r.x.checkTrailingBytes()
	}
	switch {
	case errors.Is(err, io.EOF):
		r.err = io.EOF
		r.x.finish(r.in)
	case err != nil:
		r.fail(errors.Join(err, r.x.conn.input.err))
	}
	return n, r.err
}

// Close implements io.Closer. If the body wasn't read to its end, the connection
// is closed instead of reused.
func (r *bodyStream) Close() error {
	if r.err == nil {
		r.fail(errClosedEarly)
	}
	return nil
}

func (r *bodyStream) fail(err error) {
	r.err = r.x.fail(verdict.ReasonBadAnswer, err)
}
