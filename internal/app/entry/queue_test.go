package entry

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"sassafrasreach/internal/app/workers"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestFreezeBeforeCall lets the clock jump past the deadline while an admitted
// request waits for a worker.
func TestFreezeBeforeCall(t *testing.T) {
	for _, once := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := settled(t)
			owner, _ := w.owner()
			owner.calls.Close()
			owner.calls = workers.New(1)
			worker := make(chan struct{})
			is.NoErr(owner.calls.Submit(w.ctx, func() { <-worker }))
			req := w.request()
			if once {
				req = w.once(owner)
			}
			answer := make(chan port.Answer, 1)
			go func() { answer <- serve(owner, req) }()
			synctest.Wait()
			g := owner.groups.get(groupKey{service, "a"}, owner.admissionConfig)
			is.Equal(g.stats(owner.clock.Now()).Busy, 1)
			w.offset.Add(int64(2 * patience))
			close(worker)
			got := <-answer
			is.Equal(got.Verdict(), verdict.NotRun)
			is.Equal(verdict.ReasonOf(got.Err), verdict.ReasonDeadline)
			is.Equal(w.calls.ran(), 0)
			is.Equal(g.stats(owner.clock.Now()).Busy, 0)
		})
	}
}

// TestFreezeDuringCall lets it jump after the endpoint call has begun.
func TestFreezeDuringCall(t *testing.T) {
	cases := []struct {
		name string
		end  step
		want verdict.Verdict
	}{
		{"answer", answered, verdict.Ran},
		{"connection", connection, verdict.MayHaveRun},
		{"deadline", late, verdict.MayHaveRun},
		{"bad answer", badAnswer, verdict.MayHaveRun},
	}
	for _, c := range cases {
		for _, once := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					w := settled(t)
					owner, other := w.owner()
					thaw := make(chan struct{})
					w.calls.call = func(int, port.Endpoint) port.Answer {
						<-thaw
						return c.end.answer
					}
					req := w.request()
					if once {
						req = w.once(owner)
					}
					answer := make(chan port.Answer, 1)
					go func() { answer <- serve(other, req) }()
					synctest.Wait()
					w.offset.Add(int64(2 * patience))
					close(thaw)
					is.Equal((<-answer).Verdict(), c.want)
					is.Equal(w.calls.ran(), 1)
				})
			})
		}
	}
}
