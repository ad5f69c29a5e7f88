package endpointhttp_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/port"
)

func TestCallReturnsWholeAnswer(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(endpointhttp.HeaderRequestID, r.Header.Get(endpointhttp.HeaderRequestID))
		_, _ = w.Write([]byte("posted"))
	}))
	defer server.Close()
	caller := endpointhttp.New(endpointhttp.Options{})
	defer caller.Close()
	to := port.Endpoint{ID: "w1", Address: server.Listener.Addr().String(), Connections: 1}
	for range 3 {
		req := &port.Request{ID: "r1", Method: "POST", Target: "/a?b=c", Deadline: time.Now().Add(time.Minute), OnceOnly: true}
		got, err := caller.Call(context.Background(), to, req)
		is.NoErr(err)
		is.Equal(string(got.Body), "posted")
		is.Equal(got.Header.Get(endpointhttp.HeaderRequestID), "")
	}
}
