package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// streamBlockBytes is the unit in which a stream holds memory. One block of each
	// stream doesn't count for MaxHeldBytes, so that every stream gets on.
	streamBlockBytes = 16 << 10
	// firstReadBytes is the most of a streamed body that is read before the response is
	// returned. A response that breaks off before is an error, and can be tried again.
	firstReadBytes = readBufferBytes
	// endpointPatience is the time without a read after which an endpoint may close its
	// connection, so that the end of the connection says nothing about the endpoint.
	endpointPatience = time.Second
)

// ErrSlowReader means that the body of a response wasn't read in time, so that the rest of
// it could not be taken from the endpoint.
var ErrSlowReader = errors.New("the response was not read in time")

// streamable reports whether the response may be passed on before it is complete.
func (x *exchange) streamable(in *response) bool {
	return x.req.StreamAfter > 0 && (in.length >= 0 || !x.req.NeedsLength)
}

// startStream returns the response with the part of its body that has been read, or with
// the first bytes that arrive if body is nil.
func (x *exchange) startStream(in *response, body []byte) (*port.Response, error) {
	if body == nil {
		body = make([]byte, firstReadBytes)
		n, err := in.body.Read(body)
		if err != nil {
			return nil, x.fail(verdict.ReasonBadAnswer, errors.Join(err, x.conn.input.err))
		}
		body = body[:n]
	}
	s := &stream{x: x, in: in, left: x.maxBytes() - int64(len(body)), limit: x.caller.opts.StreamBufferBytes}
	s.changed.L = &s.mu
	out := x.newResponse(in, body)
	out.Rest, out.Begin = s, s.begin
	return out, nil
}

// stream is the rest of a body that is read from the endpoint as fast as it is sent, up to
// a number of bytes that its reader hasn't read. One goroutine may read it.
type stream struct {
	x  *exchange
	in *response
	// left is how much of the body may still come within the limit of the request. It is
	// used by pump only.
	left int64
	// limit bounds the bytes that haven't been read.
	limit int64

	mu sync.Mutex
	// changed is signaled when the fields below change.
	changed sync.Cond
	// blocks hold the bytes that haven't been read, the oldest first.
	blocks []*block
	// unread counts these bytes.
	unread int64
	// stalled means that the reader made the endpoint wait for endpointPatience.
	stalled bool
	// closed means that the reader has given up.
	closed bool
	// complete means that the whole body has arrived; err is the *verdict.Error of a
	// failure. That may wrap io.EOF.
	complete bool
	err      error
}

// block is a part of a stream's memory: bytes from read to written haven't been read.
type block struct {
	bytes         []byte
	read, written int
	// charged means that it counts for MaxHeldBytes.
	charged bool
}

// blocks holds blocks for reuse: responses of many streams would else leave garbage faster
// than the collector removes it.
var blocks = sync.Pool{New: func() any { return &block{bytes: make([]byte, streamBlockBytes)} }}

// begin starts to read from the endpoint. ended is called once the endpoint's part is
// complete, with nil, or has failed.
func (s *stream) begin(ended func(error)) {
	stop := context.AfterFunc(s.x.ctx, s.wake)
	go func() {
		defer stop()
		for {
			into := s.awaitRoom()
			if into == nil {
				ended(s.giveUp())
				return
			}
			n, err := s.in.body.Read(into)
			if done, failure := s.arrived(n, err); done {
				ended(failure)
				return
			}
		}
	}()
}

func (s *stream) wake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed.Broadcast()
}

// awaitRoom returns memory for the next bytes. It returns nil if the reader has given up
// or the time of the request has passed before the reader made room.
func (s *stream) awaitRoom() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := time.Time{}
	for {
		if s.closed {
			return nil
		}
		if into := s.room(); into != nil {
			s.stalled = s.stalled || !began.IsZero() && time.Since(began) > endpointPatience
			return into
		}
		if s.x.ctx.Err() != nil {
			s.stalled = true
			return nil
		}
		if began.IsZero() {
			began = time.Now()
		}
		s.changed.Wait()
	}
}

