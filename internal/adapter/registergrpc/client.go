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
	// callTimeout bounds a call. A connection on which one call took longer is
	// taken for silent and replaced.
	callTimeout = time.Second
	// connectTimeout bounds one try to connect.
	connectTimeout = time.Second
	// reconnectBase and reconnectMax bound the pause between tries to connect.
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = 250 * time.Millisecond
	// keepaliveTime and keepaliveTimeout are of the pings on a connection with
	// a call in flight.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
)

// Client sends messages to one member. It is safe for concurrent use.
type Client struct {
	address string
	group   uint64
	options []grpc.DialOption

	// mu guards conn and closed.
	mu     sync.Mutex
	conn   *grpc.ClientConn
	closed bool
}

// NewClient returns a client of the member at an address (IP:port). It connects
// when it is first used.
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
		return nil, fmt.Errorf("client of %s: %w", c.address, err)
	}
	return conn, nil
}

// Close closes the connection; later calls fail.
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

// replace closes a connection that has gone silent and takes a new one, unless
// another call has done so.
func (c *Client) replace(silent *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.conn != silent {
		return
	}
	fresh, err := c.dial()
	if err != nil {
		return
	}
	c.conn = fresh
	_ = silent.Close()
}

// call runs one call with its own deadline.
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
	return m, fmt.Errorf("call %s: %w", c.address, err)
}

// Prepare sends the message and returns the answer.
func (c *Client) Prepare(ctx context.Context, m register.Prepare) (register.Promise, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.PrepareResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Prepare(ctx, &registerv1.PrepareRequest{
			Ballot: ballotToProto(m.Ballot), Have: ballotToProto(m.Have), Group: c.group,
		})
	})
	return promiseFromProto(out), err
}

// Accept sends the message and returns the answer.
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

// Query sends the message and returns the answer.
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

// Probe sends the message and returns the answer.
func (c *Client) Probe(ctx context.Context, m register.Probe) (register.ProbeReply, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.ProbeResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Probe(ctx, &registerv1.ProbeRequest{
			Nonce: m.Nonce, Round: m.Round, Group: c.group,
		})
	})
	return probeReplyFromProto(out), err
}

// Fence sends the message and returns the answer.
func (c *Client) Fence(ctx context.Context, m register.Fence) (register.Fenced, error) {
	out, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.FenceResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Fence(ctx, &registerv1.FenceRequest{
			Ballot: ballotToProto(m.Ballot), Member: uint32(m.Member), Group: c.group,
		})
	})
	return fencedFromProto(out), err
}

// Reports returns what the member heard from entries.
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

// Lift tells the member that an operator lifted a quarantine.
func (c *Client) Lift(ctx context.Context, operator, fingerprint string) error {
	_, err := call(ctx, c, func(ctx context.Context, conn *grpc.ClientConn) (*registerv1.LiftResponse, error) {
		return registerv1.NewRegisterServiceClient(conn).Lift(ctx, &registerv1.LiftRequest{
			Operator: operator, Fingerprint: fingerprint,
		})
	})
	return err
}
