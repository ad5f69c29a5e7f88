package gateway_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
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

// fakeController dispatches its region. It grants every slot request unless
// answer is set.
type fakeController struct {
	mu       sync.Mutex
	grants   int
	released []port.SlotRelease
	answer   func(req port.SlotRequest) (dispatch.Decision, error)
	// config replaces the usual configuration if it has a version.
	config fleet.Config
	// controllers replaces the usual list, and dead is the address of one that doesn't
	// answer watch calls.
	controllers []port.Controller
	dead        string
	// watch replaces the usual answers of watch calls.
	watch func(u port.Update, since port.WatchCursor) (port.Update, error)
	// rejects names the grants whose releases make their message fail.
	rejects map[string]bool
}

func (c *fakeController) Watch(ctx context.Context, _ port.Gateway, since port.WatchCursor) (port.Update, error) {
	u := port.Update{
		Confirmed: time.Now(), Sequence: 1, Cursor: port.WatchCursor{Incarnation: 1, Sequence: 1},
		Dispatchers: []port.Lease{{Region: "east", Holder: "c:1", Remaining: time.Minute, HasMajority: true}},
		Controllers: []port.Controller{{Address: "c:1", Zone: "east-1", Region: "east"}},
	}
	if since.Sequence == 0 {
		u.State = &fleet.State{Config: fleet.Config{
			Version: 1, Services: []fleet.Service{{Name: "s"}}, Routes: []fleet.Route{
				route("safe", "/safe/", true, 2), route("once", "/once/", false, 2), route("single", "/single/", true, 1),
			},
		}}
		if c.config.Version > 0 {
			u.State.Config = c.config
		}
	} else {
		select {
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.controllers) > 0 {
		u.Controllers = c.controllers
	}
	if c.watch != nil {
		return c.watch(u, since)
	}
	return u, nil
}

func route(name, prefix string, idempotent bool, attempts int) fleet.Route {
	return fleet.Route{
		Name: name, Host: "shop", Prefix: prefix, Idempotent: idempotent, Attempts: attempts,
		Target: 100 * time.Millisecond, Timeout: 300 * time.Millisecond, Parts: []fleet.Part{{Service: "s", Weight: 1}},
	}
}

func (c *fakeController) Acquire(_ context.Context, req port.SlotRequest) (dispatch.Decision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answer != nil {
		return c.answer(req)
	}
	c.grants++
	ids := []string{"e0", "e1", "e2", "e3"}
	return dispatch.Decision{
		Grant: ids[c.grants-1], Endpoint: registry.Endpoint{ID: ids[c.grants-1], Address: "e:1"},
	}, nil
}

func (c *fakeController) Release(_ context.Context, r []port.SlotRelease) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range r {
		if c.rejects[x.Grant] {
			return port.ErrRejected
		}
	}
	c.released = append(c.released, r...)
	return nil
}

// endpoints returns the next result of ends for each call and repeats the last
// one; with waits set, each call blocks until its context ends.
type endpoints struct {
	mu    sync.Mutex
	calls int
	// last is the request of the last call.
	last  port.Request
	ends  []error
	waits bool
	// signals are what the endpoint says about itself in each answer.
	signals registry.Signals
}

func (e *endpoints) Call(ctx context.Context, _ port.Endpoint, r *port.Request, _ port.Gate) (*port.Response, error) {
	e.mu.Lock()
	e.last = *r
	end := e.ends[min(e.calls, len(e.ends)-1)]
	e.calls++
	e.mu.Unlock()
	if e.waits {
		<-ctx.Done()
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonDeadline, ctx.Err())
	}
	if end != nil {
		return nil, end
	}
	return &port.Response{Status: http.StatusOK, Signals: e.signals}, nil
}

func (e *endpoints) Probe(context.Context, port.Endpoint) error { return nil }

func serve(t *testing.T, c *fakeController, e *endpoints, path string) port.ClientAnswer {
	g := startGateway(t, c, e)
	return g.Serve(t.Context(), request(path))
}

func request(path string) *port.ClientRequest {
	return &port.ClientRequest{
		Request:   port.Request{ID: "r", Deadline: time.Now().Add(2 * time.Second)},
		RouteHost: "shop", Path: path,
	}
}

