package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

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

// proven says whether the peer answered within provenFor.
func (c *conn) proven(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.heard) <= provenFor
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

	mu     sync.Mutex
	byAddr map[string]*conn
}

func newConns(clock port.Clock) *conns {
	return &conns{clock: clock, byAddr: make(map[string]*conn)}
}

// get returns the connection to address, acquired. With proven set, one that
// wasn't heard from lately is replaced first.
func (s *conns) get(ctx context.Context, address string, proven bool) (*conn, error) {
	c, err := s.pick(address, proven)
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
func (s *conns) pick(address string, proven bool) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byAddr[address]
	if ok && (!proven || old.proven(s.clock.Now())) {
		old.acquire()
		return old, nil
	}
	cc, err := dial(address)
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

// closeAll closes every connection.
func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.byAddr {
		_ = c.cc.Close()
		delete(s.byAddr, address)
	}
}

func dial(address string) (*grpc.ClientConn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithIdleTimeout(0),
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
