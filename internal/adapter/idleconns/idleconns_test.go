package idleconns_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
)

// TestSweep closes a connection that sends nothing, and one that has been
// answered, each after its own limit and not before.
func TestSweep(t *testing.T) {
	for _, answered := range []bool{false, true} {
		t.Run(fmt.Sprint("answered ", answered), func(t *testing.T) {
			is := is.New(t)
			var ahead atomic.Int64 // how far the clock has jumped
			limits := idleconns.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
			r := idleconns.New(
				port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(ahead.Load())) }),
				func() idleconns.Limits { return limits },
			)
			server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
			server.Config.ConnState = r.ConnState
			server.Start()
			defer server.Close()
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = conn.Close() }()
			limit := limits.Header
			if answered {
				limit = limits.Idle
				_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
			}
			time.Sleep(50 * time.Millisecond) // the server notes the state after the answer
			open := func() bool {
				r.Sweep()
				is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
				_, err := conn.Read(make([]byte, 1))
				return errors.Is(err, os.ErrDeadlineExceeded)
			}
			ahead.Store(int64(limit - time.Second))
			is.True(open())
			ahead.Store(int64(limit + time.Second))
			is.True(!open())
		})
	}
}
