package registergrpc

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	registerv1 "sassafrasreach/api/register/v1"
	"sassafrasreach/internal/core/register"
)

// MaxMessageBytes bounds a message. The largest ones carry a whole value: the
// document, the decisions and the audit trail.
const MaxMessageBytes = 16 << 20

// ServerOptions returns the gRPC options that a server of these services needs:
// the limits on message sizes.
func ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
	}
}

// Member handles the calls of a server. An error means that the member can't
// answer because its disk failed.
type Member interface {
	Prepare(register.Prepare) (register.Promise, error)
	Accept(register.Accept) (register.Accepted, error)
	Learn(register.Learn) error
	Query(register.Query) (register.Report, error)
	Probe(register.Probe) (register.ProbeReply, error)
	Fence(register.Fence) (register.Fenced, error)
	// Reports returns the reports received from entry VMs.
	Reports() []EntryReport
	// Lift ends the quarantine of a fingerprint.
	Lift(operator, fingerprint string)
	// Fetch stores the reports of entry VMs and returns the newest known document.
	Fetch(haveVersion uint64, reports []EntryReport) (FetchAnswer, error)
}

// Server serves RegisterService and ConfigService for a member of one group.
type Server struct {
	registerv1.UnimplementedRegisterServiceServer
	registerv1.UnimplementedConfigServiceServer
	member Member
	group  uint64
}

// NewServer returns a server for a member. It rejects messages of the register
// that carry another group.
func NewServer(member Member, group uint64) *Server { return &Server{member: member, group: group} }

// Register adds both services to a gRPC server.
func (s *Server) Register(to *grpc.Server) {
	registerv1.RegisterRegisterServiceServer(to, s)
	registerv1.RegisterConfigServiceServer(to, s)
}

func (s *Server) checkGroup(group uint64) error {
	if group != s.group {
		return status.Error(codes.FailedPrecondition, ErrOtherGroup.Error())
	}
	return nil
}

// respond runs handle if the message belongs to the server's group, and encodes
// the result.
func respond[A, M any](s *Server, group uint64, handle func() (A, error), encode func(A) M) (M, error) {
	var zero M
	if err := s.checkGroup(group); err != nil {
		return zero, err
	}
	a, err := handle()
	if err != nil {
		return zero, status.Error(codes.Unavailable, err.Error())
	}
	return encode(a), nil
}

// Prepare implements registerv1.RegisterServiceServer.
func (s *Server) Prepare(_ context.Context, m *registerv1.PrepareRequest) (*registerv1.PrepareResponse, error) {
	return respond(s, m.GetGroup(), func() (register.Promise, error) {
		return s.member.Prepare(register.Prepare{
			Ballot: ballotFromProto(m.GetBallot()), Have: ballotFromProto(m.GetHave()),
		})
	}, promiseToProto)
}

// Accept implements registerv1.RegisterServiceServer.
func (s *Server) Accept(_ context.Context, m *registerv1.AcceptRequest) (*registerv1.AcceptResponse, error) {
	return respond(s, m.GetGroup(), func() (register.Accepted, error) {
		return s.member.Accept(register.Accept{
			Ballot: ballotFromProto(m.GetBallot()), Value: valueFromProto(m.GetValue()),
		})
	}, acceptedToProto)
}

// Learn implements registerv1.RegisterServiceServer.
func (s *Server) Learn(_ context.Context, m *registerv1.LearnRequest) (*registerv1.LearnResponse, error) {
	return respond(s, m.GetGroup(), func() (struct{}, error) {
		return struct{}{}, s.member.Learn(register.Learn{Ballot: ballotFromProto(m.GetBallot())})
	}, func(struct{}) *registerv1.LearnResponse { return &registerv1.LearnResponse{} })
}

// Query implements registerv1.RegisterServiceServer.
func (s *Server) Query(_ context.Context, m *registerv1.QueryRequest) (*registerv1.QueryResponse, error) {
	return respond(s, m.GetGroup(), func() (register.Report, error) {
		return s.member.Query(register.Query{Have: ballotFromProto(m.GetHave())})
	}, reportToProto)
}

// Probe implements registerv1.RegisterServiceServer.
func (s *Server) Probe(_ context.Context, m *registerv1.ProbeRequest) (*registerv1.ProbeResponse, error) {
	return respond(s, m.GetGroup(), func() (register.ProbeReply, error) {
		return s.member.Probe(register.Probe{Nonce: m.GetNonce(), Round: m.GetRound()})
	}, probeReplyToProto)
}

// Fence implements registerv1.RegisterServiceServer.
func (s *Server) Fence(_ context.Context, m *registerv1.FenceRequest) (*registerv1.FenceResponse, error) {
	if m.GetMember() >= register.MaxMembers {
		return nil, status.Error(codes.InvalidArgument, "member number is out of range")
	}
	return respond(s, m.GetGroup(), func() (register.Fenced, error) {
		return s.member.Fence(register.Fence{
			Ballot: ballotFromProto(m.GetBallot()), Member: register.MemberID(m.GetMember()),
		})
	}, fencedToProto)
}

// Reports implements registerv1.RegisterServiceServer.
func (s *Server) Reports(context.Context, *registerv1.ReportsRequest) (*registerv1.ReportsResponse, error) {
	out := &registerv1.ReportsResponse{}
	for _, r := range s.member.Reports() {
		out.Reports = append(out.Reports, entryReportToProto(r))
	}
	return out, nil
}

// Lift implements registerv1.RegisterServiceServer.
func (s *Server) Lift(_ context.Context, m *registerv1.LiftRequest) (*registerv1.LiftResponse, error) {
	s.member.Lift(m.GetOperator(), m.GetFingerprint())
	return &registerv1.LiftResponse{}, nil
}

// Fetch implements registerv1.ConfigServiceServer.
func (s *Server) Fetch(_ context.Context, m *registerv1.FetchRequest) (*registerv1.FetchResponse, error) {
	reports := make([]EntryReport, 0, len(m.GetEntries()))
	for _, r := range m.GetEntries() {
		reports = append(reports, entryReportFromProto(r, 0))
	}
	f, err := s.member.Fetch(m.GetHaveVersion(), reports)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &registerv1.FetchResponse{
		Version: f.Config.Version, Digest: f.Config.Digest, Document: f.Config.Document,
		Quorum: f.Quorum, LiftedQuarantines: f.Lifted,
	}, nil
}