// startGateway returns a running gateway that has received its routes.
func startGateway(t *testing.T, c *fakeController, e *endpoints) *gateway.Gateway {
	g := gateway.New(gateway.Config{Name: "g", Zone: "east-1", Region: "east", Seeds: []string{"c:1"}}, gateway.Ports{
		Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Endpoints: e, Meter: metrics.New(),
		Dial: func(string) (port.ControllerLink, error) { return c, nil },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go g.Run(ctx)
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	return g
}

// TestSlowDispatcher guards against a dispatcher that is passed over for one
// late answer, as a link that loses packets causes: after one timeout the next
// request is sent to it, after three in a row it isn't.
func TestSlowDispatcher(t *testing.T) {
	is := is.New(t)
	timeouts := 1
	c := &fakeController{}
	c.answer = func(port.SlotRequest) (dispatch.Decision, error) {
		if timeouts > 0 {
			timeouts--
			return dispatch.Decision{}, context.DeadlineExceeded
		}
		return dispatch.Decision{Grant: "x", Endpoint: registry.Endpoint{ID: "e"}}, nil
	}
	g := startGateway(t, c, &endpoints{ends: []error{nil}})
	is.True(g.Serve(t.Context(), request("/once/")).Err != nil)
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err)
	c.mu.Lock()
	timeouts = 3
	c.mu.Unlock()
	for range 3 {
		is.True(g.Serve(t.Context(), request("/once/")).Err != nil)
	}
	is.True(g.Serve(t.Context(), request("/once/")).Err != nil) // the dispatcher is passed over
}

// TestRejectedMessages guards against a dispatcher that is passed over, and against slots
// that stay taken, because of one request whose message the dispatcher rejects.
func TestRejectedMessages(t *testing.T) {
	is := is.New(t)
	c := &fakeController{rejects: map[string]bool{"bad": true}}
	c.answer = func(req port.SlotRequest) (dispatch.Decision, error) {
		switch req.Kind {
		case "safe":
			return dispatch.Decision{}, port.ErrRejected
		case "single":
			return dispatch.Decision{Grant: "bad", Endpoint: registry.Endpoint{ID: "e"}}, nil
		}
		return dispatch.Decision{Grant: "good", Endpoint: registry.Endpoint{ID: "e"}}, nil
	}
	g := startGateway(t, c, &endpoints{ends: []error{nil}})
	for range 20 {
		for _, path := range []string{"/safe/", "/single/", "/once/", "/once/"} {
			err := g.Serve(t.Context(), request(path)).Err
			is.Equal(err == nil, path != "/safe/")
		}
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		c.mu.Lock()
		n := len(c.released)
		c.mu.Unlock()
		if n == 40 {
			return
		}
	}
	is.Fail() // releases beside a rejected one are lost
}

// TestAttempts checks how often a request is sent and which verdict its client
// receives, for each kind of route and each sequence of call results.
func TestAttempts(t *testing.T) {
	shed := verdict.NewError(verdict.NotRun, verdict.ReasonShed, nil)
	dial := verdict.NewError(verdict.NotRun, verdict.ReasonDial, nil)
	broken := verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnection, port.ErrConnectionLost)
	cases := []struct {
		name, path string
		ends       []error
		calls      int
		want       verdict.Verdict
	}{
		{"served", "/once/", []error{nil}, 1, verdict.Ran},
		{"once-only, refused, then served", "/once/", []error{shed, nil}, 2, verdict.Ran},
		{"once-only, not reached, then served", "/once/", []error{dial, nil}, 2, verdict.Ran},
		{"once-only, not reached twice, then served", "/once/", []error{dial, dial, nil}, 3, verdict.Ran},
		{"once-only, refused twice", "/once/", []error{shed}, 2, verdict.NotRun},
		{"once-only, broken off", "/once/", []error{broken, nil}, 1, verdict.MayHaveRun},
		{"once-only, refused, then broken off", "/once/", []error{shed, broken}, 2, verdict.MayHaveRun},
		{"idempotent, broken off, then served", "/safe/", []error{broken, nil}, 2, verdict.Ran},
		{"idempotent, broken off, then refused", "/safe/", []error{broken, shed}, 2, verdict.MayHaveRun},
		{"one attempt allowed", "/single/", []error{broken, nil}, 1, verdict.MayHaveRun},
		{"no route", "/other/", []error{nil}, 0, verdict.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := &endpoints{ends: c.ends}
			answer := serve(t, &fakeController{}, e, c.path)
			is.Equal(verdict.Of(answer.Err), c.want)
			is.Equal(e.calls, c.calls)
		})
	}
}

