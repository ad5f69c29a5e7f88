package peergrpc

import (
	"errors"
	"fmt"
	"io"

	peerv1 "sassafrasreach/api/peer/v1"
	"sassafrasreach/internal/core/verdict"
)

const (
	// holdBytes is the part of a body that is held before it is passed on.
	holdBytes = 1 << 20
	// chunkBytes is the size of one message of a body.
	chunkBytes = 64 << 10
)

// errUnexpectedPart means that a stream broke the protocol.
var errUnexpectedPart = errors.New("unexpected part of a forwarded answer")

// forwardStream is the receiving side of Forward.
type forwardStream interface {
	Recv() (*peerv1.ForwardResponse, error)
}

// receiveHead returns the head of the answer, or the peer's failure.
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

// bodyReader reads the chunks of an answer up to its end mark. A stream that
// ends without the mark is truncated.
type bodyReader struct {
	stream forwardStream
	end    func()
	buf    []byte
	ended  bool
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

// fill receives the next chunk; io.EOF means that the answer is whole.
func (b *bodyReader) fill() error {
	if b.ended {
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
		b.ended = true
		return io.EOF
	case *peerv1.ForwardResponse_Failure:
		return failureFromProto(part.Failure)
	default:
		return errUnexpectedPart
	}
}

// Close implements io.Closer.
func (b *bodyReader) Close() error {
	b.end()
	return nil
}

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
		Message: err.Error(),
	}}}
}
