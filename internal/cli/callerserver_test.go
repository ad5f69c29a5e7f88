package cli

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/settings"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
	"sassafrasreach/internal/wait"
)

// stalledServer is a callerServer whose reads can stand still and whose clock the test advances.
type stalledServer struct {
	*callerServer
	stall  *testlink.Stall
	offset atomic.Int64 // nanoseconds
}

// startStalled starts a server of which reads stand still once the first request is handled.
func startStalled(t *testing.T) *stalledServer {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &stalledServer{stall: &testlink.Stall{Listener: listener}}
	clock := port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(s.offset.Load())) })
	g := newGuard(0, 0, slog.New(slog.DiscardHandler), metrics.New(), clock)
	var handled atomic.Int64
	s.callerServer = newCallerServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if handled.Add(1) > 1 {
			return
		}
		for s.stall.Reading() == 0 { // http.Server reads in the background meanwhile
			time.Sleep(time.Millisecond)
		}
		s.stall.Hold()
	}), g.newLimiter("callers", 4, nil), 4, clock)
	s.listener = s.stall
	go func() { _ = s.serve() }()
	t.Cleanup(func() { _ = s.http.Close() })
	return s
}

// stalledClient sends requests on one connection.
type stalledClient struct {
	*is.I
	net.Conn
	reader *bufio.Reader
}

func dialStalled(t *testing.T, address string) stalledClient {
	return newStalledClient(t, net.Dialer{}, address)
}

func newStalledClient(t *testing.T, dialer net.Dialer, address string) stalledClient {
	c, err := dialer.DialContext(t.Context(), "tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return stalledClient{is.New(t), c, bufio.NewReader(c)}
}

func (c stalledClient) send() {
	_, err := fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	c.NoErr(err)
	time.Sleep(50 * time.Millisecond) // it arrives
}

func (c stalledClient) answered() *http.Response {
	c.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	c.NoErr(err) // the request has arrived
	return response
}

// TestStopAnswersArrived guards against a planned stop that closes a connection on which a
// request has arrived, or drops a request because the stop began before it was read.
func TestStopAnswersArrived(t *testing.T) {
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept connection ", kept), func(t *testing.T) {
			is := is.New(t)
			s := startStalled(t)
			c := dialStalled(t, s.listener.Addr().String())
			c.send()
			c.answered()
			if !kept {
				c = dialStalled(t, s.listener.Addr().String())
			}
			c.send()
			s.offset.Store(int64(time.Minute)) // too long for any connection to be idle
			stopped := make(chan error, 1)
			go func() { stopped <- s.shutdown(t.Context()) }()
			for !s.stall.Closed() {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond) // it closes idle connections
			s.stall.Release()
			is.True(c.answered().Close) // the caller sends no further request on it
			is.NoErr(<-stopped)
		})
	}
}

// TestIdleLimitAnswersArrived guards against a connection that is closed for its idle time
// although a request has arrived, and against one that stays open without requests.
func TestIdleLimitAnswersArrived(t *testing.T) {
	const callersLimit = 30 * time.Second // docs/callers.md
	for _, kept := range []bool{true, false} {
		t.Run(fmt.Sprint("kept connection ", kept), func(t *testing.T) {
			is := is.New(t)
			s := startStalled(t)
			c := dialStalled(t, s.listener.Addr().String())
			c.send()
			c.answered()
			held := int64(1)
			if !kept {
				c = dialStalled(t, s.listener.Addr().String())
				held++
			}
			for s.stall.Held() < held { // the timeouts run
				time.Sleep(time.Millisecond)
			}
			c.send()
			passed := callersLimit + 6*time.Second
			if !kept {
				passed = 6 * time.Second
			}
			s.offset.Store(int64(passed))
			s.stall.Pass(passed)
			s.sweep()
			s.stall.Release()
			c.answered()
			for s.stall.Reading() < held { // all wait for their next request
				time.Sleep(time.Millisecond)
			}
			s.offset.Add(int64(callersLimit - time.Second))
			s.sweep()
			c.send()
			c.answered() // it was idle for less than callers may use it
			s.offset.Add(int64(callersLimit + 6*time.Second))
			go wait.Every(t.Context(), 10*time.Millisecond, s.sweep)
			_, err := c.reader.ReadByte()
			is.Equal(err, io.EOF)
		})
	}
}

// TestControlStopAnswersArrived guards against a control VM whose planned stop drops a request
// of an operator that has arrived.
func TestControlStopAnswersArrived(t *testing.T) {
	is := is.New(t)
	config := settings.Control{Name: "c1", DataDir: t.TempDir(), Members: []settings.Member{{Name: "c1", Address: "127.0.0.1:1"}}}
	logger := slog.New(slog.DiscardHandler)
	node, err := newNode(config, logger)
	is.NoErr(err)
	p := newControlProcess(config, node, logger)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	stall := &testlink.Stall{Listener: listener}
	p.operators.listener = stall
	go func() { p.failed <- p.operators.serve() }()
	stall.Hold()
	c := dialStalled(t, listener.Addr().String())
	c.send()
	stopped := make(chan struct{})
	go func() {
		p.stop(t.Context())
		close(stopped)
	}()
	for !stall.Closed() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(time.Second) // longer than the stop waits for a first request
	stall.Release()
	is.Equal(c.answered().StatusCode, http.StatusOK)
	<-stopped
}
