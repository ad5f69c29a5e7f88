package linger_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/linger"
)

// endless is a listener whose connections have no read deadline once they are half-closed, so that
// they linger until their client closes.
type endless struct{ net.Listener }

func (l endless) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &endlessConn{TCPConn: c.(*net.TCPConn)}, nil
}

type endlessConn struct {
	*net.TCPConn
	halfClosed, closed atomic.Bool
}

func (c *endlessConn) CloseWrite() error {
	c.halfClosed.Store(true)
	return c.TCPConn.CloseWrite()
}

func (c *endlessConn) SetReadDeadline(t time.Time) error {
	if c.halfClosed.Load() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *endlessConn) Close() error {
	c.closed.Store(true)
	return c.TCPConn.Close()
}

// TestClose guards against a connection that lingers although it was idle, its response broke off or
// too many linger, and against one that is closed at once behind a whole response.
func TestClose(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		maxOpen int
		lingers bool
	}{
		"closing response":    {"GET /close HTTP/1.1\r\nHost: h\r\n\r\n", 1, true},
		"second response":     {"GET / HTTP/1.1\r\nHost: h\r\n\r\nGET /close HTTP/1.1\r\nHost: h\r\n\r\n", 1, true},
		"too many":            {"GET /close HTTP/1.1\r\nHost: h\r\n\r\n", 0, false},
		"idle":                {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1, false},
		"panic":               {"GET /abort HTTP/1.1\r\nHost: h\r\n\r\n", 1, false},
		"failed write":        {"GET /late HTTP/1.1\r\nHost: h\r\n\r\n", 1, false},
		"head of no request":  {"GET\r\n\r\n", 1, false},
		"nothing was written": {"", 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := linger.New(c.maxOpen)
			ended := make(chan bool, 1) // whether the connection was closed when the server was done with it
			server := &http.Server{
				IdleTimeout: 100 * time.Millisecond, ReadHeaderTimeout: 100 * time.Millisecond,
				ConnContext: linger.ConnContext,
				ConnState: func(nc net.Conn, to http.ConnState) {
					linger.ConnState(nc, to)
					if to == http.StateClosed {
						ended <- nc.(interface{ NetConn() net.Conn }).NetConn().(*endlessConn).closed.Load()
					}
				},
				Handler: linger.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch r.URL.Path {
					case "/close":
						w.Header().Set("Connection", "close")
					case "/abort":
						panic(http.ErrAbortHandler)
					case "/late":
						_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0))
					}
					_, _ = io.WriteString(w, "answer")
				})),
			}
			go func() { _ = server.Serve(l.Listener(endless{listener})) }()
			t.Cleanup(func() { _ = server.Close() })
			client, err := net.Dial("tcp", listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(client, c.request)
			is.NoErr(err)
			is.Equal(<-ended, !c.lingers)
			limit := time.Minute
			if c.lingers {
				limit = 50 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(t.Context(), limit)
			defer cancel()
			l.Wait(ctx)
			is.Equal(ctx.Err() != nil, c.lingers) // the wait lasts while the connection lingers
			is.NoErr(client.Close())
			l.Wait(t.Context())
		})
	}
}
