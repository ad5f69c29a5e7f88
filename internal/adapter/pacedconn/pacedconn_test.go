package pacedconn

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/pacing"
)

const (
	testLink  = 8e6 // bits per second: 1 byte takes 1 µs
	largeSize = 256 << 10
)

type testClock struct{}

func (testClock) Now() time.Time { return time.Now() }

// pipes is a listener of in-memory connections.
type pipes struct {
	net.Listener
	accepted chan net.Conn
}

func (p pipes) Accept() (net.Conn, error) { return <-p.accepted, nil }

// newConn returns a paced connection whose client reads all that is sent.
func newConn(l net.Listener, p pipes) (server, client net.Conn) {
	client, inner := net.Pipe()
	p.accepted <- inner
	server, _ = l.Accept()
	go func() { _, _ = io.Copy(io.Discard, client) }()
	return server, client
}

func timeOf(t *testing.T, c net.Conn, size int) time.Duration {
	t.Helper()
	began := time.Now()
	if _, err := c.Write(make([]byte, size)); err != nil {
		t.Fatal(err)
	}
	return time.Since(began)
}

// TestLargeResponses guards against large responses that fill the queue before the link, and
// against small ones that wait for them.
func TestLargeResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := pipes{accepted: make(chan net.Conn, 1)}
		l := Listener(p, testLink, testClock{})
		one, oneClient := newConn(l, p)
		two, twoClient := newConn(l, p)
		small, smallClient := newConn(l, p)
		defer oneClient.Close()
		defer twoClient.Close()
		defer smallClient.Close()

		took := make(chan time.Duration, 2)
		go func() { took <- timeOf(t, one, largeSize) }()
		go func() { took <- timeOf(t, two, largeSize) }()
		time.Sleep(10 * time.Millisecond)
		is.Equal(timeOf(t, small, pacing.SmallBytes), time.Duration(0)) // waited for large responses

		onLink := time.Duration(largeSize) * time.Microsecond
		first, second := <-took, <-took
		is.True(first > 2*onLink && second < 3*onLink)                 // both share the link at less than its capacity
		is.True(second-first < 2*pacing.PieceBytes*time.Microsecond*2) // neither waits for the other's end
	})
}

// TestNextRequest guards against a connection whose small responses are paced forever once
// they have exceeded SmallBytes together.
func TestNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := pipes{accepted: make(chan net.Conn, 1)}
		server, client := newConn(Listener(p, testLink, testClock{}), p)
		defer client.Close()
		for range 4 {
			is.Equal(timeOf(t, server, pacing.SmallBytes), time.Duration(0)) // paced
			go func() { _, _ = client.Write([]byte("next")) }()
			_, err := server.Read(make([]byte, 4))
			is.NoErr(err)
		}
	})
}

// TestDeadlineOfPacedWrite guards against a client that reads and is cut off because its
// response waits for those of many others, and against one that doesn't read and isn't.
func TestDeadlineOfPacedWrite(t *testing.T) {
	const (
		narrowLink = 2e6
		clients    = 300
		patience   = 5 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := pipes{accepted: make(chan net.Conn, 1)}
		l := Listener(p, narrowLink, testClock{})
		errs := make(chan error, clients)
		began := time.Now()
		for range clients {
			server, client := newConn(l, p)
			defer client.Close()
			go func() {
				_, errSmall := server.Write(make([]byte, pacing.SmallBytes)) // isn't paced
				errDeadline := server.SetWriteDeadline(time.Now().Add(patience))
				_, errPaced := server.Write(make([]byte, pacing.SmallBytes))
				errs <- errors.Join(errSmall, errDeadline, errPaced)
			}()
		}
		var all error
		for range clients {
			all = errors.Join(all, <-errs)
		}
		is.NoErr(all)
		is.True(time.Since(began) > 2*patience) // the link was full for that long

		unread, inner := net.Pipe()
		defer unread.Close()
		p.accepted <- inner
		server, err := l.Accept()
		is.NoErr(err)
		is.NoErr(server.SetWriteDeadline(time.Now().Add(patience)))
		began = time.Now()
		_, err = server.Write(make([]byte, 2*pacing.SmallBytes))
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		is.True(time.Since(began) < patience+time.Second)
	})
}
