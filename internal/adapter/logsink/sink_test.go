package logsink

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalled is an output whose reader has stopped.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledOutput writes on while nobody reads: no write waits, and what
// doesn't fit is counted.
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

// TestBoundedVolume takes no more than the bound in a second, and goes on after.
func TestBoundedVolume(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	var out bytes.Buffer
	s := &Sink{out: &out, budget: bytesPerSecond, filled: now, now: func() time.Time { return now }, wake: make(chan struct{}, 1)}
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
