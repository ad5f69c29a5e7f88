package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"sassafrasreach/internal/port"
)

const (
	// provenFor is how long a connection counts as alive after it was heard.
	provenFor = time.Second
	// keepaliveTime and keepaliveTimeout end idle connections that went silent.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// maxMessageBytes bounds one message either way.
	maxMessageBytes = 16 << 20
	// dialLimit bounds the wait for a new connection.
	dialLimit = 500 * time.Millisecond
)

// errNotReady means that no connection became ready in time.
var errNotReady = errors.New("peer connection not ready")

// conn is one connection to a peer.
type conn struct {
	cc *grpc.ClientConn

	mu      sync.Mutex
	heard   time.Time // when the peer last answered on it
	users   int       // calls in progress
	retired bool      // closed as soon as users is zero
}

// hear notes that the peer answered.
func (c *conn) hear(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard = now
}

// meets says whether the connection is good enough.
func (c *conn) meets(n need, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch n {
	case needAny:
		return true
	case needProven:
		return now.Sub(c.heard) <= provenFor
	default:
		return false
	}
}

// acquire keeps the connection open until release.
func (c *conn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
}

func (c *conn) release() {
	c.mu.Lock()
	c.users--
	idle := c.retired && c.users == 0
	c.mu.Unlock()
	if idle {
		_ = c.cc.Close()
	}
}

// retire closes the connection once its calls have ended.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	idle := c.users == 0
	c.mu.Unlock()
	if idle {
		_ = c.cc.Close()
	}
}

// conns holds the connection to each address.
type conns struct {
	clock port.Clock
	local net.IP // the source address; nil leaves it to the system

	mu     sync.Mutex
	byAddr map[string]*conn
}

func newConns(clock port.Clock, local net.IP) *conns {
	return &conns{clock: clock, local: local, byAddr: make(map[string]*conn)}
}

// need says how much is asked of a connection.
type need uint8

const (
	// needAny takes the present connection.
	needAny need = iota
	// needProven replaces a connection that wasn't heard from within provenFor.
	needProven
	// needNew always replaces the present connection.
	needNew
)

// get returns the connection to address, acquired.
func (s *conns) get(ctx context.Context, address string, n need) (*conn, error) {
	c, err := s.pick(address, n)
	if err != nil {
		return nil, err
	}
	if err := ready(ctx, c.cc); err != nil {
		s.drop(address, c)
		c.release()
		return nil, err
	}
	return c, nil
}

// pick returns the present or a new connection, acquired.
func (s *conns) pick(address string, n need) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byAddr[address]
	if ok && old.meets(n, s.clock.Now()) {
		old.acquire()
		return old, nil
	}
	cc, err := s.dial(address)
	if err != nil {
		return nil, err
	}
	if ok {
		old.retire()
	}
	fresh := &conn{cc: cc, heard: s.clock.Now()}
	fresh.acquire()
	s.byAddr[address] = fresh
	return fresh, nil
}

// drop takes c out of use, if it still is the connection to address.
func (s *conns) drop(address string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddr[address] != c {
		return
	}
	delete(s.byAddr, address)
	c.retire()
}

// suspect drops a connection that failed or stayed silent.
func (s *conns) suspect(address string, c *conn, err error) {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable:
		s.drop(address, c)
	}
}

// closeAll closes every connection.
func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.byAddr {
		_ = c.cc.Close()
		delete(s.byAddr, address)
	}
}

func (s *conns) dial(address string) (*grpc.ClientConn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
		grpc.WithContextDialer(s.dialFrom),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:                keepaliveTime,
			Timeout:             keepaliveTimeout,
			PermitWithoutStream: true,
		}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
	)
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", address, err)
	}
	return cc, nil
}

// dialFrom opens a TCP connection from the local address.
func (s *conns) dialFrom(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	if s.local != nil {
		d.LocalAddr = &net.TCPAddr{IP: s.local}
	}
	return d.DialContext(ctx, "tcp", address)
}

// ready waits until the connection can carry a call; it gives up at once when
// the dial failed.
func ready(ctx context.Context, cc *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	cc.Connect()
	for {
		state := cc.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return fmt.Errorf("%w: %s", errNotReady, state)
		}
		if !cc.WaitForStateChange(ctx, state) {
			return fmt.Errorf("%w: %w", errNotReady, ctx.Err())
		}
	}
}
