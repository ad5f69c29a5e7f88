package idleconns_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/testlink"
)

// TestArrivedRequest guards against a connection that is closed as idle, by its limit or in a
// planned stop, although its next request has arrived and the process only hasn't handled it.
func TestArrivedRequest(t *testing.T) {
	for name, read := range map[string]bool{"unread": false, "just read": true} {
		for _, stopping := range []bool{false, true} {
			if stopping {
				name += " in a planned stop"
			}
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				var offset atomic.Int64 // offset of the fake clock in nanoseconds
				r := idleconns.New(
					port.ClockFunc(func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }),
					func() idleconns.Limits { return idleconns.Limits{Idle: 15 * time.Second} },
				)
				s := &testlink.Stall{}
				requests := 0
				server := startServerOn(r, s, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					if requests++; requests == 1 && !read {
						s.AwaitRead()
						s.Hold() // the read of the next request stands still
					}
				}))
				defer server.Close()
				c := dial(t, server)
				c.send(requestStart + requestEnd)
				c.answered()
				time.Sleep(50 * time.Millisecond) // the server reads on
				if read {
					s.HoldBehind()
				}
				c.send(requestStart + requestEnd)
				stopped := make(chan error, 1)
				if stopping {
					go func() { stopped <- r.Shutdown(context.Background(), server.Config, server.Listener) }()
					time.Sleep(100 * time.Millisecond)
				} else {
					offset.Store(int64(16 * time.Second))
					r.Sweep()
				}
				if read {
					s.ReleaseBehind()
				} else {
					s.Release()
				}
				c.answered()
				if stopping {
					is.NoErr(<-stopped)
				}
			})
		}
	}
}