// TestTimeout guards against a request that outlives its route's timeout, and
// against a slot that isn't released then.
func TestTimeout(t *testing.T) {
	is := is.New(t)
	c := &fakeController{}
	began := time.Now()
	a := serve(t, c, &endpoints{ends: []error{nil}, waits: true}, "/once/")
	is.Equal(verdict.Of(a.Err), verdict.MayHaveRun)
	is.True(time.Since(began) < 700*time.Millisecond)
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(len(c.released), 1)
	is.Equal(c.released[0].Outcome, dispatch.Failed)
}

// TestReleasedLoad guards against a load that an endpoint reports and its dispatcher doesn't
// get, or gets without the time of the answer, which tells its age.
func TestReleasedLoad(t *testing.T) {
	is := is.New(t)
	c := &fakeController{}
	load := registry.Load{Known: true, Running: 3, Waiting: 1, Slots: 4, Pace: 2.5}
	began := time.Now()
	is.NoErr(serve(t, c, &endpoints{ends: []error{nil}, signals: registry.Signals{Load: load}}, "/once/").Err)
	answered := time.Now()
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	is.Equal(len(c.released), 1)
	is.Equal(c.released[0].Signals.Load, load)
	is.True(c.released[0].AnsweredAt.After(began) && c.released[0].AnsweredAt.Before(answered))
}

// TestNoSlot guards against a request without a slot that is sent all the
// same, or whose answer lacks the verdict that it didn't run or a retry delay.
func TestNoSlot(t *testing.T) {
	cases := map[string]func(port.SlotRequest) (dispatch.Decision, error){
		"refused": func(port.SlotRequest) (dispatch.Decision, error) {
			return dispatch.Decision{Reason: dispatch.ReasonOverload, RetryAfter: time.Second}, nil
		},
		"no dispatcher": func(port.SlotRequest) (dispatch.Decision, error) {
			return dispatch.Decision{}, port.ErrNotDispatcher
		},
		"unreachable": func(port.SlotRequest) (dispatch.Decision, error) {
			return dispatch.Decision{}, errors.New("unreachable")
		},
	}
	for name, answer := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := &endpoints{ends: []error{nil}}
			a := serve(t, &fakeController{answer: answer}, e, "/once/")
			is.Equal(verdict.Of(a.Err), verdict.NotRun)
			is.True(a.RetryAfter > 0)
			is.Equal(e.calls, 0)
		})
	}
}

// TestRetryBudgetUsedUp guards against a long retry delay when endpoints
// refuse requests although they have free slots and the retry budget is used
// up.
func TestRetryBudgetUsedUp(t *testing.T) {
	is := is.New(t)
	c := &fakeController{}
	c.answer = func(req port.SlotRequest) (dispatch.Decision, error) {
		if req.Retry {
			return dispatch.Decision{Reason: dispatch.ReasonRetryBudget, RetryAfter: time.Second}, nil
		}
		return dispatch.Decision{Grant: "x", Endpoint: registry.Endpoint{ID: "e"}}, nil
	}
	shed := verdict.NewError(verdict.NotRun, verdict.ReasonShed, nil)
	a := serve(t, c, &endpoints{ends: []error{shed}}, "/once/")
	is.Equal(verdict.Of(a.Err), verdict.NotRun)
	is.Equal(verdict.ReasonOf(a.Err), verdict.ReasonShed)
	is.True(a.RetryAfter < 100*time.Millisecond)
}

