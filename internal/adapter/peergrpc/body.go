package peergrpc

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
)

const (
	// bufferedBodyBytes bounds the part of a response body that is buffered before
	// the rest is streamed.
	bufferedBodyBytes = 1 << 20
	// chunkBytes bounds the part of a body that one message carries. The message, with its
	// framing, fits into pooledBytes.
	chunkBytes = pooledBytes - 256
)

// errUnexpectedPart means that the peer sent a message part out of order.
var errUnexpectedPart = errors.New("unexpected message part in a forwarded response")

// forwardStream is the receiving side of a Forward call.
type forwardStream interface {
	Recv() (*peerv1.ForwardResponse, error)
}

// receiveHead returns the status and header of the response. A failure that the
// peer reports is returned as a *verdict.Error.
func receiveHead(stream forwardStream) (*peerv1.ResponseHead, error) {
	message, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	if failure := message.GetFailure(); failure != nil {
		return nil, failureFromProto(failure)
	}
	head := message.GetHead()
	if head == nil {
		return nil, errUnexpectedPart
	}
	return head, nil
}

// bodyReader reads the chunks of a response body up to the end marker. A stream
// that ends without the marker is truncated and gives io.ErrUnexpectedEOF.
type bodyReader struct {
	stream   forwardStream
	end      func()
	buf      []byte
	complete bool
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	for len(b.buf) == 0 {
		if err := b.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, b.buf)
	b.buf = b.buf[n:]
	return n, nil
}

// fill receives the next chunk; io.EOF means that the response is complete.
func (b *bodyReader) fill() error {
	if b.complete {
		return io.EOF
	}
	message, err := b.stream.Recv()
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch part := message.GetPart().(type) {
	case *peerv1.ForwardResponse_Chunk:
		b.buf = part.Chunk
		return nil
	case *peerv1.ForwardResponse_End:
		b.complete = true
		return io.EOF
	case *peerv1.ForwardResponse_Failure:
		return failureFromProto(part.Failure)
	default:
		return errUnexpectedPart
	}
}

// readUpTo reads the body up to limit bytes. They are charged to an account, which holds
// chunkBytes already for what gRPC receives ahead. That is raised to the window of the stream
// once more than a chunk arrives, and returned once the body is complete.
func (b *bodyReader) readUpTo(limit int, account *memory.Account) ([]byte, error) {
	var chunks [][]byte
	size, ahead := 0, int64(chunkBytes)
	for size < limit {
		if err := b.fill(); errors.Is(err, io.EOF) {
			break
		} else if err != nil {
			return nil, err
		}
		chunk := b.buf[:min(len(b.buf), limit-size)]
		more := int64(len(chunk))
		if len(chunk) >= chunkBytes && ahead < streamWindowBytes {
			more += streamWindowBytes - ahead
			ahead = streamWindowBytes
		}
		if !account.Take(more) {
			return nil, noAnswerMemory()
		}
		chunks, size, b.buf = append(chunks, chunk), size+len(chunk), b.buf[len(chunk):]
	}
	if b.complete {
		account.Return(ahead)
	}
	if len(chunks) <= 1 {
		return slices.Concat(chunks...), nil
	}
	if !account.Take(int64(size)) {
		return nil, noAnswerMemory()
	}
	defer account.Return(int64(size)) // the chunks
	return slices.Concat(chunks...), nil
}

// Close implements io.Closer. It cancels the call.
func (b *bodyReader) Close() error {
	b.end()
	return nil
}

// failureFromProto converts a failure that the peer reported. An unknown verdict
// becomes MayHaveRun.
func failureFromProto(f *peerv1.Failure) *verdict.Error {
	v, err := verdict.Parse(f.GetVerdict())
	if err != nil {
		v = verdict.MayHaveRun
	}
	return verdict.NewError(v, verdict.Reason(f.GetReason()), fmt.Errorf("peer: %s", f.GetMessage()))
}

func failureToProto(err error) *peerv1.ForwardResponse {
	return &peerv1.ForwardResponse{Part: &peerv1.ForwardResponse_Failure{Failure: &peerv1.Failure{
		Verdict: verdict.Of(err).String(),
		Reason:  string(verdict.ReasonOf(err)),
		// Errors of parsers quote what they could not read.
		Message: strings.ToValidUTF8(err.Error(), "\uFFFD"),
	}}}
}
