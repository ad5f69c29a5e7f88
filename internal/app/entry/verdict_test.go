package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// step is the result of one endpoint call and the time until it.
type step struct {
	after  time.Duration
	answer port.Answer
}

var (
	answered       = step{}
	shed           = step{0, failure(verdict.NotRun, verdict.ReasonShed, errTest)}
	dialFailed     = step{0, failure(verdict.NotRun, verdict.ReasonDial, errTest)}
	connectionLost = step{0, failure(verdict.MayHaveRun, verdict.ReasonConnection, port.ErrConnectionLost)}
	timedOut       = step{0, failure(verdict.MayHaveRun, verdict.ReasonDeadline, errTest)}
	badAnswer      = step{0, failure(verdict.MayHaveRun, verdict.ReasonBadAnswer, errTest)}
)

func (s step) withDelay(after time.Duration) step { return step{after, s.answer} }

// playSteps makes endpoint calls end with the steps in order, and further calls
// with an answer.
func (f *endpointFake) playSteps(steps ...step) {
	f.call = func(n int, _ port.Endpoint) port.Answer {
		if n > len(steps) {
			return port.Answer{}
		}
		time.Sleep(steps[n-1].after)
		return steps[n-1].answer
	}
}

// TestVerdicts checks, for the results of endpoint calls, which verdict the
// caller receives and how many calls are made, at the owner and through another
// entry. It guards against NotRun for a request that may have run, and against
// running a once-only request twice.
func TestVerdicts(t *testing.T) {
	const (
		ran   = verdict.Ran
		not   = verdict.NotRun
		maybe = verdict.MayHaveRun
	)
	cases := []struct {
		name      string
		steps     []step
		once      verdict.Verdict
		onceCalls int
		idem      verdict.Verdict
		idemCalls int
	}{
		{"answer", []step{answered}, ran, 1, ran, 1},
		{"shed", []step{shed}, ran, 2, ran, 2},
		{"dial", []step{dialFailed}, ran, 2, ran, 2},
		{"connection", []step{connectionLost}, maybe, 1, ran, 2},
		{"deadline", []step{timedOut}, maybe, 1, maybe, 1},
		{"bad answer", []step{badAnswer}, maybe, 1, ran, 2},
		{"shed, shed", []step{shed, shed}, not, 2, not, 2},
		{"shed, connection", []step{shed, connectionLost}, maybe, 2, maybe, 2},
		{"connection, shed", []step{connectionLost, shed}, maybe, 1, maybe, 2},
		{"bad answer, dial", []step{badAnswer, dialFailed}, maybe, 1, maybe, 2},
	}
	for _, c := range cases {
		for _, mode := range []string{"once, owner", "once, other", "idempotent, owner", "idempotent, other"} {
			t.Run(c.name+"/"+mode, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tc := startTestCluster(t)
					tc.calls.playSteps(c.steps...)
					owner, other := tc.owner()
					want, calls := c.idem, c.idemCalls
					req := tc.request()
					if mode[:4] == "once" {
						want, calls = c.once, c.onceCalls
						req = tc.once(owner)
					}
					via := owner
					if mode[len(mode)-5:] == "other" {
						via = other
					}
					is.Equal(serve(via, req).Verdict(), want)
					time.Sleep(requestTimeout)
					is.Equal(tc.calls.ran(), calls)
				})
			})
		}
	}
}

