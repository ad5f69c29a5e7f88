package entry

import (
	"errors"
	"io"
	"slices"
	"sync"

	"sassafrasreach/internal/core/memory"
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

// errAnswerMemory means that there is no memory for an answer.
var errAnswerMemory = errors.New("no memory is left for the answer")

// answerPieceBytes is the size of the pieces in which an answer is read.
const answerPieceBytes = 64 << 10

// appendAll returns head followed by all of rest. The bytes are charged to an account.
func appendAll(head []byte, rest io.Reader, account *memory.Account) ([]byte, error) {
	pieces, size, charged := [][]byte{head}, int64(len(head)), int64(0)
	for complete := false; !complete; {
		if !account.Take(answerPieceBytes) {
			return nil, errAnswerMemory
		}
		charged += answerPieceBytes
		piece, filled := make([]byte, answerPieceBytes), 0
		for !complete && filled < len(piece) {
			n, err := rest.Read(piece[filled:])
			filled += n
			if err != nil && err != io.EOF { //nolint:errorlint // one that wraps io.EOF is that of a truncated answer
				return nil, err
			}
			complete = err != nil
		}
		pieces, size = append(pieces, piece[:filled]), size+int64(filled)
	}
	if !account.Take(size) {
		return nil, errAnswerMemory
	}
	defer account.Return(charged) // the pieces
	return slices.Concat(pieces...), nil
}
