package entry

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// TestOnceOnly plays the lives of keys. Each case returns the number of
// endpoint calls that it permits.
func TestOnceOnly(t *testing.T) {
	cases := []struct {
		name string
		play func(is *is.I, w *world) int
	}{
		{"parallel resends run once", playParallel},
		{"NotRun is final for its key only", playNotRun},
		{"unreachable home", playUnreachable},
		{"planned stop", playPlannedStop},
		{"restarted home", playRestart},
		{"past deadline", playPastDeadline},
		{"past the retention", playPastRetention},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := settled(t)
				want := c.play(is, w)
				is.Equal(w.calls.ran(), want)
			})
		})
	}
}

func playParallel(is *is.I, w *world) int {
	w.calls.call = func(int, port.Endpoint) port.Answer {
		time.Sleep(100 * time.Millisecond)
		return port.Answer{}
	}
	const each = 10
	req := w.once(w.entry("a2"))
	answers := make(chan port.Answer, 3*each)
	var resends sync.WaitGroup
	for _, name := range []string{"a1", "a2", "a3"} {
		for range each {
			resends.Go(func() { answers <- serve(w.entry(name), req) })
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

func playNotRun(is *is.I, w *world) int {
	w.calls.call = func(n int, _ port.Endpoint) port.Answer {
		if n <= 2 {
			return failure(verdict.NotRun, verdict.ReasonShed, errTest)
		}
		return port.Answer{}
	}
	req := w.once(w.entry("a1"))
	is.Equal(serve(w.entry("a1"), req).Verdict(), verdict.NotRun)
	is.Equal(w.calls.ran(), 2)
	for _, name := range []string{"a1", "a2", "b1"} {
		is.Equal(w.resend(w.entry(name), req).Verdict(), verdict.NotRun)
	}
	is.Equal(w.calls.ran(), 2)
	is.NoErr(serve(w.entry("a2"), w.once(w.entry("a1"))).Err)
	return 3
}

func playUnreachable(is *is.I, w *world) int {
	home := w.entry("a1")
	used, fresh := w.once(home), w.once(home)
	is.NoErr(serve(home, used).Err)
	w.unplug("a1")
	for range 2 { // while the home counts as live, and then as gone
		for _, req := range []*port.Request{used, fresh} {
			for _, name := range []string{"a2", "a3", "b1"} {
				is.Equal(w.resend(w.entry(name), req).Verdict(), verdict.MayHaveRun)
			}
		}
		time.Sleep(settle)
	}
	return 1
}

func playPlannedStop(is *is.I, w *world) int {
	home := w.entry("a1")
	used, fresh := w.once(home), w.once(home)
	is.NoErr(serve(w.entry("a2"), used).Err)
	is.Equal(home.Drain(w.ctx), int64(0))
	is.Equal(w.resend(home, fresh).Verdict(), verdict.NotRun)
	w.crash("a1")
	expect := func(names ...string) {
		for _, name := range names {
			answer := w.resend(w.entry(name), used)
			is.NoErr(answer.Err)
			is.Equal(string(answer.Response.Body), "run 1")
			is.Equal(w.resend(w.entry(name), fresh).Verdict(), verdict.NotRun)
		}
	}
	expect("a2", "a3", "b1")
	time.Sleep(settle)
	w.start("a1", 2)
	time.Sleep(settle)
	expect("a1", "a2", "a3", "b1")
	return 1
}

func playRestart(is *is.I, w *world) int {
	home := w.entry("a1")
	used, fresh := w.once(home), w.once(home)
	is.NoErr(serve(home, used).Err)
	w.crash("a1")
	w.start("a1", 2)
	time.Sleep(settle)
	for _, req := range []*port.Request{used, fresh} {
		for name := range placeOf {
			is.Equal(w.resend(w.entry(name), req).Verdict(), verdict.MayHaveRun)
		}
	}
	is.NoErr(serve(w.entry("a2"), w.once(w.entry("a1"))).Err)
	return 2
}

func playPastDeadline(is *is.I, w *world) int {
	home := w.entry("a1")
	used, fresh := w.once(home), w.once(home)
	is.NoErr(serve(home, used).Err)
	time.Sleep(2 * patience)
	stored := serve(home, used)
	is.NoErr(stored.Err)
	is.Equal(string(stored.Response.Body), "run 1")
	is.Equal(serve(home, fresh).Verdict(), verdict.NotRun)
	is.Equal(w.resend(w.entry("a2"), fresh).Verdict(), verdict.NotRun)
	return 1
}

func playPastRetention(is *is.I, w *world) int {
	home := w.entry("a1")
	used, fresh := w.once(home), w.once(home)
	is.NoErr(serve(home, used).Err)
	time.Sleep(claimRetention)
	for name := range placeOf {
		for _, req := range []*port.Request{used, fresh} {
			answer := w.resend(w.entry(name), req)
			is.Equal(answer.Verdict(), verdict.MayHaveRun)
			is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonKeyExpired)
		}
	}
	return 1
}

// TestForwardDeliveredTwice delivers one attempt twice, at once and later.
func TestForwardDeliveredTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := settled(t)
		w.calls.call = func(int, port.Endpoint) port.Answer {
			time.Sleep(50 * time.Millisecond)
			return port.Answer{}
		}
		owner, _ := w.owner()
		forward := ownerForward(w.request(), groupKey{service, "a"}, false)
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
		is.Equal(w.calls.ran(), 1)
	})
}
