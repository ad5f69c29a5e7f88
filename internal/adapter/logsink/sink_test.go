package logsink

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalled is an output that blocks until release is closed.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledOutput guards against callers that block because nobody reads the log
// output. Records that don't fit must be counted as dropped.
func TestStalledOutput(t *testing.T) {
	is := is.New(t)
	out := stalled{release: make(chan struct{})}
	defer close(out.release)
	s := New(out)
	record := bytes.Repeat([]byte("x"), 1000)
	began := time.Now()
	const records = 2000
	for range records {
		_, err := s.Write(record)
		is.NoErr(err)
	}
	is.True(time.Since(began) < time.Second)
	is.True(s.Dropped() > records-bufferBytes/1000-2*bytesPerSecond/1000)
	is.Equal(s.Dropped(), int64(0))
}

// TestRateLimit guards against more output than bytesPerSecond, and against
// records that are still dropped a second later.
func TestRateLimit(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var out bytes.Buffer
	s := &Sink{out: &out, tokens: bytesPerSecond, refilledAt: now, now: func() time.Time { return now }, wake: make(chan struct{}, 1)}
	record := bytes.Repeat([]byte("x"), 1000)
	for range 500 {
		_, _ = s.Write(record)
	}
	s.Flush()
	is.True(out.Len() <= bytesPerSecond)
	is.Equal(s.Dropped(), int64(500-bytesPerSecond/1000))
	now = now.Add(time.Second)
	_, _ = s.Write(record)
	s.Flush()
	is.Equal(s.Dropped(), int64(0))
}

// writes records the sizes of writes and whether each ended with a record.
type writes struct {
	sizes []int
	torn  int
}

func (w *writes) Write(p []byte) (int, error) {
	w.sizes = append(w.sizes, len(p))
	if p[len(p)-1] != '\n' {
		w.torn++
	}
	return len(p), nil
}

// TestRecordsOfSeveralProcesses guards against writes that a pipe takes in parts, so that
// records of other processes come between.
func TestRecordsOfSeveralProcesses(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var out writes
	s := &Sink{out: &out, tokens: bytesPerSecond, refilledAt: now, now: func() time.Time { return now }, wake: make(chan struct{}, 1)}
	total := 0
	for i := range 40 {
		n, _ := s.Write(append(bytes.Repeat([]byte("x"), 37*i), '\n'))
		total += n
	}
	longest, _ := s.Write(append(bytes.Repeat([]byte("x"), 2*writeBytes), '\n'))
	_, _ = s.Write([]byte("x\n"))
	s.Flush()
	is.Equal(out.torn, 0)
	sum := 0
	for _, n := range out.sizes {
		is.True(n <= writeBytes || n == longest)
		sum += n
	}
	is.Equal(sum, total+longest+2)
}
