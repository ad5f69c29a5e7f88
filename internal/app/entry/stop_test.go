package entry

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestRollingRestart stops and starts the two entries of a place in turn, each
// right after the other, twice over. Requests through both are all answered,
// and each stop waits for relief no longer than it needs to.
func TestRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := settled(t)
		w.crash("a3")
		time.Sleep(settle)
		var failed atomic.Int64
		load := func(name string) {
			for ; w.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				e := w.entry(name)
				if e != nil && !e.Stopping() && e.version() > 0 && serve(e, w.request()).Err != nil {
					failed.Add(1)
				}
			}
		}
		w.running.Go(func() { load("a1") })
		w.running.Go(func() { load("a2") })
		waits := []time.Duration{0, 1, 1, 1} // for relief; the first has it
		for n, wait := range waits {
			name := []string{"a1", "a2"}[n%2]
			begun := time.Now()
			is.Equal(w.entry(name).Drain(w.ctx), int64(0))
			took := time.Since(begun) - lookupTTL
			is.True(took >= wait*2*time.Second && took <= wait*3*time.Second)
			w.crash(name)
			w.start(name, uint64(2+n))
		}
		time.Sleep(settle)
		is.Equal(failed.Load(), int64(0))
		w.crash("a1")
		begun := time.Now()
		w.entry("a2").Drain(w.ctx) // the other one doesn't come back
		is.True(time.Since(begun) <= lookupTTL+reliefLimit)
		ctx, cancel := context.WithTimeout(w.ctx, lookupTTL)
		defer cancel()
		is.Equal(reliefTime(ctx), lookupTTL/2) // time to drain is left
	})
}
