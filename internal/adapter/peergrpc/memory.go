package peergrpc

import (
	"context"
	"errors"
	"strconv"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// bodyBytesKey and hopKey are the metadata of a forwarded request that let its receiver
	// decide whether it has room for the message before it reads it. Former releases send
	// neither.
	bodyBytesKey = "sassafrasreach-body-bytes"
	hopKey       = "sassafrasreach-hop"
	// pooledBytes and nextPooledBytes are sizes of the buffers that gRPC keeps for encoded
	// messages: one that is larger than the first takes the second, and one beyond that its
	// size.
	pooledBytes, nextPooledBytes = 32 << 10, 1 << 20
)

// bufferBytes returns the size of the buffer for an encoded message with a body.
func bufferBytes(body int64) int64 {
	if body <= chunkBytes {
		return body
	}
	return max(body, nextPooledBytes)
}

var (
	errNoMemory       = errors.New("no memory is left for the body of the request")
	errNoAnswerMemory = errors.New("no memory is left for the answer")
)

// noMemory is the failure of a request that isn't forwarded, or isn't received. At the
// coordinator only the claims know whether an earlier attempt of the key ran.
func noMemory(hop port.Hop) error {
	v := verdict.NotRun
	if hop == port.HopCoordinator {
		v = verdict.MayHaveRun
	}
	return verdict.NewError(v, verdict.ReasonMemory, errNoMemory)
}

// noAnswerMemory is the failure of a request whose answer can't be received. It has run, but
// the answer may be that of a failure.
func noAnswerMemory() error {
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonMemory, errNoAnswerMemory)
}

// withBodySize adds the metadata of a forwarded request to a context.
func withBodySize(ctx context.Context, f port.Forward) context.Context {
	size := f.Request.BodyBytes()
	if size == 0 {
		return ctx
	}
	return metadata.AppendToOutgoingContext(ctx, bodyBytesKey, strconv.FormatInt(size, 10), hopKey, strconv.Itoa(int(f.Hop)))
}

// bodySize returns the metadata of a request that is received, zeros if there are none.
func bodySize(ctx context.Context) (size int64, hop port.Hop) {
	parse := func(key string) int64 {
		values := metadata.ValueFromIncomingContext(ctx, key)
		if len(values) != 1 {
			return 0
		}
		n, err := strconv.ParseInt(values[0], 10, 64)
		if err != nil {
			return 0
		}
		return n
	}
	return parse(bodyBytesKey), port.Hop(parse(hopKey))
}

// MemoryOptions make a server charge the bodies of forwarded requests to a budget, before it
// reads them, and refuse those for which there is no room. What it receives before it is read
// is bounded.
func MemoryOptions(budget *memory.Budget) []grpc.ServerOption {
	charge := grpc.ChainStreamInterceptor(func(server any, s grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
		size, hop := bodySize(s.Context())
		if size <= 0 {
			return next(server, s)
		}
		account := budget.OpenFor(memory.Bodies)
		defer account.Close()
		if size > maxMessageBytes || !account.Take(size+bufferBytes(size)) {
			return s.SendMsg(failureToProto(noMemory(hop)))
		}
		return next(server, &chargedStream{ServerStream: s, account: account, size: size})
	})
	return []grpc.ServerOption{charge, grpc.StaticStreamWindowSize(streamWindowBytes)}
}

type accountKey struct{}

// chargedStream is the stream of a request whose body is charged to an account.
type chargedStream struct {
	grpc.ServerStream
	account *memory.Account
	size    int64
}

// Context implements grpc.ServerStream.
func (s *chargedStream) Context() context.Context {
	return context.WithValue(s.ServerStream.Context(), accountKey{}, s.account)
}

// RecvMsg implements grpc.ServerStream. Only the decoded message is left after it.
func (s *chargedStream) RecvMsg(m any) error {
	err := s.ServerStream.RecvMsg(m)
	s.account.Return(bufferBytes(s.size))
	return err
}

// retainer returns the Retain of a received request, nil if its body isn't charged.
func retainer(ctx context.Context) func() (release func()) {
	account, ok := ctx.Value(accountKey{}).(*memory.Account)
	if !ok {
		return nil
	}
	return func() func() {
		account.Retain()
		return account.Close
	}
}
