package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// Client calls other entry VMs. It implements port.PeerClient.
type Client struct {
	conns  *conns
	clock  port.Clock
	budget *memory.Budget
}

var _ port.PeerClient = (*Client)(nil)

// NewClient returns a client without open connections. It dials from the IP
// address local; if that is nil, the operating system chooses the address. The bodies
// that it sends and receives are charged to the budget; nil means no bound.
func NewClient(clock port.Clock, local net.IP, budget *memory.Budget) *Client {
	return &Client{conns: newConns(clock, local, grpc.WithStaticStreamWindowSize(streamWindowBytes)), clock: clock, budget: budget}
}

// Close closes every connection.
func (c *Client) Close() { c.conns.closeAll() }

// call runs one unary call. After a call that exceeded its deadline or found the
// peer unavailable, the next call uses a new connection.
func (c *Client) call(ctx context.Context, address string, do func(peerv1.PeerServiceClient) error) error {
	conn, err := c.conns.get(ctx, address, requireAny)
	if err != nil {
		return err
	}
	defer conn.release()
	if err := do(peerv1.NewPeerServiceClient(conn.cc)); err != nil {
		c.conns.dropOnFailure(address, conn, err)
		return fmt.Errorf("peer %s: %w", address, err)
	}
	conn.recordSuccess(c.clock.Now())
	return nil
}

// Heartbeat sends a heartbeat and returns that of the peer.
func (c *Client) Heartbeat(ctx context.Context, address string, hb membership.Heartbeat) (membership.Heartbeat, error) {
	var reply membership.Heartbeat
	err := c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		response, err := peer.Heartbeat(ctx, heartbeatToProto(hb))
		if err == nil {
			reply = heartbeatFromReply(response)
		}
		return err
	})
	return reply, err
}

// Announce forwards announcements of endpoints to the peer.
func (c *Client) Announce(ctx context.Context, address string, batch []port.Announcement) error {
	return c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		_, err := peer.Announce(ctx, announcementsToProto(batch))
		return err
	})
}

// FetchDocument requests the peer's document. The argument currentVersion is the
// version that the caller already has.
func (c *Client) FetchDocument(ctx context.Context, address string, currentVersion uint64) (port.Config, error) {
	var config port.Config
	err := c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		response, err := peer.FetchDocument(ctx, &peerv1.FetchDocumentRequest{HaveVersion: currentVersion})
		if err == nil {
			config = port.Config{
				Version:  response.GetVersion(),
				Digest:   response.GetDigest(),
				Document: response.GetDocument(),
			}
		}
		return err
	})
	return config, err
}

// HandOver transfers claims to the peer.
func (c *Client) HandOver(ctx context.Context, address string, h claims.HandOver) error {
	return c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		_, err := peer.HandOver(ctx, handOverToProto(h))
		return err
	})
}

// Quarantine sends quarantine rows to the peer. Without rows it requests those
// of the peer.
func (c *Client) Quarantine(ctx context.Context, address string, rows []port.QuarantineRow) ([]port.QuarantineRow, error) {
	var held []port.QuarantineRow
	err := c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		response, err := peer.Quarantine(ctx, &peerv1.QuarantineRequest{Rows: quarantineToProto(rows)})
		held = quarantineFromProto(response.GetRows())
		return err
	})
	return held, err
}

// Borrow requests a loan and returns what the peer grants.
func (c *Client) Borrow(ctx context.Context, address string, r port.LoanRequest) (port.LoanGrant, error) {
	var grant port.LoanGrant
	err := c.call(ctx, address, func(peer peerv1.PeerServiceClient) error {
		response, err := peer.Borrow(ctx, loanToProto(r))
		if err == nil {
			grant = port.LoanGrant{Units: response.GetUnits(), Term: millis(response.GetTermMillis())}
		}
		return err
	})
	return grant, err
}

// Forward sends a request to the peer. Every error is a *verdict.Error. When the
// response's Rest is not nil, the caller must close it.
func (c *Client) Forward(ctx context.Context, address string, f port.Forward) (*port.Response, error) {
	encoded, answer := c.budget.OpenFor(memory.Bodies), c.budget.Open()
	defer encoded.Close()
	if !encoded.Take(encodedBytes(f.Request)) || !answer.Take(chunkBytes) {
		return nil, noMemory(f.Hop)
	}
	response, err := c.forward(ctx, address, f, answer)
	if err != nil {
		answer.Close()
	}
	return response, err
}

// forward sends a request. The response is charged to the account.
func (c *Client) forward(ctx context.Context, address string, f port.Forward, answer *memory.Account) (*port.Response, error) {
	required := requireRecent
	if f.NewConnection {
		required = requireNew
	}
	conn, err := c.conns.get(ctx, address, required)
	if err != nil {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonPeer,
			fmt.Errorf("%w: %s: %w", port.ErrPeerUnreachable, address, err))
	}
	ctx, cancel := context.WithCancel(withBodySize(ctx, f))
	end := func() {
		cancel()
		conn.release()
	}
	stream, err := peerv1.NewPeerServiceClient(conn.cc).Forward(ctx, forwardToProto(f, c.clock.Now()))
	if err != nil {
		c.conns.dropOnFailure(address, conn, err)
		end()
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonPeer, err)
	}
	response, err := c.receive(stream, end, answer)
	if err != nil {
		c.conns.dropOnFailure(address, conn, err)
		end()
		return nil, forwardError(err)
	}
	conn.recordSuccess(c.clock.Now())
	return response, nil
}

// receive reads the head and up to bufferedBodyBytes of the body. If the body is
// complete by then, receive calls end; otherwise the response's Rest reads the
// remaining body and calls end when it is closed. On an error, the caller must
// call end.
func (c *Client) receive(stream forwardStream, end func(), account *memory.Account) (*port.Response, error) {
	head, err := receiveHead(stream)
	if err != nil {
		return nil, err
	}
	body := &bodyReader{stream: stream, end: end}
	buffered, err := body.readUpTo(bufferedBodyBytes, account)
	if err != nil {
		return nil, err
	}
	response := &port.Response{
		Status: int(head.GetStatus()), Header: headerFromProto(head.GetHeader()), Body: buffered, Release: account.Close,
	}
	// A response that is dropped without Release gives its memory back, too.
	runtime.AddCleanup(response, (*memory.Account).Close, account)
	if !body.complete {
		if err := body.fill(); err != nil && !errors.Is(err, io.EOF) {
			return nil, err
		}
	}
	if body.complete && len(body.buf) == 0 {
		end()
		return response, nil
	}
	response.Rest = body
	return response, nil
}

// forwardError converts an error of a forwarded request to a *verdict.Error. An
// error that the peer reported keeps its verdict; any other is MayHaveRun.
func forwardError(err error) error {
	var failure *verdict.Error
	if errors.As(err, &failure) {
		return failure
	}
	if code := status.Code(err); code == codes.DeadlineExceeded || errors.Is(err, context.DeadlineExceeded) {
		return verdict.NewError(verdict.MayHaveRun, verdict.ReasonDeadline, err)
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonPeer, err)
}
