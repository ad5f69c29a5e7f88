// Package logsink buffers log records and drops those beyond its limits, so that
// logging never blocks.
//
// Records go into a bounded buffer that one goroutine writes to the output. Records
// that don't fit because the output is too slow, or that exceed the rate limit (a
// token bucket of bytes), are dropped and counted. Dropped returns their number, which
// the process logs in a later record.
package logsink

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes limits the records that are buffered for a slow output.
	bufferBytes = 256 << 10
	// flushPeriod delays each write so that it contains several records, because
	// each write costs a system call.
	flushPeriod = 100 * time.Millisecond
	// writeBytes bounds each write, if a record is no longer: a pipe takes more than PIPE_BUF
	// bytes in parts, between which the records of other processes may come.
	writeBytes = 4 << 10
	// bytesPerSecond is the rate and the burst of the token bucket. It limits the
	// volume under load to about 150 records a second.
	bytesPerSecond = 64 << 10
)

// Sink is an io.Writer whose Write never blocks on the output. It is safe for
// concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	// mu guards buffer, tokens and refilledAt.
	mu         sync.Mutex
	buffer     []byte
	tokens     int
	refilledAt time.Time
	now        func() time.Time
	wake       chan struct{}
}

// New returns a Sink that writes to out. Its goroutine runs until the process ends.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, tokens: bytesPerSecond, now: time.Now, wake: make(chan struct{}, 1)}
	s.refilledAt = s.now()
	go s.run()
	return s
}

// Write implements io.Writer. It buffers one record completely or drops it; it never
// returns an error.
func (s *Sink) Write(record []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	if len(record) > s.tokens || len(s.buffer)+len(record) > bufferBytes {
		s.dropped.Add(1)
		return len(record), nil
	}
	s.tokens -= len(record)
	s.buffer = append(s.buffer, record...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(record), nil
}

// refill adds the tokens for the time since the last refill. The caller must hold mu.
func (s *Sink) refill() {
	now := s.now()
	added := int(now.Sub(s.refilledAt).Seconds() * bytesPerSecond)
	if added > 0 {
		s.tokens = min(s.tokens+added, bytesPerSecond)
		s.refilledAt = now
	}
}

// Dropped returns the number of records dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Flush writes the buffered records. It blocks for as long as the output does.
func (s *Sink) Flush() {
	s.mu.Lock()
	batch := s.buffer
	s.buffer = nil
	s.mu.Unlock()
	for len(batch) > 0 {
		n := wholeRecords(batch)
		// A failure of the log output itself can't be logged.
		_, _ = s.out.Write(batch[:n])
		batch = batch[n:]
	}
}

// wholeRecords returns the size of the records at the beginning of a batch that fit into one
// write, of the first one at least. Each record ends with its only line feed.
func wholeRecords(batch []byte) int {
	if len(batch) <= writeBytes {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:writeBytes], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(flushPeriod)
		s.Flush()
	}
}
