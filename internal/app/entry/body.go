package entry

import (
	"bytes"
	"errors"
	"io"
	"sync"
)

// closer wraps a body and calls after once, when the body is first closed.
type closer struct {
	io.ReadCloser
	once  sync.Once
	after func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	err := c.ReadCloser.Close()
	c.once.Do(c.after)
	return err
}

// errClosedEarly means that a body was closed before its end.
var errClosedEarly = errors.New("body closed before its end")

// watchedBody remembers how reading a body ended.
type watchedBody struct {
	io.ReadCloser
	err error
}

// Read implements io.Reader.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.err = err
	}
	return n, err
}

// result returns nil if the body was read to its end, or the reason why it wasn't.
func (b *watchedBody) result() error {
	switch {
	case b.err == nil:
		return errClosedEarly
	case errors.Is(b.err, io.EOF):
		return nil
	default:
		return b.err
	}
}

// appendAll returns head followed by all of rest.
func appendAll(head []byte, rest io.Reader) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(head)
	if _, err := buffer.ReadFrom(rest); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
