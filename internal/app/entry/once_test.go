package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestOnceOnly guards against running a once-only request twice, and against
// reporting NotRun for one that may have run. Each case drives keys through one
// scenario and returns the number of endpoint calls that it permits.
func TestOnceOnly(t *testing.T) {
	cases := []struct {
		name string
		run  func(is *is.I, tc *testCluster) int
	}{
		{"parallel resends run once", runParallelResends},
		{"NotRun is final for its key only", runNotRun},
		{"unreachable coordinator", runUnreachable},
		{"planned stop", runPlannedStop},
		{"restarted coordinator", runRestart},
		{"past deadline", runPastDeadline},
		{"past the retention", runPastRetention},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tc := startTestCluster(t)
				want := c.run(is, tc)
				is.Equal(tc.calls.ran(), want)
			})
		})
	}
}

func runParallelResends(is *is.I, tc *testCluster) int {
	tc.calls.call = func(int, port.Endpoint) port.Answer {
		time.Sleep(100 * time.Millisecond)
		return port.Answer{}
	}
	const each = 10
	req := tc.once(tc.entry("a2"))
	answers := make(chan port.Answer, 3*each)
	var resends sync.WaitGroup
	for _, name := range []string{"a1", "a2", "a3"} {
		for range each {
			resends.Go(func() { answers <- serve(tc.entry(name), req) })
		}
	}
	resends.Wait()
	close(answers)
	for answer := range answers {
		is.NoErr(answer.Err)
		is.Equal(string(answer.Response.Body), "run 1")
	}
	return 1
}

func runNotRun(is *is.I, tc *testCluster) int {
	tc.calls.call = func(n int, _ port.Endpoint) port.Answer {
		if n <= 2 {
			return failure(verdict.NotRun, verdict.ReasonShed, errTest)
		}
		return port.Answer{}
	}
	req := tc.once(tc.entry("a1"))
	is.Equal(serve(tc.entry("a1"), req).Verdict(), verdict.NotRun)
	is.Equal(tc.calls.ran(), 2)
	for _, name := range []string{"a1", "a2", "b1"} {
		is.Equal(tc.resend(tc.entry(name), req).Verdict(), verdict.NotRun)
	}
	is.Equal(tc.calls.ran(), 2)
	is.NoErr(serve(tc.entry("a2"), tc.once(tc.entry("a1"))).Err)
	return 3
}

func runUnreachable(is *is.I, tc *testCluster) int {
	coordinator := tc.entry("a1")
	used, fresh := tc.once(coordinator), tc.once(coordinator)
	is.NoErr(serve(coordinator, used).Err)
	tc.disconnect("a1")
	for range 2 { // while the coordinator still counts as live, then after it is presumed gone
		for _, req := range []*port.Request{used, fresh} {
			for _, name := range []string{"a2", "a3", "b1"} {
				is.Equal(tc.resend(tc.entry(name), req).Verdict(), verdict.MayHaveRun)
			}
		}
		time.Sleep(settleTime)
	}
	return 1
}

func runPlannedStop(is *is.I, tc *testCluster) int {
	coordinator := tc.entry("a1")
	used, fresh := tc.once(coordinator), tc.once(coordinator)
	is.NoErr(serve(tc.entry("a2"), used).Err)
	is.Equal(coordinator.Drain(tc.ctx), int64(0))
	is.Equal(tc.resend(coordinator, fresh).Verdict(), verdict.NotRun)
	tc.crash("a1")
	expect := func(names ...string) {
		for _, name := range names {
			answer := tc.resend(tc.entry(name), used)
			is.NoErr(answer.Err)
			is.Equal(string(answer.Response.Body), "run 1")
			is.Equal(tc.resend(tc.entry(name), fresh).Verdict(), verdict.NotRun)
		}
	}
	expect("a2", "a3", "b1")
	time.Sleep(settleTime)
	tc.start("a1", 2)
	time.Sleep(settleTime)
	expect("a1", "a2", "a3", "b1")
	return 1
}

func runRestart(is *is.I, tc *testCluster) int {
	coordinator := tc.entry("a1")
	used, fresh := tc.once(coordinator), tc.once(coordinator)
	is.NoErr(serve(coordinator, used).Err)
	tc.crash("a1")
	tc.start("a1", 2)
	time.Sleep(settleTime)
	for _, req := range []*port.Request{used, fresh} {
		for name := range placeOf {
			is.Equal(tc.resend(tc.entry(name), req).Verdict(), verdict.MayHaveRun)
		}
	}
	is.NoErr(serve(tc.entry("a2"), tc.once(tc.entry("a1"))).Err)
	return 2
}

