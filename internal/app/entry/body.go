package entry

import (
	"bytes"
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

// appendAll returns head followed by all of rest.
func appendAll(head []byte, rest io.Reader) ([]byte, error) {
	var buffer bytes.Buffer
	buffer.Write(head)
	if _, err := buffer.ReadFrom(rest); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}
