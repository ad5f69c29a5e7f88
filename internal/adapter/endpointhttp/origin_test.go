package endpointhttp_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/port"
)

// TestOrigins guards against new connections that are attributed to another cause. Each
// case sends two requests, the second one some time after the first.
func TestOrigins(t *testing.T) {
	slow := func(c *net.TCPConn, n int64, r *http.Request) bool {
		time.Sleep(2 * short)
		return echoBody(c, n, r)
	}
	cases := []struct {
		name     string
		script   script
		onceOnly bool
		within   time.Duration
		idle     time.Duration
		want     endpointhttp.Origin
	}{
		{"reused", echoBody, true, long, 900 * time.Millisecond, endpointhttp.Reused},
		{"once-only, idle", echoBody, true, long, 1100 * time.Millisecond, endpointhttp.OnceOnlyIdle},
		{"idle", echoBody, false, long, 11 * time.Second, endpointhttp.Idle},
		{"closed", func(c *net.TCPConn, n int64, r *http.Request) bool { _ = echoBody(c, n, r); return false }, false, long, 0, endpointhttp.EndpointClosed},
		{"to be closed", respondWith("200 OK\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n"), false, long, 0, endpointhttp.EndpointClosed},
		{"without an end", respondWith("200 OK\r\n%s\r\n"), false, long, 0, endpointhttp.Untrusted},
		{"a deadline", slow, false, short, 0, endpointhttp.DeadlinePassed},
		{"a client that left", slow, false, 0, 0, endpointhttp.ClientLeft},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var got []endpointhttp.Origin
			now := time.Now()
			caller := newCaller(t, endpointhttp.Options{
				Clock:        port.ClockFunc(func() time.Time { return now }),
				OnConnection: func(o endpointhttp.Origin) { got = append(got, o) },
			})
			to := endpointAt(newEndpoint(t, c.script).addr)
			for n := range 2 {
				ctx, cancel := context.WithCancel(context.Background())
				req := onceOnlyRequest(fmt.Sprint(n), "", long)
				req.OnceOnly = c.onceOnly
				if c.within == 0 {
					time.AfterFunc(short, cancel)
				} else {
					req.Deadline = time.Now().Add(c.within)
				}
				_, _ = caller.Call(ctx, to, req, nil)
				cancel()
				now = now.Add(c.idle)
				caller.Sweep()
				time.Sleep(short / 4)
			}
			is.Equal(got, []endpointhttp.Origin{endpointhttp.First, c.want})
		})
	}
}