func runPastDeadline(is *is.I, tc *testCluster) int {
	coordinator := tc.entry("a1")
	used, fresh := tc.once(coordinator), tc.once(coordinator)
	is.NoErr(serve(coordinator, used).Err)
	time.Sleep(2 * requestTimeout)
	stored := serve(coordinator, used)
	is.NoErr(stored.Err)
	is.Equal(string(stored.Response.Body), "run 1")
	is.Equal(serve(coordinator, fresh).Verdict(), verdict.NotRun)
	is.Equal(tc.resend(tc.entry("a2"), fresh).Verdict(), verdict.NotRun)
	return 1
}

func runPastRetention(is *is.I, tc *testCluster) int {
	coordinator := tc.entry("a1")
	used, fresh := tc.once(coordinator), tc.once(coordinator)
	is.NoErr(serve(coordinator, used).Err)
	time.Sleep(claimRetention)
	for name := range placeOf {
		for _, req := range []*port.Request{used, fresh} {
			answer := tc.resend(tc.entry(name), req)
			is.Equal(answer.Verdict(), verdict.MayHaveRun)
			is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonKeyExpired)
		}
	}
	return 1
}

// TestForwardDeliveredTwice guards against starting an attempt again that the
// transport delivers more than once, at the same time or later.
func TestForwardDeliveredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		tc.calls.call = func(int, port.Endpoint) port.Answer {
			time.Sleep(50 * time.Millisecond)
			return port.Answer{}
		}
		owner, _ := tc.owner()
		forward := newOwnerForward(tc.request(), groupKey{service, "a"}, false)
		verdicts := make(map[verdict.Verdict]int)
		deliver := func() verdict.Verdict {
			_, err := owner.HandleForward(context.Background(), forward)
			return verdict.Of(err)
		}
		both := make(chan verdict.Verdict, 2)
		for range 2 {
			go func() { both <- deliver() }()
		}
		verdicts[<-both]++
		verdicts[<-both]++
		verdicts[deliver()]++
		is.Equal(verdicts, map[verdict.Verdict]int{verdict.Ran: 1, verdict.MayHaveRun: 2})
		is.Equal(tc.calls.ran(), 1)
	})
}

// TestAbandonedBody guards against the body of a once-only request that nobody counts: its
// caller has left, and the attempt goes on.
func TestAbandonedBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		tc.calls.call = func(int, port.Endpoint) port.Answer {
			time.Sleep(time.Second)
			return port.Answer{}
		}
		e := tc.entry("a1")
		req := tc.once(e)
		var held atomic.Int32
		req.Retain = func() func() {
			held.Add(1)
			return func() { held.Add(-1) }
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
		defer cancel()
		_, err := e.Serve(ctx, req)
		is.Equal(verdict.Of(err), verdict.MayHaveRun)
		is.Equal(held.Load(), int32(1))
		time.Sleep(1500 * time.Millisecond)
		is.Equal(held.Load(), int32(0))
	})
}

// TestReadWhole guards against an answer that is taken for complete though it was truncated
// or didn't fit into the memory, and against memory that isn't given back.
func TestReadWhole(t *testing.T) {
	const size = 200_000
	for _, c := range []struct {
		name   string
		end    error
		budget int64
		reason verdict.Reason
	}{
		{"complete", io.EOF, 4 * size, ""},
		{"truncated", io.ErrUnexpectedEOF, 4 * size, verdict.ReasonBadAnswer},
		{"broken", fmt.Errorf("broken: %w", io.EOF), 4 * size, verdict.ReasonBadAnswer},
		{"no memory", io.EOF, size / 2, verdict.ReasonMemory},
		{"no memory for the whole", io.EOF, size * 3 / 2, verdict.ReasonMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			budget := memory.NewBudget(c.budget)
			e := &Entry{memory: budget}
			rest := io.NopCloser(io.MultiReader(iotest.OneByteReader(bytes.NewReader(make([]byte, size))), iotest.ErrReader(c.end)))
			response, err := e.readFully(&port.Response{Body: []byte("begin"), Rest: rest}, nil)
			if c.reason != "" {
				is.Equal(verdict.Of(err), verdict.MayHaveRun)
				is.Equal(verdict.ReasonOf(err), c.reason)
				is.Equal(budget.Held(), int64(0))
				return
			}
			is.NoErr(err)
			is.Equal(len(response.Body), len("begin")+size)
			is.Equal(budget.Held(), int64(len(response.Body)))
			response.Done()
			is.Equal(budget.Held(), int64(0))
		})
	}
}
