package sockqueue_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/adapter/traffic"
	"sassafrasreach/internal/testlink"
)

// TestStates guards against unread input, or the end of the stream, that isn't seen behind
// wrappers of a connection, and against mistaking one for the other.
func TestStates(t *testing.T) {
	is := is.New(t)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := (&traffic.Counter{}).Listener(raw)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", raw.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	is.NoErr(err)
	is.Equal([]bool{sockqueue.Pending(server), sockqueue.PeerClosed(server)}, []bool{false, false})
	_, err = client.Write([]byte("x"))
	is.NoErr(err)
	eventually(is, func() bool { return sockqueue.Pending(server) })
	is.True(!sockqueue.PeerClosed(server))
	is.NoErr(client.(*net.TCPConn).CloseWrite())
	eventually(is, func() bool { return sockqueue.PeerClosed(server) })
	is.True(!sockqueue.Pending(server)) // the peer has left
	is.NoErr(server.Close())
	is.Equal([]bool{sockqueue.Pending(server), sockqueue.PeerClosed(server)}, []bool{false, true})
	pipe, _ := net.Pipe()
	is.Equal([]bool{sockqueue.Pending(pipe), sockqueue.PeerClosed(pipe)}, []bool{false, false})
}

// TestUnsent guards against output that its peer hasn't taken and that counts as delivered, and
// against output that counts as pending after the peer has reset the connection.
func TestUnsent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := testlink.DialSlow(listener.Addr().String())
	is.NoErr(err)
	server, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	const size = 128 << 10
	is.Equal(sockqueue.Unsent(server), 0)
	_, err = server.Write(make([]byte, size))
	is.NoErr(err)
	is.True(sockqueue.Unsent(server) > size/2)
	_, err = io.CopyN(io.Discard, client, size)
	is.NoErr(err)
	eventually(is, func() bool { return sockqueue.Unsent(server) == 0 })
	_, err = server.Write(make([]byte, size))
	is.NoErr(err)
	is.NoErr(client.Close()) // with unread bytes
	eventually(is, func() bool { return sockqueue.Unsent(server) == 0 })
	is.NoErr(server.Close())
	is.Equal(sockqueue.Unsent(server), 0)
}

func eventually(is *is.I, holds func() bool) {
	is.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !holds(); {
		time.Sleep(time.Millisecond)
	}
	is.True(holds())
}