// TestVerdictsOfPeers checks the same for failures between entries. The
// coordinator of once-only requests is the entry that receives them.
func TestVerdictsOfPeers(t *testing.T) {
	spill := document.Rule{Name: "spill", From: "a", To: "b", RequestsPerS: 100}
	unreachable := verdict.NewError(verdict.NotRun, verdict.ReasonPeer, port.ErrPeerUnreachable)
	broken := verdict.NewError(verdict.MayHaveRun, verdict.ReasonPeer, errTest)
	cases := []struct {
		name          string
		rules         []document.Rule
		before, after error // result of forwards to place a, before or after the peer ran the request
		steps         []step
		once          verdict.Verdict
		onceCalls     int
		idem          verdict.Verdict
		idemCalls     int
	}{
		{"unreachable", nil, unreachable, nil, nil, verdict.NotRun, 0, verdict.NotRun, 0},
		{"unreachable, spill", []document.Rule{spill}, unreachable, nil, nil, verdict.Ran, 1, verdict.Ran, 1},
		{"broken before", nil, broken, nil, nil, verdict.MayHaveRun, 0, verdict.MayHaveRun, 0},
		{"broken after", nil, nil, broken, nil, verdict.MayHaveRun, 1, verdict.MayHaveRun, 1},
		{"broken after, spill", []document.Rule{spill}, nil, broken, nil, verdict.MayHaveRun, 1, verdict.Ran, 2},
		{"broken after, spill shed", []document.Rule{spill}, nil, broken, []step{answered, shed, shed},
			verdict.MayHaveRun, 1, verdict.MayHaveRun, 3},
	}
	for _, c := range cases {
		for _, once := range []bool{true, false} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tc := startTestCluster(t, c.rules...)
					tc.calls.playSteps(c.steps...)
					tc.fault = func(f port.Forward) (error, error) {
						if f.Place == "a" {
							return c.before, c.after
						}
						return nil, nil
					}
					_, other := tc.owner()
					req, want, calls := tc.request(), c.idem, c.idemCalls
					if once {
						req, want, calls = tc.once(other), c.once, c.onceCalls
					}
					is.Equal(serve(other, req).Verdict(), want)
					is.Equal(tc.calls.ran(), calls)
				})
			})
		}
	}
}

// TestHedgedVerdicts checks the verdict of an idempotent request whose first
// attempt is late, so that a second one is sent. It guards against NotRun when
// only the second attempt was refused. The steps are the results of calls at
// the owner, or of forwards from another entry.
func TestHedgedVerdicts(t *testing.T) {
	cases := []struct {
		name  string
		steps []step
		want  verdict.Verdict
	}{
		{"slow answer, refusal", []step{answered.withDelay(300 * time.Millisecond), shed}, verdict.Ran},
		{"timeout, answer", []step{timedOut.withDelay(requestTimeout), answered}, verdict.Ran},
		{"failure, later refusal", []step{badAnswer.withDelay(300 * time.Millisecond), shed.withDelay(200 * time.Millisecond)}, verdict.MayHaveRun},
		{"refusal, later failure", []step{badAnswer.withDelay(400 * time.Millisecond), shed.withDelay(100 * time.Millisecond)}, verdict.MayHaveRun},
		{"slow refusal, failure", []step{shed.withDelay(400 * time.Millisecond), timedOut}, verdict.MayHaveRun},
		{"refusals", []step{shed.withDelay(300 * time.Millisecond), shed}, verdict.NotRun},
	}
	for _, c := range cases {
		for _, forwarded := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					tc := startTestCluster(t)
					tc.calls.playSteps(c.steps...)
					via, other := tc.owner()
					if forwarded {
						via = other
						tc.fault = func(port.Forward) (error, error) {
							_, err := tc.calls.Call(tc.ctx, port.Endpoint{}, nil, nil)
							return err, nil
						}
					}
					is.Equal(serve(via, tc.request()).Verdict(), c.want)
					time.Sleep(2 * requestTimeout)
				})
			})
		}
	}
}

// TestOnceOnlyIsNotHedged guards against hedging a once-only request when its
// answer is late, at the owner and at another entry.
func TestOnceOnlyIsNotHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		tc.calls.playSteps(answered.withDelay(time.Second), answered.withDelay(time.Second))
		owner, other := tc.owner()
		is.NoErr(serve(owner, tc.once(owner)).Err)
		is.NoErr(serve(other, tc.once(other)).Err)
		is.Equal(tc.calls.ran(), 2)
	})
}
