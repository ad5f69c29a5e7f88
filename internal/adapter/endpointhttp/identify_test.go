package endpointhttp_test

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
)

// TestIdentify guards against an endpoint that gets a client's key, or the name of an
// account that the client chose, whatever the client's headers are.
func TestIdentify(t *testing.T) {
	seen := make(chan http.Header, 1)
	e := newEndpoint(t, func(c *net.TCPConn, n int64, r *http.Request) bool {
		seen <- r.Header
		return respondWith("200 OK\r\n%sContent-Length: 0\r\n\r\n")(c, n, r)
	})
	convention := endpointhttp.HeaderConvention{
		IDHeader: endpointhttp.HeaderRequestID, TimeoutHeader: endpointhttp.HeaderTimeout,
		NotRun: func(int, http.Header) bool { return false }, KeyHeader: "X-Key", AccountHeader: "X-Account",
	}
	sent := map[string]http.Header{
		"nothing":        {},
		"once":           {"X-Key": {"k"}, "X-Account": {"root"}},
		"repeated":       {"X-Key": {"k", "k"}, "X-Account": {"root", "root"}},
		"other spelling": {"x-KEY": {"k"}, "X-ACCOUNT": {"root"}, "x-account": {"root"}},
		"in Connection":  {"X-Key": {"k"}, "X-Account": {"root"}, "Connection": {"X-Key, x-account", "X-ACCOUNT"}},
	}
	for name, header := range sent {
		for _, account := range []string{"a", ""} {
			t.Run(name+" "+account, func(t *testing.T) {
				is := is.New(t)
				req := onceOnlyRequest("r1", "", long)
				req.Header, req.Identify, req.Account = header.Clone(), true, account
				_, err := newCaller(t, endpointhttp.Options{HeaderConvention: convention}).Call(context.Background(), endpointAt(e.addr), req, nil)
				is.NoErr(err)
				got := <-seen
				is.Equal(len(got.Values("X-Key")), 0)
				want := []string(nil)
				if account != "" {
					want = []string{account}
				}
				is.Equal(got.Values("X-Account"), want)
			})
		}
	}
	t.Run("no accounts", func(t *testing.T) {
		is := is.New(t)
		req := onceOnlyRequest("r1", "", long)
		req.Header = sent["once"].Clone()
		_, err := newCaller(t, endpointhttp.Options{HeaderConvention: convention}).Call(context.Background(), endpointAt(e.addr), req, nil)
		is.NoErr(err)
		got := <-seen
		is.Equal(got.Get("X-Key")+got.Get("X-Account"), "kroot")
	})
}
