package testlink_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/testlink"
)

// echo starts an echo server and returns a Link to it.
func echo(t *testing.T) *testlink.Link {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	link, err := testlink.New(listener.Addr().String())
	is.NoErr(err)
	t.Cleanup(link.Close)
	return link
}

// exchange sends text over c and returns the echo. It waits up to a minute for as
// many bytes as want has, and then briefly for the remaining ones.
func exchange(c net.Conn, text, want string) (string, error) {
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	if _, err := c.Write([]byte(text)); err != nil {
		return "", err
	}
	buf := make([]byte, len(text))
	n, err := io.ReadFull(c, buf[:len(want)])
	if err != nil {
		return string(buf[:n]), err
	}
	_ = c.SetDeadline(time.Now().Add(50 * time.Millisecond))
	rest, err := io.ReadFull(c, buf[n:])
	return string(buf[:n+rest]), err
}

// TestFaults guards against a Link that doesn't simulate the requested fault. For
// each fault it checks the bytes and the error on an established connection, and the
// bytes on a connection opened afterwards.
func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*testlink.Link)
		want   string
		err    error
		// next is the echo on a connection that is opened afterwards.
		next string
	}{
		{"none", func(*testlink.Link) {}, "hello", nil, "hello"},
		{"drop to the target", func(l *testlink.Link) { l.DropEstablished(testlink.ToTarget) }, "", os.ErrDeadlineExceeded, "hello"},
		{"drop to the dialer", func(l *testlink.Link) { l.DropEstablished(testlink.ToDialer) }, "", os.ErrDeadlineExceeded, "hello"},
		{"drop from the third byte", func(l *testlink.Link) {
			l.Fail(testlink.Fault{Kind: testlink.Drop, Direction: testlink.ToDialer, After: 2})
		}, "he", os.ErrDeadlineExceeded, "hello"},
		{"reset from the third byte", func(l *testlink.Link) {
			l.Fail(testlink.Fault{Kind: testlink.Reset, Direction: testlink.ToDialer, After: 2})
		}, "he", syscall.ECONNRESET, "hello"},
		{"cut", func(l *testlink.Link) { l.Cut(testlink.ToTarget) }, "", os.ErrDeadlineExceeded, ""},
		{"fault of the next connection", func(l *testlink.Link) {
			l.FailNext(testlink.Fault{Kind: testlink.Drop, Direction: testlink.ToTarget, After: 1})
		}, "hello", nil, "h"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			link := echo(t)
			first, err := net.Dial("tcp", link.Addr())
			is.NoErr(err)
			defer func() { _ = first.Close() }()
			_, err = exchange(first, "x", "x")
			is.NoErr(err)
			c.inject(link)
			got, err := exchange(first, "hello", c.want)
			is.Equal(got, c.want)
			is.True(errors.Is(err, c.err))
			second, err := net.Dial("tcp", link.Addr())
			is.NoErr(err)
			defer func() { _ = second.Close() }()
			got, _ = exchange(second, "hello", c.next)
			is.Equal(got, c.next)
		})
	}
}
