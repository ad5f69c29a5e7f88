package endpointhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// readBody buffers the body up to MaxBufferedBytes and streams the remainder.
func (x *exchange) readBody(in *response) (*port.Response, error) {
	limit := min(x.caller.opts.MaxBufferedBytes, x.maxBytes())
	body, complete, err := readUpTo(in, limit)
	if err == nil && complete {
		err = x.checkTrailingBytes()
	}
	if err == nil && !complete && limit == x.maxBytes() {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, limit)
	}
	if err != nil {
		return nil, x.fail(verdict.ReasonBadAnswer, err)
	}
	out := &port.Response{Status: in.status, Header: endToEnd(in.header), Body: body, Signals: x.caller.opts.HeaderConvention.signals(in)}
	if complete {
		x.finish(in)
		return out, nil
	}
	out.Rest = &bodyStream{x: x, in: in, left: x.maxBytes() - int64(len(body))}
	return out, nil
}

// readUpTo reads the body up to limit bytes, and one more to detect its end. It
// reports whether the body is complete; otherwise body has limit+1 bytes.
func readUpTo(in *response, limit int64) (body []byte, complete bool, err error) {
	var b bytes.Buffer
	if in.length > 0 {
		b.Grow(int(min(in.length, limit)) + bytes.MinRead)
	}
	n, err := io.Copy(&b, io.LimitReader(in.body, limit))
	if err != nil {
		return nil, false, err
	}
	if n < limit {
		return b.Bytes(), true, nil
	}
	var next [1]byte
	m, err := io.ReadFull(in.body, next[:])
	if errors.Is(err, io.EOF) {
		return b.Bytes(), true, nil
	}
	b.Write(next[:m])
	return b.Bytes(), false, err
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
		r.fail(err)
	}
	return n, r.err
}

// Close implements io.Closer. If the body wasn't read to its end, the connection
// is closed instead of reused.
func (r *bodyStream) Close() error {
	if r.err == nil {
		r.fail(errors.New("response body closed before its end"))
	}
	return nil
}

func (r *bodyStream) fail(err error) {
	r.err = r.x.fail(verdict.ReasonBadAnswer, err)
}
