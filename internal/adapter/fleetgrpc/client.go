package fleetgrpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/port"
)

const (
	// maxMessageBytes bounds one message in either direction. States, which make the
	// largest messages, are far smaller.
	maxMessageBytes = 64 << 20
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// reconnectBase and reconnectMax bound the backoff between attempts to connect.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = 300 * time.Millisecond
	// While a call is in flight, a connection without activity for keepaliveTime is
	// pinged, and closed if the ping isn't acknowledged within keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// windowBytes is the fixed flow-control window of streams and connections. A
	// window that is estimated would cost a ping with most messages.
	windowBytes = 1 << 20
	// bufferBytes is the size of a connection's read buffer and of its write buffer.
	// Most messages are small.
	bufferBytes = 4 << 10
)

// Client sends messages to one controller. It is safe for concurrent use.
type Client struct {
	address string
	clock   port.Clock
	options []grpc.DialOption

	// mu guards conn.
	mu   sync.Mutex
	conn *grpc.ClientConn
}

var (
	_ port.ControllerPeer = (*Client)(nil)
	_ port.ControllerLink = (*Client)(nil)
)

// NewClient returns a client of the controller at an address (IP:port). It
// connects at its first call, from the IP address local; if that is nil, the
// operating system chooses the address. More options may be given.
func NewClient(address string, local net.IP, clock port.Clock, more ...grpc.DialOption) (*Client, error) {
	c := &Client{address: address, clock: clock, options: append(dialOptions(local), more...)}
	conn, err := c.dial()
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

func dialOptions(local net.IP) []grpc.DialOption {
	retry := backoff.Config{BaseDelay: reconnectBase, Multiplier: 1.6, Jitter: 0.2, MaxDelay: reconnectMax}
	dialer := &net.Dialer{}
	if local != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: local}
	}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes),
		),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}),
	}
}

func (c *Client) dial() (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+c.address, c.options...)
	if err != nil {
		return nil, fmt.Errorf("create client of controller %s: %w", c.address, err)
	}
	return conn, nil
}

// Close closes the connection; calls in flight fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn.Close()
}

func (c *Client) current() *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// replace closes an unresponsive connection and uses a new one, unless another
// call has already replaced it.
func (c *Client) replace(stale *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != stale {
		return
	}
	fresh, err := c.dial()
	if err != nil {
		return // unlikely, as the address worked before; the stale connection stays until the next call that times out
	}
	c.conn = fresh
	_ = stale.Close()
}

// call runs one call. It replaces the connection if the call exceeded its
// deadline, unless mayWait is set: the controller may then hold the call until the
// deadline, so that exceeding it says nothing about the connection.
func call[M any](ctx context.Context, c *Client, mayWait bool, do func(context.Context, fleetv1.FleetServiceClient) (M, error)) (M, error) {
	conn := c.current()
	m, err := do(ctx, fleetv1.NewFleetServiceClient(conn))
	if err == nil {
		return m, nil
	}
	if !mayWait && errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.replace(conn)
	}
	if status.Code(err) == codes.Canceled && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", port.ErrLinkReplaced, err)
	}
	return m, fromStatus(err, c.address)
}

// Prepare implements port.ControllerPeer.
func (c *Client) Prepare(ctx context.Context, m quorum.Prepare) (quorum.Promise, error) {
	out, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.PrepareResponse, error) {
		return s.Prepare(ctx, prepareToProto(m))
	})
	return quorum.Promise{Refusal: refusalFromProto(out.GetRefusal()), Accepted: acceptedFromProto(out.GetAccepted())}, err
}

// Accept implements port.ControllerPeer.
func (c *Client) Accept(ctx context.Context, m quorum.Accept) (*quorum.Refusal, error) {
	out, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.AcceptResponse, error) {
		return s.Accept(ctx, acceptToProto(m))
	})
	return refusalFromProto(out.GetRefusal()), err
}

// Learn implements port.ControllerPeer.
func (c *Client) Learn(ctx context.Context, epoch quorum.Epoch, chosen quorum.Accepted) error {
	_, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.LearnResponse, error) {
		return s.Learn(ctx, &fleetv1.LearnRequest{Epoch: epochToProto(epoch), Chosen: acceptedToProto(chosen)})
	})
	return err
}

// Exchange implements port.ControllerPeer.
func (c *Client) Exchange(ctx context.Context, m port.ExchangeRequest) (port.ExchangeReply, error) {
	out, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.ExchangeResponse, error) {
		return s.Exchange(ctx, codec{c.clock.Now()}.exchangeToProto(m))
	})
	return codec{c.clock.Now()}.exchangeReplyFromProto(out), err
}

// Order implements port.ControllerPeer.
func (c *Client) Order(ctx context.Context, o fleet.Order) (port.OrderReply, error) {
	m, err := orderToProto(o)
	if err != nil {
		return port.OrderReply{}, err
	}
	out, err := call(ctx, c, true, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.OrderResponse, error) {
		return s.Order(ctx, m)
	})
	return orderReplyFromProto(out), err
}

// Watch implements port.ControllerLink.
func (c *Client) Watch(ctx context.Context, g port.Gateway, since port.WatchCursor) (port.Update, error) {
	out, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.WatchResponse, error) {
		return s.Watch(ctx, &fleetv1.WatchRequest{
			Gateway: codec{c.clock.Now()}.gatewayToProto(g), Cursor: cursorToProto(since),
		})
	})
	if err != nil {
		return port.Update{}, err
	}
	return codec{c.clock.Now()}.updateFromProto(out)
}

// Acquire implements port.ControllerLink.
func (c *Client) Acquire(ctx context.Context, req port.SlotRequest) (dispatch.Decision, error) {
	out, err := call(ctx, c, true, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.AcquireResponse, error) {
		return s.Acquire(ctx, codec{c.clock.Now()}.slotRequestToProto(req))
	})
	return codec{c.clock.Now()}.decisionFromProto(out), err
}

// Release implements port.ControllerLink.
func (c *Client) Release(ctx context.Context, r []port.SlotRelease) error {
	_, err := call(ctx, c, false, func(ctx context.Context, s fleetv1.FleetServiceClient) (*fleetv1.ReleaseResponse, error) {
		return s.Release(ctx, &fleetv1.ReleaseRequest{Released: convertAll(r, codec{c.clock.Now()}.releaseToProto)})
	})
	return err
}
