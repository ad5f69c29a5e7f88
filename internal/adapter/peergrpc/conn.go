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

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

const (
	// recentSuccess is how long a connection counts as working after a call on it
	// succeeded or after it was created.
	recentSuccess = time.Second
	// A connection without activity for keepaliveTime is pinged, and closed if the
	// ping isn't acknowledged within keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// maxMessageBytes bounds one message in either direction. The largest ones are forwarded
	// requests, of which a head has a megabyte at most.
	maxMessageBytes = document.MaxBodyBytesBound + 2<<20
	// streamWindowBytes is how much of a call's data an entry receives from another before
	// its handler reads them. The default of gRPC grows with the link up to 16 MiB for each
	// call.
	streamWindowBytes = 512 << 10
	// dialTimeout bounds the wait for a connection to become ready.
	dialTimeout = 500 * time.Millisecond
)

// errNotReady means that dialing failed, or that the connection wasn't ready
// within dialTimeout or before the caller's context ended.
var errNotReady = errors.New("connection not ready")

// conn is one connection to a peer.
type conn struct {
	cc *grpc.ClientConn

	mu          sync.Mutex
	lastSuccess time.Time // of a call; at first, when the connection was created
	activeCalls int       // calls in flight
	retired     bool      // the last call in flight closes the connection
}

// recordSuccess records that a call succeeded at the given time.
func (c *conn) recordSuccess(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSuccess = now
}

// meets reports whether the connection satisfies the requirement.
func (c *conn) meets(r requirement, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r {
	case requireAny:
		return true
	case requireRecent:
		return now.Sub(c.lastSuccess) <= recentSuccess
	default:
		return false
	}
}

// acquire counts a call in flight; the connection stays open until release.
func (c *conn) acquire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.activeCalls++
}

func (c *conn) release() {
	c.mu.Lock()
	c.activeCalls--
	idle := c.retired && c.activeCalls == 0
	c.mu.Unlock()
	if idle {
		_ = c.cc.Close()
	}
}

// retire closes the connection when no call on it is in flight any more.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	idle := c.activeCalls == 0
	c.mu.Unlock()
	if idle {
		_ = c.cc.Close()
	}
}

// conns holds the current connection to each address.
type conns struct {
	clock port.Clock
	local net.IP // the source address; nil: the operating system chooses it
	// options are further options of each connection.
	options []grpc.DialOption

	mu     sync.Mutex
	byAddr map[string]*conn
}

func newConns(clock port.Clock, local net.IP, options ...grpc.DialOption) *conns {
	return &conns{clock: clock, local: local, options: options, byAddr: make(map[string]*conn)}
}

// requirement states which connections a call may use.
type requirement uint8

const (
	// requireAny accepts the current connection.
	requireAny requirement = iota
	// requireRecent replaces a connection without a success within recentSuccess.
	requireRecent
	// requireNew always replaces the current connection.
	requireNew
)

// get returns a connection to address that is ready and meets the requirement.
// The caller must release it.
func (s *conns) get(ctx context.Context, address string, r requirement) (*conn, error) {
	c, err := s.pick(address, r)
	if err != nil {
		return nil, err
	}
	if err := waitReady(ctx, c.cc); err != nil {
		s.drop(address, c)
		c.release()
		return nil, err
	}
	return c, nil
}

// pick returns the current connection if it meets the requirement, and else a
// new one that replaces it. The caller must release it.
func (s *conns) pick(address string, r requirement) (*conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, ok := s.byAddr[address]
	if ok && old.meets(r, s.clock.Now()) {
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
	fresh := &conn{cc: cc, lastSuccess: s.clock.Now()}
	fresh.acquire()
	s.byAddr[address] = fresh
	return fresh, nil
}

// drop retires c if it is still the current connection to address.
func (s *conns) drop(address string, c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddr[address] != c {
		return
	}
	delete(s.byAddr, address)
	c.retire()
}

// dropOnFailure drops c after a call on it failed with err, if err is an exceeded
// deadline or an unavailable peer. Other errors don't show that the connection is
// unusable.
func (s *conns) dropOnFailure(address string, c *conn, err error) {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable:
		s.drop(address, c)
	}
}

// closeAll closes the current connections; calls in flight on them fail.
func (s *conns) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, c := range s.byAddr {
		_ = c.cc.Close()
		delete(s.byAddr, address)
	}
}

func (s *conns) dial(address string) (*grpc.ClientConn, error) {
	cc, err := grpc.NewClient("passthrough:///"+address, append([]grpc.DialOption{
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
	}, s.options...)...)
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

// waitReady waits until the connection is ready for a call, at most for
// dialTimeout. It returns at once when dialing has failed.
func waitReady(ctx context.Context, cc *grpc.ClientConn) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
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