// TestLeavingEndpointGetsNothing guards against a request to an endpoint that said
// in an answer to this gateway that it leaves, also if the dispatcher doesn't know
// it yet. Another incarnation of the endpoint isn't affected.
func TestLeavingEndpointGetsNothing(t *testing.T) {
	is := is.New(t)
	var asked []port.SlotRequest
	granted := registry.Endpoint{ID: "e", Service: "s", StartedMillis: 1}
	c := &fakeController{}
	c.answer = func(req port.SlotRequest) (dispatch.Decision, error) {
		asked = append(asked, req)
		return dispatch.Decision{Grant: "x", Endpoint: granted}, nil
	}
	e := &endpoints{ends: []error{nil}, signals: registry.Signals{Leaving: true}}
	g := startGateway(t, c, e)
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err)
	is.Equal(e.calls, 1)
	a := g.Serve(t.Context(), request("/once/"))
	is.Equal(verdict.Of(a.Err), verdict.NotRun)
	is.Equal(e.calls, 1)
	is.Equal(asked[1].Exclude, nil)
	is.Equal(asked[2].Exclude, []string{"e"})
	time.Sleep(50 * time.Millisecond)
	c.mu.Lock()
	is.Equal(c.released[1].Outcome, dispatch.Unsent)
	is.True(c.released[1].Answered && c.released[1].Signals.Leaving) // the dispatcher learns it
	granted.StartedMillis = 2
	c.mu.Unlock()
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err)
	is.Equal(e.calls, 2)
}

// TestPausedEndpointGetsNothing guards against requests to an endpoint that asked
// this gateway for a pause when it refused a request, also if a slot was granted
// before. After the pause it gets requests again.
func TestPausedEndpointGetsNothing(t *testing.T) {
	is := is.New(t)
	const pause = 200 * time.Millisecond
	var asked []port.SlotRequest
	c := &fakeController{}
	c.answer = func(req port.SlotRequest) (dispatch.Decision, error) {
		asked = append(asked, req)
		return dispatch.Decision{Grant: "x", Endpoint: registry.Endpoint{ID: "e", Service: "s", StartedMillis: 1}}, nil
	}
	refusal := verdict.NewError(verdict.NotRun, verdict.ReasonShed, &port.AnsweredError{
		Err: port.ErrRefused, Signals: registry.Signals{Pause: pause},
	})
	e := &endpoints{ends: []error{refusal, nil}}
	g := startGateway(t, c, e)
	for range 3 {
		a := g.Serve(t.Context(), request("/once/"))
		is.Equal(verdict.Of(a.Err), verdict.NotRun)
		is.Equal(e.calls, 1)
	}
	is.Equal(asked[len(asked)-1].Exclude[0], "e")
	time.Sleep(pause)
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err)
	is.Equal(e.calls, 2)
}

// TestStopEndsWhatItTakes guards against a planned stop that takes requests for as
// long as it lasts and cuts them off at its end: clients with an old look-up keep
// arriving. Late in the stop only a request that can't outlast it is taken; the
// others are refused, so that they can be sent elsewhere.
func TestStopEndsWhatItTakes(t *testing.T) {
	is := is.New(t)
	e := &endpoints{ends: []error{nil}}
	g := startGateway(t, &fakeController{}, e)
	now := time.Now()
	g.Stop(now.Add(time.Hour), now.Add(time.Millisecond))
	is.True(!g.Ready())
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err) // early in the stop
	g.Stop(now, now.Add(time.Minute))
	is.NoErr(g.Serve(t.Context(), request("/once/")).Err) // ends in time
	g.Stop(now, now.Add(200*time.Millisecond))            // the route's timeout is 300 ms
	answer := g.Serve(t.Context(), request("/once/"))
	is.Equal(verdict.Of(answer.Err), verdict.NotRun)
	is.Equal(verdict.ReasonOf(answer.Err), verdict.ReasonStopping)
	is.True(answer.RetryAfter > 0)
	is.Equal(e.calls, 2)
}

// TestReadAhead guards against a request that was read ahead and runs although its route
// isn't idempotent, for instance because a new configuration came meanwhile, or there is
// no route.
func TestReadAhead(t *testing.T) {
	is := is.New(t)
	e := &endpoints{ends: []error{nil}}
	g := startGateway(t, &fakeController{}, e)
	is.True(g.Idempotent("shop", "/safe/1"))
	is.True(!g.Idempotent("shop", "/once/1"))
	is.True(!g.Idempotent("shop", "/none/1"))
	once, safe := request("/once/1"), request("/safe/1")
	once.IdempotentOnly, safe.IdempotentOnly = true, true
	answer := g.Serve(t.Context(), once)
	is.Equal(verdict.Of(answer.Err), verdict.NotRun)
	is.Equal(e.calls, 0)
	is.NoErr(g.Serve(t.Context(), safe).Err)
}
