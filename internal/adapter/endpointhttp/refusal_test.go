package endpointhttp_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
)

// TestRefusalSentTwice guards against a refusal that the endpoint sends once more on
// a kept connection and that is taken for the answer to a further attempt of the
// same request, which runs: IDs that are sent unchanged are the same in both.
func TestRefusalSentTwice(t *testing.T) {
	convention := endpointhttp.HeaderConvention{
		IDHeader: "Id", ExactID: true, TimeoutHeader: "Timeout-Ms",
		NotRun: func(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable },
	}
	is := is.New(t)
	var first atomic.Pointer[net.TCPConn]
	var running atomic.Bool
	refuse := func(c *net.TCPConn, id string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
	}
	e := newEndpoint(t, func(c *net.TCPConn, _ int64, r *http.Request) bool {
		id := r.Header.Get("Id")
		_, _ = io.Copy(io.Discard, r.Body)
		if first.CompareAndSwap(nil, c) {
			refuse(c, id)
			return true
		}
		running.Store(true)
		if c == first.Load() {
			refuse(c, "r1") // once more
		}
		_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	})
	link := e.link(t)
	caller := newCaller(t, endpointhttp.Options{HeaderConvention: convention})
	_, err := caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r1", "", long), nil)
	is.Equal(verdict.Of(err), verdict.NotRun)
	time.Sleep(10 * time.Millisecond)
	_, err = caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r1", "", long), nil)
	is.True(running.Load())
	is.True(verdict.Of(err) != verdict.NotRun)
	// Another request may use the first connection: the ID shows whose refusal it is.
	_, err = caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r2", "", long), nil)
	is.True(verdict.Of(err) != verdict.NotRun)
	is.Equal(link.Accepted(), 2)
}
