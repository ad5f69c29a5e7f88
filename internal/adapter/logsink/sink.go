// Package logsink writes log records without ever making their writer wait.
//
// Records go through a bounded buffer that one goroutine empties. When standard
// output is too slow, or more bytes come in a second than the bound, records are
// dropped and counted, and a later record tells how many.
package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// bufferBytes bounds the records that wait for a slow output.
	bufferBytes = 256 << 10
	// flushPeriod gathers records into fewer writes: each costs a system call.
	flushPeriod = 100 * time.Millisecond
	// bytesPerSecond bounds the volume under load: some 150 records.
	bytesPerSecond = 64 << 10
)

// Sink is an io.Writer that never blocks. It is safe for concurrent use.
type Sink struct {
	out     io.Writer
	dropped atomic.Int64

	// mu guards what follows.
	mu      sync.Mutex
	waiting []byte
	budget  int
	filled  time.Time
	now     func() time.Time
	wake    chan struct{}
}

// New returns a sink that writes to out until the process ends.
func New(out io.Writer) *Sink {
	s := &Sink{out: out, budget: bytesPerSecond, now: time.Now, wake: make(chan struct{}, 1)}
	s.filled = s.now()
	go s.run()
	return s
}

// Write implements io.Writer: it takes one record whole or drops it.
func (s *Sink) Write(record []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refill()
	if len(record) > s.budget || len(s.waiting)+len(record) > bufferBytes {
		s.dropped.Add(1)
		return len(record), nil
	}
	s.budget -= len(record)
	s.waiting = append(s.waiting, record...)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(record), nil
}

// refill must hold mu.
func (s *Sink) refill() {
	now := s.now()
	gained := int(now.Sub(s.filled).Seconds() * bytesPerSecond)
	if gained > 0 {
		s.budget = min(s.budget+gained, bytesPerSecond)
		s.filled = now
	}
}

// Dropped returns the number of records dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Flush writes what waits; it may block as long as the output does.
func (s *Sink) Flush() {
	s.mu.Lock()
	batch := s.waiting
	s.waiting = nil
	s.mu.Unlock()
	if len(batch) > 0 {
		// There is nowhere left to tell of an output that fails.
		_, _ = s.out.Write(batch)
	}
}

func (s *Sink) run() {
	for range s.wake {
		time.Sleep(flushPeriod)
		s.Flush()
	}
}
