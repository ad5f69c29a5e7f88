package httpstatus_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/httpstatus"
)

// startServer starts a server that sends the same answer to each request, and returns its
// URL and the number of connections.
func startServer(t *testing.T, answer string) (url string, connections *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	connections = new(atomic.Int64)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					if _, err := io.WriteString(c, answer); err != nil {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), connections
}

// TestTransport guards against a response with an invalid status that counts, for instance
// as a success because it is below 300, and against its connection being used again.
func TestTransport(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "099": false, "+20": false, "600": false, "999": false, "200": true, "503": true, "599": true,
	} {
		for _, body := range []string{"", "body"} {
			t.Run(status+body, func(t *testing.T) {
				is := is.New(t)
				url, connections := startServer(t, fmt.Sprintf("HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
				client := httpstatus.NewClient(&http.Transport{})
				defer client.CloseIdleConnections()
				for i := range int64(2) {
					r, err := client.Get(url)
					is.Equal(errors.Is(err, httpstatus.ErrInvalid), !valid)
					if valid {
						got, err := io.ReadAll(r.Body)
						is.NoErr(err)
						is.Equal(string(got), body)
						continue
					}
					is.Equal(connections.Load(), i+1)
				}
			})
		}
	}
}
