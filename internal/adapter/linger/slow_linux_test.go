package linger_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/delivery"
	"sassafrasreach/internal/adapter/linger"
	"sassafrasreach/internal/adapter/sockqueue"
	"sassafrasreach/internal/testlink"
)

// slowBytes is more than the kernel takes for a client that doesn't read.
const slowBytes = 256 << 10

// TestSlowReader guards against a response that is cut off because its client still reads it when
// the connection is closed, and sends on or has closed its sending side: behind a closing response
// and on an idle connection.
func TestSlowReader(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		sendOn func(net.Conn) error
	}{
		"closing response":              {"/close", sendOn},
		"closing response, half-closed": {"/close", func(c net.Conn) error { return c.(*net.TCPConn).CloseWrite() }},
		"closing response, much sent":   {"/close", sendMuch},
		"idle":                          {"/", sendOn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			l := linger.New(1)
			server := &http.Server{
				IdleTimeout: 100 * time.Millisecond, ConnContext: linger.ConnContext, ConnState: linger.ConnState,
				Handler: linger.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/close" {
						w.Header().Set("Connection", "close")
					}
					_, _ = w.Write(make([]byte, slowBytes))
				})),
			}
			go func() { _ = server.Serve(l.Listener(listener)) }()
			t.Cleanup(func() { _ = server.Close() })
			client, err := testlink.DialSlow(listener.Addr().String())
			is.NoErr(err)
			defer func() { _ = client.Close() }()
			_, err = io.WriteString(client, "GET "+c.path+" HTTP/1.1\r\nHost: h\r\n\r\n")
			is.NoErr(err)
			time.Sleep(2 * linger.Timeout) // it reads nothing
			is.NoErr(c.sendOn(client))
			time.Sleep(linger.Timeout / 2)
			read, err := io.Copy(io.Discard, client)
			is.NoErr(err)
			is.True(read > slowBytes)
			l.Wait(t.Context())
		})
	}
}

func sendOn(c net.Conn) error {
	_, err := io.WriteString(c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// sendMuch sends more than the server reads behind a response.
func sendMuch(c net.Conn) error {
	go func() { _, _ = c.Write(make([]byte, 64<<20)) }()
	return nil
}

// TestDelivery guards against a client that reads slowly and counts as one that doesn't read, and
// against one that doesn't read and is waited for.
func TestDelivery(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	client, err := testlink.DialSlow(listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = client.Close() }()
	server, err := listener.Accept()
	is.NoErr(err)
	defer func() { _ = server.Close() }()
	var d linger.Delivery
	now := time.Now()
	is.True(!d.Pending(now, server))
	_, err = server.Write(make([]byte, slowBytes))
	is.NoErr(err)
	for before := 0; before > slowBytes/4 || before == 0; before = sockqueue.Unsent(server) {
		is.True(d.Pending(now, server))
		now = now.Add(delivery.Patience - 1)
		is.True(d.Pending(now, server))
		_, err = io.CopyN(io.Discard, client, 4*delivery.PieceBytes)
		is.NoErr(err)
		time.Sleep(50 * time.Millisecond) // the kernel sends on
	}
	is.True(d.Pending(now, server))
	is.True(!d.Pending(now.Add(delivery.Patience), server))
	_, err = io.CopyN(io.Discard, client, slowBytes/4)
	is.NoErr(err)
}
