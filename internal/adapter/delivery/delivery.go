// Package delivery writes the bodies of responses to clients that may not read them.
package delivery

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// Patience is how long a client may take to read PieceBytes of a response. One that
	// takes longer is cut off.
	Patience = 5 * time.Second
	// PieceBytes is the part of a response that a client must read within Patience.
	PieceBytes = 8 << 10
	// unboundedWriteBytes is the size of a body up to which no time is set: the server
	// buffers it.
	unboundedWriteBytes = 4 << 10
)

// ErrClient means that a response couldn't be written to its client.
var ErrClient = errors.New("the client doesn't take the response")

// WriteBody writes the body of a response: what has arrived, and then the rest as it
// arrives. It fails if the rest is truncated or the client doesn't read.
func WriteBody(w http.ResponseWriter, response *port.Response) error {
	client := slowWriter{w, http.NewResponseController(w)}
	if response.Rest == nil {
		return client.write(response.Body)
	}
	defer func() { _ = response.Rest.Close() }()
	if err := client.write(response.Body); err != nil {
		return err
	}
	piece := make([]byte, PieceBytes)
	for {
		if err := client.flush(); err != nil {
			return err
		}
		n, err := response.Rest.Read(piece)
		client.extend() // the time until then was the endpoint's
		if errWrite := client.write(piece[:n]); errWrite != nil {
			return errWrite
		}
		if err == io.EOF { // an error that wraps it is that of a truncated response
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// slowWriter writes to a client and gives up if the client doesn't read for
// Patience. The limit remains set for what the server still has in its buffers.
type slowWriter struct {
	http.ResponseWriter
	control *http.ResponseController
}

func (w slowWriter) write(body []byte) error {
	for len(body) > 0 {
		piece := body[:min(len(body), PieceBytes)]
		body = body[len(piece):]
		if len(body)+len(piece) > unboundedWriteBytes {
			w.extend()
		}
		if _, err := w.Write(piece); err != nil {
			return fmt.Errorf("%w: %w", ErrClient, err)
		}
	}
	return nil
}

// flush sends what the server has buffered.
func (w slowWriter) flush() error {
	w.extend()
	if err := w.control.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return fmt.Errorf("%w: %w", ErrClient, err)
	}
	return nil
}

// extend gives the client Patience from now. A writer without deadlines, as in
// tests, has none.
func (w slowWriter) extend() { _ = w.control.SetWriteDeadline(time.Now().Add(Patience)) }
