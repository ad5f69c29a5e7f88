package peergrpc

import (
	"context"
	"errors"
	"io"

	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/port"
)

// Server passes the calls of other entry VMs to a port.PeerHandler.
type Server struct {
	peerv1.UnimplementedPeerServiceServer

	handler port.PeerHandler
	clock   port.Clock
}

// ServerOptions returns the gRPC options that a server needs to match the clients
// of this package: the limits on message sizes, the keepalive times, and a policy
// that permits the clients' pings.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
}

// Register adds the peer service to s.
func Register(s *grpc.Server, handler port.PeerHandler, clock port.Clock) {
	peerv1.RegisterPeerServiceServer(s, &Server{handler: handler, clock: clock})
}

// Heartbeat implements peerv1.PeerServiceServer.
func (s *Server) Heartbeat(_ context.Context, r *peerv1.HeartbeatRequest) (*peerv1.HeartbeatResponse, error) {
	reply := s.handler.HandleHeartbeat(heartbeatFromProto(r))
	return heartbeatToReply(reply), nil
}

// Announce implements peerv1.PeerServiceServer.
func (s *Server) Announce(_ context.Context, r *peerv1.AnnounceRequest) (*peerv1.AnnounceResponse, error) {
	s.handler.HandleAnnounce(announcementsFromProto(r))
	return &peerv1.AnnounceResponse{}, nil
}

// FetchDocument implements peerv1.PeerServiceServer.
func (s *Server) FetchDocument(_ context.Context, r *peerv1.FetchDocumentRequest) (*peerv1.FetchDocumentResponse, error) {
	config := s.handler.HandleFetchDocument(r.GetHaveVersion())
	return &peerv1.FetchDocumentResponse{
		Version:  config.Version,
		Digest:   config.Digest,
		Document: config.Document,
	}, nil
}

// HandOver implements peerv1.PeerServiceServer.
func (s *Server) HandOver(_ context.Context, r *peerv1.HandOverRequest) (*peerv1.HandOverResponse, error) {
	s.handler.HandleHandOver(handOverFromProto(r))
	return &peerv1.HandOverResponse{}, nil
}

// Quarantine implements peerv1.PeerServiceServer.
func (s *Server) Quarantine(_ context.Context, r *peerv1.QuarantineRequest) (*peerv1.QuarantineResponse, error) {
	rows := s.handler.HandleQuarantine(quarantineFromProto(r.GetRows()))
	return &peerv1.QuarantineResponse{Rows: quarantineToProto(rows)}, nil
}

// Borrow implements peerv1.PeerServiceServer.
func (s *Server) Borrow(_ context.Context, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	grant := s.handler.HandleBorrow(loanFromProto(r))
	return &peerv1.BorrowResponse{Units: grant.Units, TermMillis: uint64(grant.Term.Milliseconds())}, nil
}

// Forward implements peerv1.PeerServiceServer. An error of the handler is sent as
// a message with its verdict. An end marker follows the body, so that the client
// can detect a truncated response.
func (s *Server) Forward(r *peerv1.ForwardRequest, stream grpc.ServerStreamingServer[peerv1.ForwardResponse]) error {
	f := forwardFromProto(r, s.clock.Now())
	f.Request.Retain = retainer(stream.Context())
	response, err := s.handler.HandleForward(stream.Context(), f)
	if err != nil {
		return stream.Send(failureToProto(err))
	}
	defer response.Done()
	if response.Rest != nil {
		defer func() { _ = response.Rest.Close() }()
	}
	head := &peerv1.ResponseHead{Status: int32(response.Status), Header: headerToProto(response.Header)}
	if err := stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Head{Head: head}}); err != nil {
		return err
	}
	if err := sendBody(stream, response); err != nil {
		return err
	}
	return stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_End{End: true}})
}

// sendBody sends the buffered body and then the rest, in chunks.
func sendBody(stream grpc.ServerStreamingServer[peerv1.ForwardResponse], response *port.Response) error {
	for buffered := response.Body; len(buffered) > 0; {
		n := min(len(buffered), chunkBytes)
		if err := sendChunk(stream, buffered[:n]); err != nil {
			return err
		}
		buffered = buffered[n:]
	}
	if response.Rest == nil {
		return nil
	}
	chunk := make([]byte, chunkBytes)
	for {
		n, err := response.Rest.Read(chunk)
		if n > 0 {
			if sendErr := sendChunk(stream, chunk[:n]); sendErr != nil {
				return sendErr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func sendChunk(stream grpc.ServerStreamingServer[peerv1.ForwardResponse], chunk []byte) error {
	return stream.Send(&peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Chunk{Chunk: chunk}})
}
