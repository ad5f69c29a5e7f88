package endpointhttp

import (
	"io"
	"net/http"
)

// answer is an answer whose body is still on the connection. The exchange ends
// the body with the connection, not by closing it.
type answer struct {
	status int
	header http.Header
	// length is the size of the body in bytes; 0 without a body, -1 when only
	// the body's own framing tells.
	length int64
	// framed says that the body's end can be told from a broken connection.
	framed bool
	// close says that the endpoint closes the connection.
	close bool
	body  io.Reader
}

func newAnswer(in *http.Response) *answer {
	a := &answer{
		status: in.StatusCode,
		header: in.Header,
		length: in.ContentLength,
		framed: in.ContentLength >= 0 || len(in.TransferEncoding) > 0,
		close:  in.Close,
		body:   in.Body,
	}
	if in.Body == http.NoBody {
		a.length = 0
		a.framed = true
	}
	return a
}
