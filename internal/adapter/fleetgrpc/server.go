package fleetgrpc

import (
	"context"
	"errors"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	fleetv1 "sassafrasreach/api/fleet/v1"
	"sassafrasreach/internal/port"
)

// Server passes the calls of FleetService to a port.ControllerService.
type Server struct {
	fleetv1.UnimplementedFleetServiceServer

	service port.ControllerService
	clock   port.Clock
}

// NewServer returns a gRPC server for the service of a controller.
// More options may be given.
func NewServer(service port.ControllerService, clock port.Clock, more ...grpc.ServerOption) *grpc.Server {
	s := grpc.NewServer(append(more,
		grpc.InitialWindowSize(windowBytes), grpc.InitialConnWindowSize(windowBytes),
		grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime: keepaliveTime / 2, PermitWithoutStream: true,
		}),
	)...)
	fleetv1.RegisterFleetServiceServer(s, &Server{service: service, clock: clock})
	return s
}

func (s *Server) codec() codec { return codec{s.clock.Now()} }

// Prepare implements fleetv1.FleetServiceServer.
func (s *Server) Prepare(ctx context.Context, m *fleetv1.PrepareRequest) (*fleetv1.PrepareResponse, error) {
	p, err := s.service.Prepare(ctx, prepareFromProto(m))
	return &fleetv1.PrepareResponse{Refusal: refusalToProto(p.Refusal), Accepted: acceptedToProto(p.Accepted)}, toStatus(err)
}

// Accept implements fleetv1.FleetServiceServer.
func (s *Server) Accept(ctx context.Context, m *fleetv1.AcceptRequest) (*fleetv1.AcceptResponse, error) {
	refusal, err := s.service.Accept(ctx, acceptFromProto(m))
	return &fleetv1.AcceptResponse{Refusal: refusalToProto(refusal)}, toStatus(err)
}

// Learn implements fleetv1.FleetServiceServer.
func (s *Server) Learn(ctx context.Context, m *fleetv1.LearnRequest) (*fleetv1.LearnResponse, error) {
	err := s.service.Learn(ctx, epochFromProto(m.GetEpoch()), acceptedFromProto(m.GetChosen()))
	return &fleetv1.LearnResponse{}, toStatus(err)
}

// Exchange implements fleetv1.FleetServiceServer.
func (s *Server) Exchange(ctx context.Context, m *fleetv1.ExchangeRequest) (*fleetv1.ExchangeResponse, error) {
	reply, err := s.service.Exchange(ctx, s.codec().exchangeFromProto(m))
	return s.codec().exchangeReplyToProto(reply), toStatus(err)
}

// Order implements fleetv1.FleetServiceServer.
func (s *Server) Order(ctx context.Context, m *fleetv1.OrderRequest) (*fleetv1.OrderResponse, error) {
	o, err := orderFromProto(m)
	if err != nil {
		return nil, toStatus(err)
	}
	reply, err := s.service.Order(ctx, o)
	return orderReplyToProto(reply), toStatus(err)
}

// Watch implements fleetv1.FleetServiceServer.
func (s *Server) Watch(ctx context.Context, m *fleetv1.WatchRequest) (*fleetv1.WatchResponse, error) {
	u, err := s.service.Watch(ctx, s.codec().gatewayFromProto(m.GetGateway()), cursorFromProto(m.GetCursor()))
	if err != nil {
		return nil, toStatus(err)
	}
	out, err := s.codec().updateToProto(u)
	return out, toStatus(err)
}

// Acquire implements fleetv1.FleetServiceServer.
func (s *Server) Acquire(ctx context.Context, m *fleetv1.AcquireRequest) (*fleetv1.AcquireResponse, error) {
	a, err := s.service.Acquire(ctx, s.codec().slotRequestFromProto(m))
	return s.codec().decisionToProto(a), toStatus(err)
}

// Release implements fleetv1.FleetServiceServer.
func (s *Server) Release(ctx context.Context, m *fleetv1.ReleaseRequest) (*fleetv1.ReleaseResponse, error) {
	return &fleetv1.ReleaseResponse{}, toStatus(s.service.Release(ctx, convertAll(m.GetReleased(), s.codec().releaseFromProto)))
}

// toStatus converts an error to a gRPC status. The code lets fromStatus restore
// port.ErrNotDispatcher; any other error becomes Unavailable.
func toStatus(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, port.ErrNotDispatcher):
		return status.Error(codes.FailedPrecondition, err.Error())
	default:
		return status.Error(codes.Unavailable, err.Error())
	}
}

// fromStatus restores the error that a status code stands for and adds the
// controller's address.
func fromStatus(err error, address string) error {
	switch status.Code(err) {
	case codes.FailedPrecondition:
		err = fmt.Errorf("%w: %w", port.ErrNotDispatcher, err)
	case codes.DeadlineExceeded:
		err = fmt.Errorf("%w: %w", context.DeadlineExceeded, err)
	case codes.Internal, codes.ResourceExhausted:
		// The message can't be encoded or decoded, is too large, or its handler failed.
		err = fmt.Errorf("%w: %w", port.ErrRejected, err)
	default:
	}
	return fmt.Errorf("controller %s: %w", address, err)
}