// room returns free memory, or nil if the stream or the process holds as much as it may.
// Must hold mu.
func (s *stream) room() []byte {
	if n := len(s.blocks); n > 0 {
		last := s.blocks[n-1]
		if last.written < len(last.bytes) {
			return last.bytes[last.written:]
		}
	}
	if s.unread >= s.limit {
		return nil
	}
	charged := s.x.account.Fair(s.unread+streamBlockBytes) && s.x.account.Take(streamBlockBytes)
	if !charged && s.unread > 0 {
		return nil
	}
	b := blocks.Get().(*block)
	*b = block{bytes: b.bytes, charged: charged}
	s.blocks = append(s.blocks, b)
	return b.bytes
}

// arrived adds n bytes, which were read into the memory that awaitRoom returned, and
// handles the error of that read. The last bytes are added only once it is certain that
// nothing follows them. It reports whether the endpoint's part has ended.
func (s *stream) arrived(n int, err error) (done bool, failure error) {
	if s.left -= int64(n); s.left < 0 {
		err = fmt.Errorf("%w: more than %d bytes", ErrTooLarge, s.x.maxBytes())
	}
	if errors.Is(err, io.EOF) {
		if trailing := s.x.checkTrailingBytes(); trailing != nil {
			err = trailing
		}
	}
	switch {
	case errors.Is(err, io.EOF):
		s.x.finish(s.in)
		s.add(n, true, nil)
		return true, nil
	case err != nil:
		failure = s.fail(errors.Join(err, s.x.conn.input.err))
		s.add(0, false, failure)
		return true, failure
	default:
		s.add(n, false, nil)
		return false, nil
	}
}

func (s *stream) add(n int, complete bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 {
		s.blocks[len(s.blocks)-1].written += n
		s.unread += int64(n)
	}
	s.complete, s.err = complete, err
	s.changed.Broadcast()
}

// giveUp ends the exchange because its reader made no room for the rest of the body.
func (s *stream) giveUp() error {
	failure := s.fail(ErrSlowReader)
	s.add(0, false, failure)
	return failure
}

// fail ends the exchange without the whole body and returns its error. An endpoint that
// was made to wait is not at fault.
func (s *stream) fail(err error) error {
	s.mu.Lock()
	slow := s.stalled && !s.closed
	s.mu.Unlock()
	if !slow {
		return s.x.fail(verdict.ReasonBadAnswer, err)
	}
	s.x.account.Close()
	s.x.drop(ClientLeft)
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonCanceled, fmt.Errorf("%w: %w", ErrSlowReader, err))
}

// Read implements io.Reader. It waits for the next bytes, and returns io.EOF only after
// the complete body. After a failure it returns that at once, a *verdict.Error.
func (s *stream) Read(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.unread == 0 && !s.complete && s.err == nil && !s.closed {
		s.changed.Wait()
	}
	switch {
	case s.closed:
		return 0, errClosedEarly
	case s.err != nil:
		return 0, s.err
	case s.unread == 0:
		return 0, io.EOF
	}
	n := 0
	for len(s.blocks) > 0 && n < len(p) {
		b := s.blocks[0]
		m := copy(p[n:], b.bytes[b.read:b.written])
		n, b.read = n+m, b.read+m
		if b.read < len(b.bytes) {
			break
		}
		s.blocks = s.blocks[1:]
		if b.charged {
			s.x.account.Return(streamBlockBytes)
		}
		blocks.Put(b)
	}
	s.unread -= int64(n)
	s.changed.Broadcast()
	return n, nil
}

// Failure returns the error that Read returns at once, nil if none is known yet.
func (s *stream) Failure() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Close implements io.Closer. If the endpoint's part isn't complete, its connection is
// closed.
func (s *stream) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if !s.complete && s.err == nil {
		s.x.cancel()
	}
	s.changed.Broadcast()
	return nil
}
