package endpointhttp_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// endpoint is an HTTP endpoint on a raw socket that counts the requests that it
// runs: all whose head it received, except those with a Test-Shed header.
type endpoint struct {
	addr string
	runs atomic.Int64
	// script responds to the nth request, from 1, over all connections; returning
	// false closes the connection.
	script script
}

type script = func(c *net.TCPConn, n int64, r *http.Request) bool

func newEndpoint(t *testing.T, script script) *endpoint {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	e := &endpoint{addr: listener.Addr().String(), script: script}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	return e
}

func (e *endpoint) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		n := e.runs.Add(1)
		if r.Header.Get("Test-Shed") != "" {
			e.runs.Add(-1)
		}
		if !e.script(c, n, r) {
			return
		}
	}
}

// echoBody reads the request's body and returns it in the response.
func echoBody(c *net.TCPConn, _ int64, r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return false
	}
	_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		endpointhttp.HeaderRequestID, r.Header.Get(endpointhttp.HeaderRequestID), len(body), body)
	return err == nil
}

// respondWith responds with text after the HTTP version and keeps the connection
// open. The first verb in text is replaced by the header line with the request's
// ID, the others by args.
func respondWith(text string, args ...any) script {
	return func(c *net.TCPConn, _ int64, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		id := endpointhttp.HeaderRequestID + ": " + r.Header.Get(endpointhttp.HeaderRequestID) + "\r\n"
		_, err := fmt.Fprintf(c, "HTTP/1.1 "+text, append([]any{id}, args...)...)
		return err == nil
	}
}

func (e *endpoint) link(t *testing.T) *testlink.Link {
	link, err := testlink.New(e.addr)
	is.New(t).NoErr(err)
	t.Cleanup(link.Close)
	return link
}

func newCaller(t *testing.T, opts endpointhttp.Options) *endpointhttp.Caller {
	caller := endpointhttp.New(opts)
	t.Cleanup(caller.Close)
	return caller
}

func endpointAt(addr string) port.Endpoint {
	return port.Endpoint{ID: "w", Address: addr, Connections: 8}
}

// onceOnlyRequest returns a once-only request with a deadline in d.
func onceOnlyRequest(id, body string, d time.Duration) *port.Request {
	return &port.Request{
		ID: id, Method: http.MethodPost, Target: "/file?x=1", OnceOnly: true,
		Body: []byte(body), Deadline: time.Now().Add(d), MaxAnswerBytes: 4 << 20,
	}
}
