// Package grpcmemory charges the messages that a gRPC server handles to the memory of its
// process.
package grpcmemory

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"sassafrasreach/internal/core/memory"
)

const (
	// freeMessageBytes is the size up to which a message isn't charged: most have some
	// hundred bytes and are handled at once.
	freeMessageBytes = 64 << 10
	// decodedCost is how many times its size a message takes with its decoded form.
	decodedCost = 2
)

// Option makes a server charge the messages of other VMs to a budget while they are
// handled. They are never refused: the system depends on them, and only its own processes
// send them. Those that aren't trusted get less meanwhile.
func Option(budget *memory.Budget) grpc.ServerOption {
	return grpc.ChainUnaryInterceptor(func(ctx context.Context, m any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		message, ok := m.(proto.Message)
		if !ok {
			return handle(ctx, m)
		}
		if size := int64(proto.Size(message)); size > freeMessageBytes {
			account := budget.OpenFor(memory.Messages)
			defer account.Close()
			account.Force(size * decodedCost)
		}
		return handle(ctx, m)
	})
}
