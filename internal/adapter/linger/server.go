package linger

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"sassafrasreach/internal/adapter/sockqueue"
)

// Listener returns the listener that an http.Server must use, wrapped or not, whose connections
// linger behind a whole response, and those that were idle as long as their client takes the last
// one. The server also needs Handler, ConnContext and ConnState.
func (l *Closer) Listener(inner net.Listener) net.Listener { return listener{inner, l} }

type listener struct {
	net.Listener
	closer *Closer
}

func (l listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, closer: l.closer}, nil
}

// conn is a connection that lingers if it is closed behind a whole response.
type conn struct {
	net.Conn
	closer *Closer
	// serving is true while a handler runs, or if it has failed; responded, from its end until the
	// connection is idle. writeFailed is true once a write has failed, closed once Close was called.
	serving, responded, writeFailed, closed atomic.Bool
}

// NetConn returns the connection of the underlying listener.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending side, if the connection can do that.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return errors.ErrUnsupported
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeFailed.Store(true)
	}
	return n, err
}

// Close implements net.Conn. A connection whose response broke off is closed at once, and so is an
// idle one whose client has all responses.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) && !c.serving.Load() && !c.writeFailed.Load() {
		switch {
		case c.responded.Load() && c.closer.TryClose(c.Conn):
			return nil
		case !c.responded.Load() && sockqueue.Unsent(c.Conn) > 0 && c.closer.TryDeliver(c.Conn):
			return nil
		}
	}
	return c.Conn.Close()
}

type connKey struct{}

// ConnContext must be set as http.Server.ConnContext.
func ConnContext(ctx context.Context, nc net.Conn) context.Context {
	if c := innerConn(nc); c != nil {
		return context.WithValue(ctx, connKey{}, c)
	}
	return ctx // of another listener
}

// ConnState must be called with the states of the server's connections, before others that may
// close idle connections.
func ConnState(nc net.Conn, to http.ConnState) {
	if c := innerConn(nc); c != nil && to == http.StateIdle {
		c.responded.Store(false)
	}
}

// Handler returns the handler that the server must use. A response is whole unless h panics.
func Handler(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok {
			c.serving.Store(true)
		}
		h.ServeHTTP(w, r)
		if ok {
			c.serving.Store(false)
			c.responded.Store(true)
		}
	})
}

// innerConn returns the conn of this package within a connection that was wrapped, or nil.
func innerConn(nc net.Conn) *conn {
	for {
		if c, ok := nc.(*conn); ok {
			return c
		}
		wrapped, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = wrapped.NetConn()
	}
}
