package cli

import (
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/port"
)

// bufferSize returns a hook of new sockets that sets the size of a kernel buffer.
func bufferSize(option, size int) func(string, string, syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) (err error) {
		if errControl := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, size)
		}); errControl != nil {
			return errControl
		}
		return err
	}
}

// TestClosingResponseBeforeNextRequest guards against a response of a planned stop that breaks off
// because the caller has sent its next request, and against a stop that doesn't wait until the
// caller has had the time to read the response.
func TestClosingResponseBeforeNextRequest(t *testing.T) {
	const (
		size       = 128 << 10 // fits into the server's buffer, but not into the caller's
		lingerTime = 500 * time.Millisecond
	)
	is := is.New(t)
	config := net.ListenConfig{Control: bufferSize(syscall.SO_SNDBUF, 2*size)}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	clock := port.ClockFunc(time.Now)
	g := newGuard(0, 0, slog.New(slog.DiscardHandler), metrics.New(), clock)
	handling, sent := make(chan struct{}, 1), make(chan struct{})
	var responded time.Time
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		handling <- struct{}{}
		<-sent
		_, _ = io.WriteString(w, strings.Repeat("x", size))
		responded = time.Now()
	}), g.newLimiter("callers", 4, nil), 4, clock)
	s.listener = listener
	go func() { _ = s.serve() }()
	t.Cleanup(func() { _ = s.http.Close() })
	s.stopping.Store(true)

	dialer := net.Dialer{Control: bufferSize(syscall.SO_RCVBUF, 4<<10)}
	c := newStalledClient(t, dialer, listener.Addr().String())
	c.send()
	<-handling
	c.send()
	close(sent)
	is.NoErr(s.shutdown(t.Context())) // the caller reads nothing meanwhile
	lasted := time.Since(responded)
	response := c.answered()
	is.True(response.Close)
	body, err := io.ReadAll(response.Body)
	is.NoErr(err) // the response is whole
	is.Equal(len(body), size)
	_, err = c.reader.ReadByte()
	is.Equal(err, io.EOF)
	is.True(lasted >= lingerTime)
}

// TestStopWaitsForSlowReader guards against a planned stop that cuts off the response on an idle
// connection, because the caller still reads it and sends on.
func TestStopWaitsForSlowReader(t *testing.T) {
	const size = 256 << 10
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	clock := port.ClockFunc(time.Now)
	g := newGuard(0, 0, slog.New(slog.DiscardHandler), metrics.New(), clock)
	s := newCallerServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	}), g.newLimiter("callers", 4, nil), 4, clock)
	s.listener = listener
	go func() { _ = s.serve() }()
	t.Cleanup(func() { _ = s.http.Close() })
	dialer := net.Dialer{Control: bufferSize(syscall.SO_RCVBUF, 4<<10)}
	c := newStalledClient(t, dialer, listener.Addr().String())
	c.send()
	ended := make(chan error, 1)
	go func() { ended <- s.shutdown(t.Context()) }()
	time.Sleep(300 * time.Millisecond)
	c.send()
	for range 2 {
		response, err := http.ReadResponse(c.reader, nil)
		is.NoErr(err)
		n, err := io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		is.Equal(n, int64(size))
	}
	is.NoErr(c.Close())
	is.NoErr(<-ended)
}
