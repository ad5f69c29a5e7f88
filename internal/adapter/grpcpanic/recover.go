// Package grpcpanic keeps a panic in a gRPC handler from ending the process.
//
// net/http recovers panics of its handlers, grpc-go doesn't: one message that a
// handler can't bear would end every VM that it is sent to.
package grpcpanic

import (
	"context"
	"log/slog"
	"runtime/debug"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sassafrasreach/internal/event"
)

// maxLoggedStack bounds the stack in a log record, in bytes.
const maxLoggedStack = 4 << 10

// Options returns the options of a server whose handlers may panic. A call whose
// handler panics fails with the code Internal, and the panic is logged.
func Options(logger *slog.Logger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, m any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (out any, err error) {
			defer failed(ctx, logger, info.FullMethod, &err)
			return next(ctx, m)
		}),
		grpc.ChainStreamInterceptor(func(server any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer failed(s.Context(), logger, info.FullMethod, &err)
			return next(server, s)
		}),
	}
}

// failed turns a panic into the error of the call.
func failed(ctx context.Context, logger *slog.Logger, method string, err *error) {
	cause := recover()
	if cause == nil {
		return
	}
	stack := debug.Stack()
	event.Log(ctx, logger, event.CallPanicked, slog.String("method", method), slog.Any("cause", cause),
		slog.String("stack", string(stack[:min(len(stack), maxLoggedStack)])))
	*err = status.Errorf(codes.Internal, "handler of %s failed", method)
}
