package sockinput_test

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/sockinput"
	"sassafrasreach/internal/adapter/traffic"
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
	is.Equal([]bool{sockinput.Pending(server), sockinput.PeerClosed(server)}, []bool{false, false})
	_, err = client.Write([]byte("x"))
	is.NoErr(err)
	eventually(is, func() bool { return sockinput.Pending(server) })
	is.True(!sockinput.PeerClosed(server))
	is.NoErr(client.(*net.TCPConn).CloseWrite())
	eventually(is, func() bool { return sockinput.PeerClosed(server) })
	is.True(!sockinput.Pending(server)) // the peer has left
	is.NoErr(server.Close())
	is.Equal([]bool{sockinput.Pending(server), sockinput.PeerClosed(server)}, []bool{false, true})
	pipe, _ := net.Pipe()
	is.Equal([]bool{sockinput.Pending(pipe), sockinput.PeerClosed(pipe)}, []bool{false, false})
}

func eventually(is *is.I, holds func() bool) {
	is.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !holds(); {
		time.Sleep(time.Millisecond)
	}
	is.True(holds())
}
