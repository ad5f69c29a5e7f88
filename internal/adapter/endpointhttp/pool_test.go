package endpointhttp_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestConnectionReuse makes three sequential calls and counts the connections: a
// connection must be reused, unless the endpoint announces that it closes it, has a
// new incarnation or was forgotten.
func TestConnectionReuse(t *testing.T) {
	cases := []struct {
		name   string
		script script
		change func(to *port.Endpoint, c *endpointhttp.Caller)
		opened int
	}{
		{"reused", echoBody, func(*port.Endpoint, *endpointhttp.Caller) {}, 1},
		{"Connection: close", respondWith("200 OK\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"), func(*port.Endpoint, *endpointhttp.Caller) {}, 3},
		{"new incarnation", echoBody, func(to *port.Endpoint, _ *endpointhttp.Caller) { to.Incarnation++ }, 3},
		{"forgotten", echoBody, func(to *port.Endpoint, c *endpointhttp.Caller) { c.Forget(to.ID) }, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			link := newEndpoint(t, c.script).link(t)
			caller := newCaller(t, endpointhttp.Options{})
			to := endpointAt(link.Addr())
			for range 3 {
				_, err := caller.Call(context.Background(), to, onceOnlyRequest("r1", "", long), nil)
				is.NoErr(err)
				c.change(&to, caller)
			}
			is.Equal(link.Accepted(), c.opened)
		})
	}
}

// TestCanceledCall guards against reuse of the connection of a canceled call, whose
// response may still arrive. It cancels a call on a reused connection while the
// endpoint runs it: the connection must be closed, and the next call must open a
// new one.
func TestCanceledCall(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	closed := make(chan error, 1)
	link := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		if n != 2 {
			return echoBody(c, n, r)
		}
		cancel()
		_ = c.SetReadDeadline(time.Now().Add(long))
		_, err := c.Read(make([]byte, 1))
		closed <- err
		return false
	}).link(t)
	caller := newCaller(t, endpointhttp.Options{})
	for n, ctx := range []context.Context{context.Background(), ctx, context.Background()} {
		_, err := caller.Call(ctx, endpointAt(link.Addr()), onceOnlyRequest("r", "", long), nil)
		is.Equal(err != nil, n == 1)
	}
	is.True(!errors.Is(<-closed, os.ErrDeadlineExceeded))
	is.Equal(link.Accepted(), 2)
}

// gate returns a fixed result and records calls of Written.
type gate struct {
	err     error
	written bool
}

func (g *gate) Open() error { return g.err }
func (g *gate) Written()    { g.written = true }

// TestGate guards against a request being sent although its gate denied it. The
// connection must then be kept for the next call.
func TestGate(t *testing.T) {
	is := is.New(t)
	e := newEndpoint(t, echoBody)
	link := e.link(t)
	caller := newCaller(t, endpointhttp.Options{})
	shut := verdict.NewError(verdict.NotRun, verdict.ReasonCap, nil)
	for _, g := range []*gate{{}, {err: shut}, {}} {
		_, err := caller.Call(context.Background(), endpointAt(link.Addr()), onceOnlyRequest("r", "", long), g)
		is.Equal(err, g.err)
		is.Equal(g.written, g.err == nil)
	}
	is.Equal(e.runs.Load(), int64(2))
	is.Equal(link.Accepted(), 1)
}

// trackedConn is a connection that calls closed when it is closed.
type trackedConn struct {
	*net.TCPConn
	closed func()
}

func (c trackedConn) Close() error {
	c.closed()
	return c.TCPConn.Close()
}

// TestConnectionLimit guards against more open connections than the endpoint's
// limit. It lets idle connections become too old for reuse between calls, so that
// each call opens another one. Then, with all connections in use, a further call
// must wait and fail with NotRun at its deadline.
func TestConnectionLimit(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	open, most := 0, 0
	add := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		open += n
		most = max(most, open)
	}
	now := time.Now()
	caller := newCaller(t, endpointhttp.Options{
		Clock: port.ClockFunc(func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return now
		}),
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			var d net.Dialer
			c, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			add(1)
			return trackedConn{c.(*net.TCPConn), sync.OnceFunc(func() { add(-1) })}, nil
		},
	})
	busy := make(chan struct{})
	to := endpointAt(newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		if r.URL.Path == "/busy" {
			<-busy
		}
		return echoBody(c, n, r)
	}).addr)
	to.Connections = 2
	for range 3 {
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() { _, _ = caller.Call(context.Background(), to, onceOnlyRequest("r1", "", long), nil) })
		}
		both.Wait()
		mu.Lock()
		now = now.Add(2 * time.Second)
		mu.Unlock()
	}
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			req := onceOnlyRequest("r1", "", long)
			req.Target = "/busy"
			_, _ = caller.Call(context.Background(), to, req, nil)
		})
	}
	time.Sleep(short)
	_, err := caller.Call(context.Background(), to, onceOnlyRequest("r1", "", short), nil)
	close(busy)
	both.Wait()
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(verdict.ReasonOf(err), verdict.ReasonDeadline)
	is.Equal(most, 2)
}

// TestHeaders guards against hop-by-hop headers and the system's own headers being
// forwarded in either direction, and against a caller's timeout header replacing
// the one of the Caller.
func TestHeaders(t *testing.T) {
	is := is.New(t)
	seen := make(chan http.Header, 1)
	e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		seen <- r.Header
		return respondWith("200 OK\r\n%sKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 1\r\nSassafrasreach-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")(c, n, r)
	})
	req := onceOnlyRequest("r1", "", long)
	req.Header = http.Header{
		"Connection": {"X-Hop, X-Hop-2"}, "X-Hop": {"1"}, "X-Hop-2": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"},
		"Expect": {"100-continue"}, "X-End": {"1"}, endpointhttp.HeaderTimeout: {"99999999"}, "Idempotency-Key": {"k"},
	}
	got, err := newCaller(t, endpointhttp.Options{}).Call(context.Background(), endpointAt(e.addr), req, nil)
	is.NoErr(err)
	is.Equal(got.Header, http.Header{"X-End": {"1"}, "Content-Length": {"0"}})
	sent := <-seen
	is.True(sent.Get(endpointhttp.HeaderTimeout) < "99999999" && len(sent.Get(endpointhttp.HeaderTimeout)) == 5)
	for _, name := range []string{"Connection", "X-Hop", "X-Hop-2", "Te", "Upgrade", "Expect", "User-Agent"} {
		is.Equal(sent.Get(name), "")
	}
	is.Equal(sent.Get("X-End")+sent.Get("Idempotency-Key"), "1k")
}
