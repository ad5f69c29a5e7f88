package endpointhttp_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestResend guards against requests that fail because an endpoint dropped an idle
// connection, against those that run twice although they must not, and against a resend
// that hides that the first run ended the endpoint's process: then the result must be the
// reset connection of the first run. The endpoint doesn't answer the second request.
func TestResend(t *testing.T) {
	answerFirst := func(then script) script {
		return func(c *net.TCPConn, n int64, r *http.Request) bool {
			if n <= 2 {
				return n == 1 && echoBody(c, n, r)
			}
			return then(c, n, r)
		}
	}
	cases := []struct {
		name     string
		script   script
		onceOnly bool
		served   bool
		runs     int64
	}{
		{"idle connection dropped", answerFirst(echoBody), false, true, 3},
		{"once-only", answerFirst(echoBody), true, false, 2},
		{"reset again", answerFirst(func(*net.TCPConn, int64, *http.Request) bool { return false }), false, false, 3},
		{"refused by the next incarnation", answerFirst(respondWith("503 Service Unavailable\r\n%sSassafrasreach-Shed: true\r\nContent-Length: 0\r\n\r\n")), false, false, 3},
		{"reset within the head", func(c *net.TCPConn, n int64, r *http.Request) bool {
			if n == 2 {
				_, _ = fmt.Fprint(c, "HTTP/1.1 200")
			}
			return n != 2 && echoBody(c, n, r)
		}, false, false, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := newEndpoint(t, c.script)
			caller := newCaller(t, endpointhttp.Options{ResendReset: true})
			for n := range 2 {
				req := onceOnlyRequest("r", "", long)
				req.OnceOnly = c.onceOnly
				_, err := caller.Call(context.Background(), endpointAt(e.addr), req, nil)
				is.Equal(err == nil, n == 0 || c.served)
				if err != nil {
					is.Equal(verdict.Of(err), verdict.MayHaveRun)
					is.True(errors.Is(err, port.ErrConnectionLost))
				}
			}
			is.Equal(e.runs.Load(), c.runs)
		})
	}
}

// TestResendsAreBounded guards against resends that double the requests of endpoints which
// reset every reused connection, and against responses that reach another caller when
// connections share buffers.
func TestResendsAreBounded(t *testing.T) {
	is := is.New(t)
	const calls, workers = 200, 4
	var mu sync.Mutex
	carried := make(map[string]bool)
	e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		mu.Lock()
		second := carried[c.RemoteAddr().String()]
		carried[c.RemoteAddr().String()] = true
		mu.Unlock()
		return !second && echoBody(c, n, r)
	})
	caller := newCaller(t, endpointhttp.Options{ResendReset: true})
	var all sync.WaitGroup
	for w := range workers {
		all.Go(func() {
			for n := range calls / workers {
				body := fmt.Sprint(w, "-", n)
				req := onceOnlyRequest(body, body, long)
				req.OnceOnly = false
				if got, err := caller.Call(context.Background(), endpointAt(e.addr), req, nil); err == nil && string(got.Body) != body {
					t.Errorf("call %s got %q", body, got.Body)
				}
			}
		})
	}
	all.Wait()
	is.True(e.runs.Load() <= calls+3*calls/100+5)
	is.True(e.runs.Load() > calls)
}

// TestStatedIdle guards against a connection that is used when the endpoint may close it,
// or that isn't kept as long as the endpoint keeps it, and against more idle connections
// than may be.
func TestStatedIdle(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"timeout=10": 9 * time.Second, "max=5, Timeout=10": 9 * time.Second, "timeout=1": 500 * time.Millisecond, "timeout=3600": 30 * time.Second,
		"timeout=-1": 4 * time.Second, "timeout=soon": 4 * time.Second, "timeout=1e9": 4 * time.Second, "": 4 * time.Second, "10": 4 * time.Second,
	} {
		for _, after := range []time.Duration{want - 10*time.Millisecond, want + 10*time.Millisecond} {
			is := is.New(t)
			now := time.Now()
			var got []endpointhttp.Origin
			caller := newCaller(t, endpointhttp.Options{
				Clock: port.ClockFunc(func() time.Time { return now }), IdleTimeout: 4 * time.Second, MaxStatedIdle: 30 * time.Second,
				OnConnection: func(o endpointhttp.Origin) { got = append(got, o) },
			})
			e := newEndpoint(t, respondWith("200 OK\r\n%sKeep-Alive: "+strings.ReplaceAll(header, "%", "")+"\r\nContent-Length: 0\r\n\r\n"))
			for range 2 {
				req := onceOnlyRequest("r", "", long)
				req.OnceOnly = false
				_, err := caller.Call(context.Background(), endpointAt(e.addr), req, nil)
				is.NoErr(err)
				now = now.Add(after)
			}
			is.Equal(got[1] == endpointhttp.Reused, after < want)
		}
	}
	is := is.New(t)
	e := newEndpoint(t, echoBody)
	link := e.link(t)
	caller := newCaller(t, endpointhttp.Options{MaxIdleConnections: 2})
	for range 2 {
		for n := range 3 {
			to := port.Endpoint{ID: fmt.Sprint(n), Address: link.Addr(), Connections: 8}
			_, err := caller.Call(context.Background(), to, onceOnlyRequest("r", "", long), nil)
			is.NoErr(err)
		}
	}
	is.Equal(link.Accepted(), 4) // the third endpoint's connection isn't kept
}
