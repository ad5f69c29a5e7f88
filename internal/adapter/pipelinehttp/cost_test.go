package pipelinehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/port"
)

// plainHandler serves the service without this package.
type plainHandler struct{ pipelinehttp.Service }

func (h plainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, accepted := h.Receive(w, r, time.Now())
	if accepted {
		x.Run(r.Context(), false)
	}
	x.Write(w)
}

// constant answers each request at once, without an allocation of its own.
type constant struct{}

func (constant) Stopping() bool                        { return false }
func (constant) MayRunConcurrently(*http.Request) bool { return true }
func (c constant) Receive(http.ResponseWriter, *http.Request, time.Time) (pipelinehttp.Exchange, bool) {
	return c, true
}

func (constant) Run(context.Context, bool)   {}
func (constant) Write(w http.ResponseWriter) { _, _ = io.WriteString(w, "x") }
func (constant) Bytes() int64                { return 0 }
func (constant) Drop()                       {}

// BenchmarkPlainConnection measures a connection without pipelining, served with and
// without this package.
func BenchmarkPlainConnection(b *testing.B) {
	for name, pipelining := range map[string]bool{"net/http": false, "pipelinehttp": true} {
		b.Run(name, func(b *testing.B) {
			c := startPlain(b, pipelining)
			b.ReportAllocs()
			b.ResetTimer()
			exchangePlain(b, c, b.N)
		})
	}
}

// TestPlainCost guards against a connection without pipelining that allocates more for a
// request than with net/http alone.
func TestPlainCost(t *testing.T) {
	const requests = 2000
	perRequest := func(pipelining bool) float64 {
		c := startPlain(t, pipelining)
		exchangePlain(t, c, 100)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		exchangePlain(t, c, requests)
		runtime.ReadMemStats(&after)
		return float64(after.Mallocs-before.Mallocs) / requests
	}
	plain, pipelining := perRequest(false), perRequest(true)
	t.Logf("allocations per request: %.2f with net/http, %.2f with pipelinehttp", plain, pipelining)
	if pipelining > plain+0.5 {
		t.Errorf("%.2f allocations more for each request", pipelining-plain)
	}
}

// startPlain starts a server as gateways do, with or without this package, and returns a
// connection to it.
func startPlain(t testing.TB, pipelining bool) net.Conn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	reaper := idleconns.New(port.ClockFunc(time.Now), func() idleconns.Limits { return idleconns.Limits{} })
	server := &http.Server{Handler: plainHandler{constant{}}, ConnState: reaper.ConnState}
	if pipelining {
		h := pipelinehttp.New(constant{}, pipelinehttp.Options{Clock: port.ClockFunc(time.Now), ConnState: reaper.ConnState})
		server.Handler, server.ConnContext = h, h.ConnContext
		listener = pipelinehttp.Listener(listener)
	}
	go func() { _ = server.Serve(reaper.Listener(listener)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// exchangePlain sends requests one after the other and reads the responses, without an
// allocation per request.
func exchangePlain(t testing.TB, c net.Conn, n int) {
	request, buffer := []byte(get("/safe/1")), make([]byte, 4096)
	for range n {
		if _, err := c.Write(request); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(buffer); err != nil {
			t.Fatal(err)
		}
	}
}
