package entry

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// oneSlot returns a group of one warm endpoint. Ticket 1 holds its only slot,
// and there are enough latency samples for further requests to be queued.
func oneSlot(t *testing.T, now time.Time) *group {
	t.Helper()
	g := newGroup(groupKey{"s", "p"}, admission.Config{}, make(chan struct{}, 1))
	g.announce(now, admission.Announcement{
		ID: "e", Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1", Slots: 1, Connections: 1, State: admission.Ready,
	})
	clock := port.ClockFunc(func() time.Time { return now })
	for id := range uint64(50) {
		warm := admission.Ticket{ID: 1000 + id, Deadline: now.Add(time.Minute), Local: true}
		if _, err := g.admit(t.Context(), clock, warm); err != nil {
			t.Fatal(err)
		}
		g.done(now, warm.ID, admission.Result{Kind: admission.OK, Latency: time.Second})
	}
	first := admission.Ticket{ID: 1, Deadline: now.Add(time.Minute), Local: true}
	if _, err := g.admit(t.Context(), clock, first); err != nil {
		t.Fatal(err)
	}
	return g
}

// TestCallerCancelsWhileQueued cancels a queued request: before a slot becomes
// free, and at the moment when it is granted one. It guards against dispatching
// a request after its caller received NotRun, and against leaking the slot.
func TestCallerCancelsWhileQueued(t *testing.T) {
	for _, grantFirst := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		clock := port.ClockFunc(func() time.Time { return now })
		g := oneSlot(t, now)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := g.admit(ctx, clock, admission.Ticket{ID: 2, Deadline: now.Add(time.Minute), Local: true})
			ended <- err
		}()
		<-g.queued // the request is queued
		if grantFirst {
			g.done(now, 1, admission.Result{Kind: admission.OK, Latency: time.Second})
		}
		cancel()
		err := <-ended
		if err == nil {
			g.done(now, 2, admission.Result{Kind: admission.Canceled}) // the grant came first
		} else {
			is.Equal(verdict.Of(err), verdict.NotRun)
		}
		if !grantFirst {
			is.True(err != nil)
			g.done(now, 1, admission.Result{Kind: admission.OK, Latency: time.Second})
		}
		is.Equal(g.stats(now).Busy, 0)
		is.Equal(g.stats(now).Queued, 0)
		is.Equal(len(g.waiting), 0)
	}
}

// TestCanceledBeforeCall cancels a request after the grant and before a worker
// sends it. It guards against calling the endpoint for a caller that is gone,
// and against leaking the slot.
func TestCanceledBeforeCall(t *testing.T) {
	for _, cancelled := range []bool{false, true} {
		is := is.New(t)
		now := time.Unix(1000, 0)
		g := oneSlot(t, now)
		endpoints := &countingCaller{}
		e := &Entry{
			clock:     port.ClockFunc(func() time.Time { return now }),
			endpoints: endpoints,
			suspects:  newSuspects(),
			retries:   newRetryBudget(),
		}
		req := &port.Request{Service: "s", Deadline: now.Add(time.Minute)}
		run := &endpointRun{entry: e, ownedRequest: ownedRequest{req: req, group: g}, grant: admission.Grant{Ticket: 1}, granted: now}
		ctx, cancel := context.WithCancel(t.Context())
		if cancelled {
			cancel()
		}
		answer := run.call(ctx, cancel)
		is.Equal(answer.Err != nil, cancelled)
		is.Equal(endpoints.calls == 0, cancelled)
		if cancelled {
			is.Equal(answer.Verdict(), verdict.NotRun)
		}
		is.Equal(g.stats(now).Busy, 0)
	}
}

// countingCaller answers every call.
type countingCaller struct{ calls int }

func (c *countingCaller) Call(context.Context, port.Endpoint, *port.Request, port.Gate) (*port.Response, error) {
	c.calls++
	return &port.Response{Status: 200}, nil
}

func (c *countingCaller) Probe(context.Context, port.Endpoint) error { return nil }

// TestCancelWaitAfterGrant cancels a queued request that was granted a slot at
// the same time. It guards against leaking the slot.
func TestCancelWaitAfterGrant(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	g := oneSlot(t, now)
	wait := make(chan admission.Grant, 1)
	g.mu.Lock()
	decision := g.state.Offer(now, admission.Ticket{ID: 2, Deadline: now.Add(time.Minute), Local: true})
	g.waiting[2] = wait
	g.mu.Unlock()
	is.Equal(decision.Kind, admission.Queued)
	g.done(now, 1, admission.Result{Kind: admission.OK, Latency: time.Second})
	is.Equal(len(wait), 1) // granted, but not yet received
	err := g.cancelWait(now, 2, context.Canceled)
	is.Equal(verdict.Of(err), verdict.NotRun)
	is.Equal(g.stats(now).Busy, 0)
}

// TestUnreadableEndpointID guards against an endpoint whose ID can't be passed on, in an
// announcement and in one that another entry sent; the others of its batch hold.
func TestUnreadableEndpointID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tc := startTestCluster(t)
		time.Sleep(settleTime)
		e := tc.entry("a1")
		good := port.Announcement{
			ID: "büro-1", Incarnation: 1, Sequence: 1, Service: tc.request().Service, Place: placeOf["a1"], Address: "127.0.0.9:1",
			Slots: 1, Connections: 1, State: port.EndpointReady,
		}
		endpoints := func() int {
			return e.groups.get(groupKey{good.Service, good.Place}, e.admissionConfig).stats(e.clock.Now()).Endpoints
		}
		bad := good
		for _, bad.ID = range []string{"", "b\xfcro-1", "a\nb", " a", strings.Repeat("a", registry.MaxIDBytes+1)} {
			_, err := e.Announce(t.Context(), bad)
			is.Equal(verdict.ReasonOf(err), verdict.ReasonBadRequest)
			before := endpoints()
			e.HandleAnnounce([]port.Announcement{bad})
			is.Equal(endpoints(), before)
		}
		before := endpoints()
		e.HandleAnnounce([]port.Announcement{bad, good})
		is.Equal(endpoints(), before+1)
	})
}
