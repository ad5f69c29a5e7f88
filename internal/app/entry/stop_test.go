package entry

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestRollingRestart restarts the two entries of a place in turn, each right
// after the other, twice over. It guards against failed requests when the entry
// that remains may not own groups yet, and against a stop that waits for a
// successor longer than necessary.
func TestRollingRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		tc.crash("a3")
		time.Sleep(settleTime)
		var failed atomic.Int64
		load := func(name string) {
			for ; tc.ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
				e := tc.entry(name)
				if e != nil && !e.Stopping() && e.version() > 0 && serve(e, tc.request()).Err != nil {
					failed.Add(1)
				}
			}
		}
		tc.running.Go(func() { load("a1") })
		tc.running.Go(func() { load("a2") })
		waits := []time.Duration{0, 1, 1, 1} // 1 if the stop waits for a successor; the first stop has one already
		for n, wait := range waits {
			name := []string{"a1", "a2"}[n%2]
			begun := time.Now()
			is.Equal(tc.entry(name).Drain(tc.ctx), int64(0))
			took := time.Since(begun) - lookupTTL
			is.True(took >= wait*2*time.Second && took <= wait*3*time.Second)
			tc.crash(name)
			tc.start(name, uint64(2+n))
		}
		time.Sleep(settleTime)
		is.Equal(failed.Load(), int64(0))
		tc.crash("a1")
		begun := time.Now()
		tc.entry("a2").Drain(tc.ctx) // the other entry doesn't come back
		is.True(time.Since(begun) <= lookupTTL+successorWaitLimit)
		ctx, cancel := context.WithTimeout(tc.ctx, lookupTTL)
		defer cancel()
		is.Equal(successorWait(ctx), lookupTTL/2) // leaves time to drain
	})
}

// TestStopEndsWhatItTakes guards against a planned stop that takes requests for as
// long as it lasts and cuts them off at its end. Late in the stop only a request that
// can't outlast it is taken; a key that is refused has not run and never will.
func TestStopEndsWhatItTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		time.Sleep(settleTime)
		e := tc.entry("a1")
		ctx, cancel := context.WithTimeout(tc.ctx, 10*time.Second)
		defer cancel()
		is.Equal(e.Drain(ctx), int64(0))
		long := tc.request()
		long.Deadline = time.Now().Add(time.Minute)
		is.Equal(verdict.ReasonOf(serve(e, long).Err), verdict.ReasonStopping)
		is.Equal(verdict.Of(serve(e, long).Err), verdict.NotRun)
		short := tc.request()
		short.Deadline = time.Now().Add(time.Second)
		is.NoErr(serve(e, short).Err)
	})
}

// TestStopAwaitsRequestsDuringHandOver guards against a planned stop that cuts off a request
// that began while the claims were handed over, long before the end of the stop's time.
func TestStopAwaitsRequestsDuringHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		time.Sleep(settleTime)
		e := tc.entry("a1")
		tc.calls.dial = time.Second // of each request
		answer := make(chan port.Answer, 1)
		tc.handOver = sync.OnceFunc(func() {
			tc.running.Go(func() { answer <- serve(e, tc.request()) })
			time.Sleep(100 * time.Millisecond)
		})
		ctx, cancel := context.WithTimeout(tc.ctx, time.Minute)
		defer cancel()
		is.Equal(e.Drain(ctx), int64(0)) // else the process closes the connections
		is.NoErr((<-answer).Err)
	})
}

// TestStopAwaitsForwardedAnswer guards against a planned stop that cuts off an answer which
// another entry still receives for its caller.
func TestStopAwaitsForwardedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		time.Sleep(settleTime)
		owner, other := tc.owner()
		body, end := io.Pipe()
		tc.calls.call = func(int, port.Endpoint) port.Answer {
			return port.Answer{Response: &port.Response{Status: 200, Rest: body}}
		}
		answer := serve(other, tc.request())
		is.NoErr(answer.Err)
		drained := make(chan int64, 1)
		tc.running.Go(func() {
			ctx, cancel := context.WithTimeout(tc.ctx, time.Minute)
			defer cancel()
			drained <- owner.Drain(ctx)
		})
		time.Sleep(20 * time.Second)
		is.Equal(len(drained), 0) // the answer isn't complete
		tc.running.Go(func() { _ = end.Close() })
		_, err := io.ReadAll(answer.Response.Rest)
		is.NoErr(err)
		is.NoErr(answer.Response.Rest.Close())
		is.Equal(<-drained, int64(0))
	})
}
