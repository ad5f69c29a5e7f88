package endpointhttp_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// sendBody responds with a body in pieces, with a length or in chunks, and cuts it after
// sent bytes unless that is all of it.
func sendBody(body []byte, sent, piece int, chunked bool) script {
	return func(c *net.TCPConn, _ int64, r *http.Request) bool {
		framing := fmt.Sprintf("Content-Length: %d", len(body))
		if chunked {
			framing = "Transfer-Encoding: chunked"
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s\r\n\r\n",
			endpointhttp.HeaderRequestID, r.Header.Get(endpointhttp.HeaderRequestID), framing)
		for rest := body[:sent]; len(rest) > 0 && err == nil; {
			n := min(piece, len(rest))
			if chunked {
				_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", n, rest[:n])
			} else {
				_, err = c.Write(rest[:n])
			}
			rest = rest[n:]
		}
		if chunked && sent == len(body) {
			_, err = io.WriteString(c, "0\r\n\r\n")
		}
		return err == nil && sent == len(body)
	}
}

// stream calls an endpoint for a streamed response and returns it, with the channel that
// gets the end of the endpoint's part.
func stream(t *testing.T, caller *endpointhttp.Caller, addr string, within time.Duration) (*port.Response, <-chan error) {
	request := onceOnlyRequest("r", "", within)
	request.StreamAfter = 1 << 10
	response, err := caller.Call(t.Context(), endpointAt(addr), request, nil)
	is.New(t).NoErr(err)
	is.New(t).True(response.Begin != nil) // it is streamed
	ended := make(chan error, 2)
	response.Begin(func(err error) { ended <- err })
	return response, ended
}

// TestStreamedBodies guards against a streamed body that differs from what the endpoint
// sent, whatever the sizes, the framing, the bounds on memory and the reader's speed; and
// against a truncated one that looks complete.
func TestStreamedBodies(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		size := rapid.IntRange(8<<10, 200<<10).Draw(r, "size")
		body := bytes.Repeat([]byte("0123456789abcdefg"), size/17+1)[:size]
		sent := rapid.SampledFrom([]int{size, size, size - 1, size / 2}).Draw(r, "sent")
		piece := rapid.IntRange(500, 40000).Draw(r, "piece")
		e := newEndpoint(t, sendBody(body, sent, piece, rapid.Bool().Draw(r, "chunked")))
		caller := newCaller(t, endpointhttp.Options{
			MaxHeldBytes:      rapid.SampledFrom([]int64{1, 40 << 10, 1 << 20}).Draw(r, "memory"),
			StreamBufferBytes: rapid.SampledFrom([]int64{1, 40 << 10, 1 << 20}).Draw(r, "buffer"),
		})
		response, ended := stream(t, caller, e.addr, 10*time.Second)
		rest, err := io.ReadAll(io.MultiReader(io.LimitReader(response.Rest, 5000), response.Rest))
		got := slices.Concat(response.Body, rest)
		if sent == size && (err != nil || !bytes.Equal(got, body) || <-ended != nil) {
			r.Fatalf("%d of %d bytes, error %v", len(got), size, err)
		}
		if sent < size && !errors.Is(err, response.RestFailure()) || sent == size && response.RestFailure() != nil {
			r.Fatalf("failure %v after error %v", response.RestFailure(), err)
		}
		if sent < size && (verdict.Of(err) != verdict.MayHaveRun || !errors.Is(<-ended, port.ErrConnectionLost) || !bytes.HasPrefix(body, got)) {
			r.Fatalf("truncated response: error %v", err)
		}
		_ = response.Rest.Close()
		response.Done()
	})
}

// TestStreamEndsBeforeReader guards against a slot that is held by a client that reads
// slowly: the endpoint's part ends although nothing is read, and its connection is used
// again.
func TestStreamEndsBeforeReader(t *testing.T) {
	is := is.New(t)
	body := bytes.Repeat([]byte("x"), 500<<10)
	e := newEndpoint(t, sendBody(body, len(body), 8<<10, false))
	link := e.link(t)
	caller := newCaller(t, endpointhttp.Options{})
	first, ended := stream(t, caller, link.Addr(), 10*time.Second)
	is.NoErr(<-ended)
	second, ended := stream(t, caller, link.Addr(), 10*time.Second)
	is.NoErr(<-ended)
	is.Equal(link.Accepted(), 1)
	for _, response := range []*port.Response{first, second} {
		rest, err := io.ReadAll(response.Rest)
		is.NoErr(err)
		is.True(bytes.Equal(append(response.Body, rest...), body))
	}
}

// TestSlowReaderIsAtFault guards against an endpoint that is held at fault because the
// reader of its response made no room for the rest, and against a reader that gives up and
// leaves the connection open.
func TestSlowReaderIsAtFault(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 3<<20)
	e := newEndpoint(t, sendBody(body, len(body), 8<<10, false))
	caller := newCaller(t, endpointhttp.Options{StreamBufferBytes: 64 << 10})
	t.Run("at the deadline", func(t *testing.T) {
		is := is.New(t)
		response, ended := stream(t, caller, e.addr, 300*time.Millisecond)
		err := <-ended
		is.True(errors.Is(err, endpointhttp.ErrSlowReader))
		is.Equal(verdict.ReasonOf(err), verdict.ReasonCanceled)
		_, err = response.Rest.Read(make([]byte, 1))
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
	})
	t.Run("given up", func(t *testing.T) {
		is := is.New(t)
		response, ended := stream(t, caller, e.addr, 10*time.Second)
		is.NoErr(response.Rest.Close())
		is.Equal(verdict.ReasonOf(<-ended), verdict.ReasonCanceled)
	})
}
