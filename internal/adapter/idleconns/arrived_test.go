package idleconns_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/port"
)

// stall is a listener whose connections stand still in Read while one of its locks is held, as
// when the process isn't scheduled.
type stall struct {
	net.Listener
	// before is for reads that haven't read from the kernel, after for those that have.
	before, after sync.RWMutex
	// reading counts the reads from the kernel that haven't returned.
	reading atomic.Int64
}

func (l *stall) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{c, l}, nil
}

type stalledConn struct {
	net.Conn
	stall *stall
}

func (c *stalledConn) NetConn() net.Conn { return c.Conn }

func (c *stalledConn) Read(p []byte) (int, error) {
	c.stall.before.RLock()
	c.stall.before.RUnlock() //nolint:staticcheck // waits while the test holds the lock
	c.stall.reading.Add(1)
	n, err := c.Conn.Read(p)
	c.stall.reading.Add(-1)
	c.stall.after.RLock()
	c.stall.after.RUnlock() //nolint:staticcheck // as above
	return n, err
}

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
				s := &stall{}
				requests := 0
				server := startServerOn(r, s, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					if requests++; requests == 1 && !read {
						for s.reading.Load() == 0 { // http.Server reads in the background meanwhile
							time.Sleep(time.Millisecond)
						}
						s.before.Lock() // the read of the next request stands still
					}
				}))
				defer server.Close()
				c := dial(t, server)
				c.send(requestStart + requestEnd)
				c.answered()
				time.Sleep(50 * time.Millisecond) // the server reads on
				if read {
					s.after.Lock()
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
					s.after.Unlock()
				} else {
					s.before.Unlock()
				}
				c.answered()
				if stopping {
					is.NoErr(<-stopped)
				}
			})
		}
	}
}
