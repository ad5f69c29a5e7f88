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
	"sassafrasreach/internal/testlink"
)

// startServer starts a server whose idle connections r closes.
func startServer(r *idleconns.Reaper, h http.Handler) *httptest.Server {
	return startServerOn(r, &testlink.Stall{}, h)
}

// startServerOn is startServer with connections that the test can stall.
func startServerOn(r *idleconns.Reaper, s *testlink.Stall, h http.Handler) *httptest.Server {
	server := httptest.NewUnstartedServer(h)
	s.Listener = server.Listener
	server.Listener = r.Listener(s)
	server.Config.ConnState = r.ConnState
	server.Start()
	return server
}

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
			server := startServer(r, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
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

// client sends raw bytes on one connection.
type client struct {
	*is.I
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, server *httptest.Server) client {
	is := is.New(t)
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	return client{is, conn, bufio.NewReader(conn)}
}

func (c client) send(text string) {
	_, err := fmt.Fprint(c, text)
	c.NoErr(err)
	time.Sleep(50 * time.Millisecond) // the server reads it
}

func (c client) answered() {
	response, err := http.ReadResponse(c.reader, nil)
	c.NoErr(err)
	c.Equal(response.StatusCode, http.StatusOK)
}

func (c client) closed() {
	_, err := c.reader.ReadByte()
	c.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded))
}

const requestStart, requestEnd = "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n"

// TestShutdown stops a server whose connections are idle, have sent a part of a
// request, or wait for an answer. It guards against a request that was read, in
// part or whole, and gets no answer.
func TestShutdown(t *testing.T) {
	is := is.New(t)
	r := idleconns.New(port.ClockFunc(time.Now), func() idleconns.Limits { return idleconns.Limits{Idle: time.Millisecond} })
	answer := make(chan struct{})
	server := startServer(r, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.Host == "slow" {
			<-answer
		}
	}))
	idle, begun, waiting := dial(t, server), dial(t, server), dial(t, server)
	idle.send(requestStart + requestEnd)
	idle.answered()
	begun.send(requestStart + requestEnd)
	begun.answered()
	begun.send(requestStart)
	waiting.send(requestStart + "Host: slow\r\n\r\n")
	r.Sweep()
	stopped := make(chan error, 1)
	go func() { stopped <- r.Shutdown(t.Context(), server.Config, server.Listener) }()
	idle.closed()
	begun.send(requestEnd)
	begun.answered()
	close(answer)
	waiting.answered()
	waiting.closed()
	begun.closed()
	is.NoErr(<-stopped)
}

// TestShorterLimit guards against a connection that is closed by a limit that came into force
// after its client was told a longer one.
func TestShorterLimit(t *testing.T) {
	var offset, idle atomic.Int64 // offset of the fake clock and the limit, in nanoseconds
	idle.Store(int64(15 * time.Second))
	r := idleconns.New(
		port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }),
		func() idleconns.Limits { return idleconns.Limits{Idle: time.Duration(idle.Load())} },
	)
	server := startServer(r, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	c := dial(t, server)
	c.send(requestStart + requestEnd)
	c.answered()
	idle.Store(int64(5 * time.Second))
	offset.Store(int64(14 * time.Second))
	r.Sweep()
	time.Sleep(50 * time.Millisecond) // the reader would close the connection
	c.send(requestStart + requestEnd)
	c.answered()
	c.send(requestStart + requestEnd) // received under the shorter limit
	c.answered()
	offset.Add(int64(6 * time.Second))
	r.Sweep()
	c.closed()
}
