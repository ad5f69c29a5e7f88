package connlimit_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// server is a server with a bound of four connections.
type server struct {
	address string
	budget  *memory.Budget

	mu      sync.Mutex
	reasons []string
}

func startServer(t *testing.T, handler http.HandlerFunc) *server {
	return startServerOn(t, &testlink.Stall{}, handler)
}

// startServerOn is startServer with connections that the test can stall.
func startServerOn(t *testing.T, l *testlink.Stall, handler http.HandlerFunc) *server {
	s := &server{budget: memory.NewBudget(2 << 20)}
	limiter := connlimit.New(connlimit.Options{
		Max: 4, Budget: s.budget, Clock: port.ClockFunc(time.Now), MakeRoom: func() bool { return false },
		Refused: func(reason, _ string) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.reasons = append(s.reasons, reason)
		},
	})
	inner := httptest.NewUnstartedServer(handler)
	l.Listener = inner.Listener
	inner.Listener = limiter.Listener(l)
	inner.Config.ConnState = limiter.ConnState
	inner.Config.MaxHeaderBytes = 1 << 20
	inner.Start()
	t.Cleanup(inner.Close)
	s.address = inner.Listener.Addr().String()
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", s.address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// get sends a request and reports whether it was answered.
func (s *server) get(c net.Conn) bool {
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Read(make([]byte, 1000))
	return err == nil
}

// TestSilentConnections guards against connections that send nothing and keep others out:
// they are closed first, then those that are idle.
func TestSilentConnections(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	used := s.dial(t)
	is.True(s.get(used))
	for range 3 {
		s.dial(t)
	}
	time.Sleep(600 * time.Millisecond) // more than new connections have for their requests
	for range 3 {
		is.True(s.get(s.dial(t)))
	}
	is.True(s.get(used)) // it sent requests, so it isn't closed for others
	time.Sleep(50 * time.Millisecond)
	is.True(s.get(s.dial(t))) // closes the one that has been idle for longest
	is.True(s.get(used))
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.reasons, []string{"idle-connection", "idle-connection", "idle-connection", "idle-connection"})
}

// TestArrivedRequest guards against a connection that is closed for another one although its
// request has arrived, and the process only hasn't read it: the first on the connection, or a
// further one.
func TestArrivedRequest(t *testing.T) {
	for _, first := range []bool{true, false} {
		t.Run(fmt.Sprint("first ", first), func(t *testing.T) {
			is := is.New(t)
			l := &testlink.Stall{}
			requests := 0
			s := startServerOn(t, l, func(http.ResponseWriter, *http.Request) {
				if requests++; requests == 1 && !first {
					l.AwaitRead()
					l.Hold()
				}
			})
			used := s.dial(t)
			if first {
				l.Hold()
			} else {
				is.True(s.get(used))
			}
			_, err := io.WriteString(used, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
			is.NoErr(err)
			time.Sleep(600 * time.Millisecond) // more than a new connection has for its request
			for range 4 {
				s.dial(t)
			}
			time.Sleep(50 * time.Millisecond)
			l.Release()
			is.NoErr(used.SetReadDeadline(time.Now().Add(10 * time.Second)))
			n, err := used.Read(make([]byte, 1000))
			is.True(n > 0 && err == nil)
		})
	}
}

// TestBusyConnections guards against a connection that is closed while its request is
// handled: those that come then are refused.
func TestBusyConnections(t *testing.T) {
	is := is.New(t)
	release, entered := make(chan struct{}), make(chan struct{}, 4)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {
		entered <- struct{}{}
		<-release
	})
	var clients sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for range 4 {
		clients.Go(func() {
			ok := s.get(s.dial(t))
			mu.Lock()
			defer mu.Unlock()
			if ok {
				answered++
			}
		})
	}
	for range 4 {
		<-entered
	}
	is.True(!s.get(s.dial(t)))
	close(release)
	clients.Wait()
	is.Equal(answered, 4)
	is.True(s.budget.Gauges()["memory.held.connections"] > 0)
}

// TestLargeHeads guards against heads whose parsed form exhausts the memory of a process.
func TestLargeHeads(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	c := s.dial(t)
	var lines strings.Builder
	for i := range 40000 {
		fmt.Fprintf(&lines, "%x:\r\n", i)
	}
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n"+lines.String())
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil) // it is closed
	s.mu.Lock()
	is.Equal(s.reasons, []string{"head-memory"})
	s.mu.Unlock()
	for s.budget.Held() > 0 {
		time.Sleep(time.Millisecond)
	}
	is.True(s.get(s.dial(t)))
}

// TestUnfinishedHeads guards against heads that never end and take all memory together:
// they make room for a new connection.
func TestUnfinishedHeads(t *testing.T) {
	is := is.New(t)
	s := startServer(t, func(http.ResponseWriter, *http.Request) {})
	const head = "GET / HTTP/1.1\r\nHost: x\r\nx: "
	for range 2 { // each takes nearly half of the budget
		_, err := io.WriteString(s.dial(t), head+strings.Repeat("y", 72000-len(head)))
		is.NoErr(err)
	}
	for s.budget.Held() < 2<<20-10<<10 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(600 * time.Millisecond) // more than new connections have for their requests
	is.True(s.get(s.dial(t)))
}

// silentListener accepts connections that nobody uses.
type silentListener struct{ net.Listener }

func (silentListener) Accept() (net.Conn, error) {
	c, _ := net.Pipe()
	return c, nil
}

// BenchmarkFlood measures accepting a connection while as many as permitted are open and
// send nothing.
func BenchmarkFlood(b *testing.B) {
	const open = 6000
	now := time.Now()
	limiter := connlimit.New(connlimit.Options{
		Max: open, Budget: memory.NewBudget(1 << 30), Clock: port.ClockFunc(func() time.Time {
			now = now.Add(time.Second)
			return now
		}),
		MakeRoom: func() bool { return false }, Refused: func(string, string) {},
	})
	listener := limiter.Listener(silentListener{})
	for range open {
		_, _ = listener.Accept()
	}
	for b.Loop() {
		_, _ = listener.Accept()
	}
}

// TestSlowReader guards against a client that still reads its response and is cut off for another
// connection, although others are idle.
func TestSlowReader(t *testing.T) {
	const size = 256 << 10
	is := is.New(t)
	s := startServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/large" {
			_, _ = w.Write(make([]byte, size))
		}
	})
	slow, err := testlink.DialSlow(s.address)
	is.NoErr(err)
	defer func() { _ = slow.Close() }()
	_, err = io.WriteString(slow, "GET /large HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond) // it is idle first
	for range 4 {
		is.True(s.get(s.dial(t)))
	}
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	_, err = io.CopyN(io.Discard, slow, size)
	is.NoErr(err)
}
