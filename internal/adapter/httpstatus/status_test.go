package httpstatus_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/httpstatus"
)

// TestTransport guards against a response with an invalid status that counts, for instance
// as a success because it is below 300, and against its connection being used again.
func TestTransport(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "099": false, "+20": false, "600": false, "999": false, "200": true, "503": true, "599": true,
	} {
		for _, body := range []string{"", "body"} {
			is := is.New(t)
			ends := make(chan error, 2)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
				_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, err = c.Read(make([]byte, 1))
				ends <- err
			}))
			client := httpstatus.NewClient(&http.Transport{})
			for range 2 {
				r, err := client.Get(server.URL)
				is.Equal(errors.Is(err, httpstatus.ErrInvalid), !valid)
				if valid {
					got, err := io.ReadAll(r.Body)
					is.NoErr(err)
					is.Equal(string(got), body)
					_ = r.Body.Close()
					break
				}
				is.Equal(<-ends, io.EOF) // closed by the client
			}
			client.CloseIdleConnections()
			server.Close()
		}
	}
}
