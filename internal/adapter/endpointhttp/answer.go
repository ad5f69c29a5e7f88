package endpointhttp

import (
	"io"
	"net/http"
)

// response is a response whose body hasn't been read from the connection yet. The
// body is never closed; the exchange reads it to its end or closes the connection.
type response struct {
	status int
	header http.Header
	// length is the declared size of the body in bytes: 0 without a body, -1 if the
	// head doesn't declare it.
	length int64
	// framed means that the end of the body can be distinguished from a broken
	// connection: the length is known or the body has a transfer coding.
	framed bool
	// close means that the connection can't be reused after this response.
	close bool
	body  io.Reader
}

func newResponse(in *http.Response) *response {
	r := &response{
		status: in.StatusCode,
		header: in.Header,
		length: in.ContentLength,
		framed: in.ContentLength >= 0 || len(in.TransferEncoding) > 0,
		close:  in.Close,
		body:   in.Body,
	}
	if in.Body == http.NoBody {
		r.length = 0
		r.framed = true
	}
	return r
}
