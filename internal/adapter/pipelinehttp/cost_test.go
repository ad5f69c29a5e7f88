package pipelinehttp_test

import (
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"sassafrasreach/internal/adapter/pipelinehttp"
)

// plainHandler serves a service without this package.
type plainHandler struct{ pipelinehttp.Service }

func (h plainHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x, accepted := h.Receive(w, r, time.Now())
	if accepted {
		x.Run(r.Context(), false)
	}
	x.Write(w)
}

// TestPlainCost guards against a connection without pipelining that allocates more for a
// request than with net/http alone.
func TestPlainCost(t *testing.T) {
	const requests = 2000
	s := newRig(t, nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	s.NoErr(err)
	plain := &http.Server{Handler: plainHandler{s.service}}
	defer func() { s.NoErr(plain.Close()) }()
	go func() { _ = plain.Serve(s.reaper.Listener(listener)) }()
	perRequest := func(address net.Addr) float64 {
		c, err := net.Dial("tcp", address.String())
		s.NoErr(err)
		defer func() { _ = c.Close() }()
		var memory [2]runtime.MemStats
		request, buffer := []byte(get("/safe/1")), make([]byte, 4096)
		for i := range 2 * requests {
			if i%requests == 0 {
				runtime.ReadMemStats(&memory[i/requests]) // the first half warms up
			}
			if _, err := c.Write(request); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(buffer); err != nil {
				t.Fatal(err)
			}
		}
		before := memory[1].Mallocs
		runtime.ReadMemStats(&memory[1])
		return float64(memory[1].Mallocs-before) / requests
	}
	without, with := perRequest(listener.Addr()), perRequest(s.listener.Addr())
	t.Logf("allocations per request: %.2f with net/http, %.2f with pipelinehttp", without, with)
	s.True(with < without+0.5)
}
