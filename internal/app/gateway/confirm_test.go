package gateway_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// leaseRig is a gateway with a revocation bound of 5 s and a clock since boot that the test
// sets, as a VM that was suspended finds it.
type leaseRig struct {
	gateway    *gateway.Gateway
	controller *fakeController
	endpoints  *endpoints
	boot       atomic.Int64
}

// newLeaseRig returns a rig that watches the given controllers, which all are the same.
func newLeaseRig(t *testing.T, seeds ...string) *leaseRig {
	r := newStoppedRig(seeds...)
	go r.gateway.Run(t.Context())
	return r
}

// newStoppedRig returns a rig whose gateway doesn't watch yet.
func newStoppedRig(seeds ...string) *leaseRig {
	r := &leaseRig{endpoints: &endpoints{ends: []error{nil}}}
	r.controller = &fakeController{config: keyedRoutes(), answer: func(port.SlotRequest) (dispatch.Decision, error) {
		return dispatch.Decision{Grant: "g", Region: "west", Endpoint: registry.Endpoint{ID: "e", Service: "s", Address: "e:1", Slots: 4}}, nil
	}}
	r.boot.Store(int64(time.Hour))
	r.gateway = gateway.New(gateway.Config{
		Name: "g", Zone: "east-1", Region: "east", Seeds: seeds, RevocationBound: 5 * time.Second,
	}, gateway.Ports{
		Clock: port.ClockFunc(time.Now), Boot: port.BootClockFunc(func() time.Duration { return time.Duration(r.boot.Load()) }),
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Endpoints: r.endpoints, Meter: metrics.New(),
		Dial: func(address string) (port.ControllerLink, error) { return watchedLink{r.controller, address}, nil },
	})
	return r
}

// watchedLink is a link to the fake controller under one of its addresses.
type watchedLink struct {
	*fakeController
	address string
}

// Watch implements port.ControllerLink.
func (l watchedLink) Watch(ctx context.Context, g port.Gateway, since port.WatchCursor) (port.Update, error) {
	l.mu.Lock()
	dead := l.dead == l.address
	l.mu.Unlock()
	if dead {
		return port.Update{}, errCut
	}
	return l.fakeController.Watch(ctx, g, since)
}

// serves waits until a request with a key is served, or refused for lack of a lease.
func (r *leaseRig) serves(t *testing.T, want bool) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		x := request("/safe/")
		x.Key = "ka"
		err = r.gateway.Serve(t.Context(), x).Err
		if want && err == nil || !want && verdict.ReasonOf(err) == verdict.ReasonLease {
			return
		}
	}
	t.Fatalf("served is %v, want %v: %v", err == nil, want, err)
}

// pass lets time pass while the VM may be suspended.
func (r *leaseRig) pass(d time.Duration) { r.boot.Add(int64(d)) }

// answer sets the answers to watch calls.
func (r *leaseRig) answer(watch func(port.Update, port.WatchCursor) (port.Update, error)) {
	r.controller.mu.Lock()
	defer r.controller.mu.Unlock()
	r.controller.watch = watch
}

var errCut = errors.New("cut off")

func cut(port.Update, port.WatchCursor) (port.Update, error) { return port.Update{}, errCut }

// TestLeaseEnds guards against a request with a key that is served although the gateway may
// have missed its revocation, because it was cut off or its VM was suspended.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	r := newLeaseRig(t, "c:1")
	r.serves(t, true)
	r.answer(cut)
	time.Sleep(50 * time.Millisecond) // the calls in flight end
	r.pass(4890 * time.Millisecond)
	r.serves(t, true)
	r.pass(20 * time.Millisecond)
	r.serves(t, false)
	unknown := request("/safe/")
	unknown.Key = "new"
	is.Equal(verdict.ReasonOf(r.gateway.Serve(t.Context(), unknown).Err), verdict.ReasonLease)
	none := request("/safe/")
	none.KeyFault = port.KeyMissing
	is.Equal(verdict.ReasonOf(r.gateway.Serve(t.Context(), none).Err), verdict.ReasonUnauthenticated)
	is.NoErr(r.gateway.Serve(t.Context(), request("/public/")).Err)
	refused := r.gateway.Serve(t.Context(), unknown)
	is.True(refused.RetryAfter > 0)
	r.answer(nil)
	r.serves(t, true)
}

// TestLeaseAlone guards against requests that run without a dispatcher after the lease ended.
func TestLeaseAlone(t *testing.T) {
	r := newLeaseRig(t, "c:1")
	r.serves(t, true)
	r.answer(cut)
	r.controller.mu.Lock()
	r.controller.answer = func(port.SlotRequest) (dispatch.Decision, error) { return dispatch.Decision{}, errCut }
	r.controller.mu.Unlock()
	r.serves(t, true)
	r.pass(5 * time.Second)
	r.serves(t, false)
}

