package endpointhttp

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// readBody holds the body up to HoldBytes and lets the rest stream.
func (x *exchange) readBody(in *answer) (*port.Response, error) {
	hold := min(x.caller.opts.HoldBytes, x.maxBytes())
	body, whole, err := readUpTo(in, hold)
	if err == nil && whole {
		err = x.leftover()
	}
	if err == nil && !whole && hold == x.maxBytes() {
		err = fmt.Errorf("%w: over %d bytes", ErrTooLarge, hold)
	}
	if err != nil {
		return nil, x.fail(verdict.ReasonBadAnswer, err)
	}
	out := &port.Response{Status: in.status, Header: endToEnd(in.header), Body: body}
	if whole {
		x.finish(in)
		return out, nil
	}
	out.Rest = &rest{x: x, in: in, left: x.maxBytes() - int64(len(body))}
	return out, nil
}

// readUpTo reads at most limit bytes, and reports whether they are the whole
// body.
func readUpTo(in *answer, limit int64) (body []byte, whole bool, err error) {
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

// rest streams the part of a body that isn't held. It isn't safe for concurrent
// use.
type rest struct {
	x    *exchange
	in   *answer
	left int64
	// err is what Read returns from now on; nil while the body goes on.
	err error
}

// Read implements io.Reader. It returns io.EOF only after the whole body, and a
// *verdict.Error for a body that was truncated or is too large.
func (r *rest) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.in.body.Read(p)
	r.left -= int64(n)
	if r.left < 0 {
		r.fail(ErrTooLarge)
		return 0, r.err
	}
	if errors.Is(err, io.EOF) && r.x.leftover() != nil {
		err = r.x.leftover()
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

// Close implements io.Closer. A body that wasn't read to its end costs the
// connection.
func (r *rest) Close() error {
	if r.err == nil {
		r.fail(errors.New("answer closed before its end"))
	}
	return nil
}

func (r *rest) fail(err error) {
	r.err = r.x.fail(verdict.ReasonBadAnswer, err)
}
