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

// TestSweep guards against idle connections that stay open beyond their limit or are
// closed too early, both before the first request and after a response.
func TestSweep(t *testing.T) {
	for _, responded := range []bool{false, true} {
		t.Run(fmt.Sprint("responded ", responded), func(t *testing.T) {
			is := is.New(t)
			var offset atomic.Int64 // offset of the fake clock in nanoseconds
			limits := idleconns.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
			r := idleconns.New(
				port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }),
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
			if responded {
				limit = limits.Idle
				_, err := fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				_, err = http.ReadResponse(bufio.NewReader(conn), nil)
				is.NoErr(err)
			}
			time.Sleep(50 * time.Millisecond) // the server calls ConnState after the response
			open := func() bool {
				r.Sweep()
				is.NoErr(conn.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
				_, err := conn.Read(make([]byte, 1))
				return errors.Is(err, os.ErrDeadlineExceeded)
			}
			offset.Store(int64(limit - time.Second))
			is.True(open())
			offset.Store(int64(limit + time.Second))
			is.True(!open())
		})
	}
}
