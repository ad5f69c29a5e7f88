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

// echo serves a listener that returns every byte, and a link to it.
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

// say sends text over c and returns what comes back: what is wanted, in any
// time, and the rest before it falls silent.
func say(c net.Conn, text, want string) (string, error) {
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

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		strike func(*testlink.Link)
		want   string
		err    error
		// next is what a connection says that is opened afterwards.
		next string
	}{
		{"none", func(*testlink.Link) {}, "hello", nil, "hello"},
		{"swallow there", func(l *testlink.Link) { l.Swallow(testlink.ToTarget) }, "", os.ErrDeadlineExceeded, "hello"},
		{"swallow back", func(l *testlink.Link) { l.Swallow(testlink.ToDialer) }, "", os.ErrDeadlineExceeded, "hello"},
		{"swallow from the third byte", func(l *testlink.Link) {
			l.Fail(testlink.Fault{Kind: testlink.Silence, Direction: testlink.ToDialer, After: 2})
		}, "he", os.ErrDeadlineExceeded, "hello"},
		{"reset from the third byte", func(l *testlink.Link) {
			l.Fail(testlink.Fault{Kind: testlink.Reset, Direction: testlink.ToDialer, After: 2})
		}, "he", syscall.ECONNRESET, "hello"},
		{"cut", func(l *testlink.Link) { l.Cut(testlink.ToTarget) }, "", os.ErrDeadlineExceeded, ""},
		{"next", func(l *testlink.Link) {
			l.FailNext(testlink.Fault{Kind: testlink.Silence, Direction: testlink.ToTarget, After: 1})
		}, "hello", nil, "h"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			link := echo(t)
			first, err := net.Dial("tcp", link.Addr())
			is.NoErr(err)
			defer func() { _ = first.Close() }()
			_, err = say(first, "x", "x")
			is.NoErr(err)
			c.strike(link)
			got, err := say(first, "hello", c.want)
			is.Equal(got, c.want)
			is.True(errors.Is(err, c.err))
			second, err := net.Dial("tcp", link.Addr())
			is.NoErr(err)
			defer func() { _ = second.Close() }()
			got, _ = say(second, "hello", c.next)
			is.Equal(got, c.next)
		})
	}
}
