package registergrpc

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/core/register"
)

const (
	// callTimeout bounds a call. A connection on which a call took longer is
	// replaced.
	callTimeout = time.Second
	// connectTimeout bounds one attempt to connect.
	connectTimeout = time.Second
	// reconnectBase and reconnectMax bound the backoff between attempts to connect.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = 250 * time.Millisecond
	// While a call is in flight, a connection without activity for keepaliveTime is
	// pinged, and closed if the ping isn't acknowledged within keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Client sends messages to one member of a group. It is safe for concurrent use.
type Client struct {
	address string
	group   uint64
	options []grpc.DialOption

	// mu guards conn and closed.
	mu     sync.Mutex
	conn   *grpc.ClientConn
	closed bool
}

// NewClient returns a client of the member at an address (IP:port). The group is
// sent with the messages of the register. The client connects at its first call.
func NewClient(address string, group uint64) (*Client, error) {
	c := &Client{address: address, group: group, options: dialOptions()}
	conn, err := c.dial()
	if err != nil {
		return nil, err
	}
	c.conn = conn
	return c, nil
}

func dialOptions() []grpc.DialOption {
	retry := backoff.Config{BaseDelay: reconnectBase, Multiplier: 2, Jitter: 0.2, MaxDelay: reconnectMax}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithNoProxy(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
	}
}

func (c *Client) dial() (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+c.address, c.options...)
	if err != nil {
		return nil, fmt.Errorf("create client of control VM %s: %w", c.address, err)
	}
	return conn, nil
}

// Close closes the connection. Calls in flight and later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return c.conn.Close()
}

func (c *Client) current() *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

// replace closes an unresponsive connection and uses a new one, unless another
// call has already replaced it or the client is closed.
func (c *Client) replace(stale *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conn != stale {
		return
	}
	fresh, err := c.dial()
	if err != nil {
		return
	}
	c.conn = fresh
	_ = stale.Close()
}

// call runs one call under callTimeout. It replaces the connection when that
// expires before ctx ends. The error wraps ErrOtherGroup when the member belongs
// to another group.
func call[M any](ctx context.Context, c *Client, do func(context.Context, *grpc.ClientConn) (M, error)) (M, error) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn := c.current()
	m, err := do(limited, conn)
	if err == nil {
		return m, nil
	}
	if ctx.Err() == nil && errors.Is(limited.Err(), context.DeadlineExceeded) {
		c.replace(conn)
	}
	if status.Code(err) == codes.FailedPrecondition {
		err = fmt.Errorf("%w: %w", ErrOtherGroup, err)
	}
	return m, fmt.Errorf("call to control VM %s: %w", c.address, err)
}

// Prepare sends the message and returns the member's answer.
func (c *Client) Prepare(ctx context.Context, m register.Prepare) (register.Promise, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.PrepareResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Prepare(ctx, &registerv1.PrepareRequest{
			Ballot: ballotToProto(m.Ballot), Have: ballotToProto(m.Have), Group: c.group,
		})
	})
	return promiseFromProto(out), err
}

// Accept sends the message and returns the member's answer.
func (c *Client) Accept(ctx context.Context, m register.Accept) (register.Accepted, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.AcceptResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Accept(ctx, &registerv1.AcceptRequest{
			Ballot: ballotToProto(m.Ballot), Value: valueToProto(m.Value), Group: c.group,
		})
	})
	return acceptedFromProto(out), err
}

// Learn sends the message.
func (c *Client) Learn(ctx context.Context, m register.Learn) error {
	_, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.LearnResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Learn(ctx, &registerv1.LearnRequest{
			Ballot: ballotToProto(m.Ballot), Group: c.group,
		})
	})
	return err
}

// Query sends the message and returns the member's answer.
func (c *Client) Query(ctx context.Context, m register.Query) (register.Report, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.QueryResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Query(ctx, &registerv1.QueryRequest{
			Have: ballotToProto(m.Have), Group: c.group,
		})
	})
	report := reportFromProto(out)
	report.Round = m.Round
	return report, err
}

// Probe sends the message and returns the member's answer.
func (c *Client) Probe(ctx context.Context, m register.Probe) (register.ProbeReply, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.ProbeResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Probe(ctx, &registerv1.ProbeRequest{
			Nonce: m.Nonce, Round: m.Round, Group: c.group,
		})
	})
	return probeReplyFromProto(out), err
}

// Fence sends the message and returns the member's answer.
func (c *Client) Fence(ctx context.Context, m register.Fence) (register.Fenced, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.FenceResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Fence(ctx, &registerv1.FenceRequest{
			Ballot: ballotToProto(m.Ballot), Member: uint32(m.Member), Group: c.group,
		})
	})
	return fencedFromProto(out), err
}

// Reports returns the reports of entry VMs that the member has received.
func (c *Client) Reports(ctx context.Context) ([]EntryReport, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.ReportsResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Reports(ctx, &registerv1.ReportsRequest{})
	})
	reports := make([]EntryReport, 0, len(out.GetReports()))
	for _, r := range out.GetReports() {
		reports = append(reports, entryReportFromProto(r.GetReport(), r.GetAgeMillis()))
	}
	return reports, err
}

// Lift notifies the member that an operator lifted the quarantine of a
// fingerprint.
func (c *Client) Lift(ctx context.Context, operator, fingerprint string) error {
	_, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.LiftResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Lift(ctx, &registerv1.LiftRequest{
			Operator: operator, Fingerprint: fingerprint,
		})
	})
	return err
}
