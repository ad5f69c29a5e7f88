package entry

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"sassafrasreach/internal/app/workers"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestClockJumpBeforeCall moves the clock past the deadline while an admitted
// request waits for a worker, as after a pause of the process. It guards
// against sending a request that its caller no longer waits for.
func TestClockJumpBeforeCall(t *testing.T) {
	for _, once := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			tc := startTestCluster(t)
			owner, _ := tc.owner()
			owner.calls.Close()
			owner.calls = workers.New(1)
			worker := make(chan struct{})
			is.NoErr(owner.calls.Submit(tc.ctx, func() { <-worker }))
			req := tc.request()
			if once {
				req = tc.once(owner)
			}
			answer := make(chan port.Answer, 1)
			go func() { answer <- serve(owner, req) }()
			synctest.Wait()
			g := owner.groups.get(groupKey{service, "a"}, owner.admissionConfig)
			is.Equal(g.stats(owner.clock.Now()).Busy, 1)
			tc.clockOffset.Add(int64(2 * requestTimeout))
			close(worker)
			got := <-answer
			is.Equal(got.Verdict(), verdict.NotRun)
			is.Equal(verdict.ReasonOf(got.Err), verdict.ReasonDeadline)
			is.Equal(tc.calls.ran(), 0)
			is.Equal(g.stats(owner.clock.Now()).Busy, 0)
		})
	}
}

// TestClockJumpDuringCall moves the clock past the deadline after the endpoint
// call has begun. It guards against reporting NotRun for a request that may
// have run.
func TestClockJumpDuringCall(t *testing.T) {
	cases := []struct {
		name string
		end  step
		want verdict.Verdict
	}{
		{"answer", answered, verdict.Ran},
		{"connection", connectionLost, verdict.MayHaveRun},
		{"deadline", timedOut, verdict.MayHaveRun},
		{"bad answer", badAnswer, verdict.MayHaveRun},
	}
	for _, c := range cases {
		for _, once := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tc := startTestCluster(t)
					owner, other := tc.owner()
					resume := make(chan struct{})
					tc.calls.call = func(int, port.Endpoint) port.Answer {
						<-resume
						return c.end.answer
					}
					req := tc.request()
					if once {
						req = tc.once(owner)
					}
					answer := make(chan port.Answer, 1)
					go func() { answer <- serve(other, req) }()
					synctest.Wait()
					tc.clockOffset.Add(int64(2 * requestTimeout))
					close(resume)
					is.Equal((<-answer).Verdict(), c.want)
					is.Equal(tc.calls.ran(), 1)
				})
			})
		}
	}
}