// TestLeaseIsNotRenewed guards against answers that prove too little: none of a quorum, an
// old confirmation, and a confirmation of a state that the gateway doesn't have.
func TestLeaseIsNotRenewed(t *testing.T) {
	cases := map[string]func(port.Update, port.WatchCursor) (port.Update, error){
		"no quorum": func(u port.Update, _ port.WatchCursor) (port.Update, error) {
			u.Confirmed = time.Time{}
			return u, nil
		},
		"old": func(u port.Update, _ port.WatchCursor) (port.Update, error) {
			u.Age = 5 * time.Second
			return u, nil
		},
		"later state": func(u port.Update, _ port.WatchCursor) (port.Update, error) {
			u.Sequence = 2
			return u, nil
		},
	}
	for name, watch := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newLeaseRig(t, "c:1")
			r.serves(t, true)
			r.answer(watch)
			time.Sleep(100 * time.Millisecond)
			r.pass(5 * time.Second)
			time.Sleep(100 * time.Millisecond)
			r.serves(t, false)
		})
	}
}

// TestLeaseAfterRestart guards against a gateway that starts and serves keys by a state that a
// controller without a quorum sends.
func TestLeaseAfterRestart(t *testing.T) {
	r := newStoppedRig("c:1")
	r.answer(func(u port.Update, _ port.WatchCursor) (port.Update, error) {
		u.Age = 6 * time.Second
		return u, nil
	})
	go r.gateway.Run(t.Context())
	for !r.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	r.serves(t, false)
	r.answer(nil)
	r.serves(t, true)
}

// TestAccountsRemoved guards against a request whose headers are changed although the
// configuration that is in force when it is sent has no accounts.
func TestAccountsRemoved(t *testing.T) {
	is := is.New(t)
	r := newLeaseRig(t, "c:1")
	r.serves(t, true)
	x := request("/safe/")
	x.Key = "ka"
	_, refused := r.gateway.Refuse(t.Context(), x)
	is.True(!refused && x.Identify && x.Account == "a")
	r.answer(func(u port.Update, _ port.WatchCursor) (port.Update, error) {
		u.Sequence = 2
		u.State = &fleet.State{Config: keyedRoutes()}
		u.State.Config.Version, u.State.Config.Authenticate, u.State.Config.Accounts = 2, false, nil
		return u, nil
	})
	for r.gateway.Gauges()["config.version"] != 2 {
		time.Sleep(time.Millisecond)
	}
	is.NoErr(r.gateway.Serve(t.Context(), x).Err)
	is.True(!r.endpoints.last.Identify && r.endpoints.last.Account == "")
}

// TestLeaseOfEitherWatcher guards against a lease that only the nearby controller renews.
func TestLeaseOfEitherWatcher(t *testing.T) {
	for _, dead := range []string{"c:1", "c:2"} {
		t.Run(dead, func(t *testing.T) {
			t.Parallel()
			r := newLeaseRig(t, "c:1", "c:2")
			r.controller.mu.Lock()
			r.controller.controllers = []port.Controller{{Address: "c:1", Zone: "east-1", Region: "east"}, {Address: "c:2", Zone: "west-1", Region: "west"}}
			r.controller.mu.Unlock()
			r.serves(t, true)
			r.controller.mu.Lock()
			r.controller.dead = dead
			r.controller.mu.Unlock()
			for range 10 {
				time.Sleep(100 * time.Millisecond)
				r.pass(time.Second)
			}
			time.Sleep(100 * time.Millisecond)
			r.serves(t, true)
		})
	}
}

// TestFormerRelease guards against requests that run without their accounts because a
// controller of the former release sends the configuration, before or after one of this
// release does.
func TestFormerRelease(t *testing.T) {
	is := is.New(t)
	r := newLeaseRig(t, "c:1", "c:2")
	former := func(u port.Update, _ port.WatchCursor) (port.Update, error) {
		if u.State != nil {
			state := *u.State
			state.Config.Accounts, state.Config.Authenticate, state.Config.Decoder = nil, false, 0
			u.State = &state
		}
		return u, nil
	}
	r.answer(former)
	r.controller.mu.Lock()
	r.controller.controllers = []port.Controller{{Address: "c:1", Zone: "east-1", Region: "east"}, {Address: "c:2", Zone: "west-1", Region: "west"}}
	r.controller.mu.Unlock()
	for !r.gateway.Ready() {
		time.Sleep(time.Millisecond)
	}
	for _, path := range []string{"/safe/", "/public/"} {
		answer := r.gateway.Serve(t.Context(), request(path))
		is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonFormerState)
		is.True(answer.RetryAfter > 0)
	}
	is.Equal(r.endpoints.calls, 0)
	r.answer(cut) // the controllers are upgraded, and then have the same state
	time.Sleep(100 * time.Millisecond)
	r.answer(nil)
	r.serves(t, true)
	r.answer(former)
	time.Sleep(200 * time.Millisecond)
	r.serves(t, true) // the same state doesn't replace the complete one
}
