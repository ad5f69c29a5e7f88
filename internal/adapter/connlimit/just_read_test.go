package connlimit_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// TestJustReadRequest guards against a connection that is closed for another one although its
// request was read from the kernel, and the process only hasn't noted that yet.
func TestJustReadRequest(t *testing.T) {
	is := is.New(t)
	l := &testlink.Stall{}
	s := startServerOn(t, l, func(http.ResponseWriter, *http.Request) {})
	used := s.dial(t)
	is.True(s.get(used))
	time.Sleep(50 * time.Millisecond)
	l.HoldBehind()
	_, err := io.WriteString(used, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	for range 4 {
		s.dial(t)
	}
	time.Sleep(50 * time.Millisecond)
	l.ReleaseBehind()
	is.NoErr(used.SetReadDeadline(time.Now().Add(10 * time.Second)))
	n, err := used.Read(make([]byte, 1000))
	is.NoErr(err)
	is.True(n > 0)
}

// TestWholeHeadBeforeActive guards against a connection that is closed as one with a part of a head
// although its whole head was read, and net/http only hasn't reported StateActive yet.
func TestWholeHeadBeforeActive(t *testing.T) {
	is := is.New(t)
	limiter := connlimit.New(connlimit.Options{
		Max: 1, Budget: memory.NewBudget(2 << 20), Clock: port.ClockFunc(time.Now), MakeRoom: func() bool { return false },
		Refused: func(string, string) {},
	})
	var active atomic.Int64
	read, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	server.Listener = limiter.Listener(server.Listener)
	server.Config.ConnState = func(c net.Conn, to http.ConnState) {
		if to == http.StateActive && active.Add(1) == 2 {
			close(read)
			<-release
		}
		limiter.ConnState(c, to)
	}
	server.Start()
	defer server.Close()
	dial := func() net.Conn {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		is.NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	used := dial()
	reader := bufio.NewReader(used)
	const request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
	_, err := io.WriteString(used, request)
	is.NoErr(err)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
	_, err = io.WriteString(used, request)
	is.NoErr(err)
	<-read
	dial()
	time.Sleep(50 * time.Millisecond)
	close(release)
	_, err = http.ReadResponse(reader, nil)
	is.NoErr(err)
}
