package idleconns_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
)

// TestFewBytesHoldConnection guards against a kept connection that stays open for good because
// its client has sent one byte of a next request: net/http waits for four without a header limit.
func TestFewBytesHoldConnection(t *testing.T) {
	for _, stopping := range []bool{false, true} {
		is := is.New(t)
		var offset atomic.Int64
		r := idleconns.New(
			port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }),
			func() idleconns.Limits { return idleconns.Limits{Idle: 15 * time.Second} },
		)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.Listener = r.Listener(server.Listener)
		server.Config.ConnState, server.Config.ReadHeaderTimeout = r.ConnState, 500*time.Millisecond
		server.Start()
		c := dial(t, server)
		c.send(requestStart + requestEnd)
		c.answered()
		c.send("G")
		time.Sleep(100 * time.Millisecond)
		if stopping {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			is.NoErr(r.Shutdown(ctx, server.Config, server.Listener))
			cancel()
			continue
		}
		closed := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, c.Conn); close(closed) }()
		for i := 1; i < 30; i++ {
			offset.Store(int64(i) * int64(20*time.Second))
			r.Sweep()
			time.Sleep(100 * time.Millisecond)
		}
		select {
		case <-closed:
		default:
			t.Error("the connection is open after ten minutes by the Reaper's clock and six times the header timeout")
		}
	}
}
