package pipelinehttp_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/pacedconn"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/adapter/traffic"
	"sassafrasreach/internal/port"
)

// TestEndOfStream guards against a connection that is reset, and not ended, behind the
// response to a request whose body isn't read, with all listeners that a gateway has.
func TestEndOfStream(t *testing.T) {
	t.Parallel()
	for _, linkBitsPerSecond := range []float64{0, 1e9} {
		t.Run(fmt.Sprint(linkBitsPerSecond), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			clock := port.ClockFunc(time.Now)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			idle := idleconns.New(clock, func() idleconns.Limits { return idleconns.Limits{} })
			limiter := connlimit.New(connlimit.Options{
				Max: 10, Clock: clock, MakeRoom: func() bool { return false }, Refused: func(string, string) {},
			})
			connState := func(c net.Conn, s http.ConnState) {
				limiter.ConnState(c, s)
				idle.ConnState(c, s)
			}
			s := &service{unfinished: make(map[string]bool)}
			h := pipelinehttp.New(s, pipelinehttp.Options{
				Clock: clock, Logger: slog.New(slog.DiscardHandler), Meter: metrics.New(), ConnState: connState,
				HeaderBytes: headerBytes, HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxLingering: 10,
			})
			server := &http.Server{Handler: h, ConnState: h.ConnState, ConnContext: h.ConnContext}
			chain := pacedconn.Listener(pipelinehttp.Listener(listener), linkBitsPerSecond, clock)
			go func() { _ = server.Serve(idle.Listener(limiter.Listener((&traffic.Counter{}).Listener(chain)))) }()
			t.Cleanup(func() { _ = server.Close() })

			c := (&rig{I: is, listener: listener}).dial(t)
			// 1,000 bytes are read, 300,000 more are on their way.
			_, err = io.WriteString(c.TCPConn, post("/once/a", string(make([]byte, 301_000))))
			is.NoErr(err)
			response, _ := c.answer()
			is.Equal(response.StatusCode, http.StatusRequestEntityTooLarge)
			is.True(response.Close)
			c.ended()
		})
	}
}

// TestClosingPlainResponse guards against a response that closes the connection and is lost,
// in part or whole, because the client had sent something further that isn't read.
func TestClosingPlainResponse(t *testing.T) {
	const size = 4 << 20 // more than the buffers of both ends hold
	large := fmt.Sprintf("?bytes=%d", size)
	for name, c := range map[string]struct {
		text     string
		stopping bool
		status   int
		size     int
	}{
		"stop":                 {get("/safe/a" + large), true, http.StatusOK, size},
		"stop, next request":   {get("/safe/a"+large) + get("/safe/b") + post("/once/c", string(make([]byte, 200_000))), true, http.StatusOK, size},
		"client closes":        {"GET /safe/a" + large + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + post("/once/c", string(make([]byte, 200_000))), false, http.StatusOK, size},
		"body that is refused": {post("/once/a", string(make([]byte, 200_000))), false, http.StatusRequestEntityTooLarge, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newRig(t, nil)
			s.stopping.Store(c.stopping)
			client := s.dial(t)
			client.send(c.text)
			s.eventually(10*time.Second, s.has(&s.written, "a"))
			time.Sleep(100 * time.Millisecond) // the server has closed the connection, or waits for the client to read
			response, body := client.answer()
			s.Equal(response.StatusCode, c.status)
			s.Equal(len(body), c.size)
			s.True(response.Close)
			client.ended()
		})
	}
}
