package controller_test

import (
	"context"
	"fmt"
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
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

func (l link) Watch(ctx context.Context, g port.Gateway, since port.WatchCursor) (port.Update, error) {
	c, err := l.reach(ctx)
	if err != nil {
		return port.Update{}, err
	}
	return c.Watch(ctx, g, since)
}

func (l link) Acquire(ctx context.Context, req port.SlotRequest) (dispatch.Decision, error) {
	c, err := l.reach(ctx)
	if err != nil {
		return dispatch.Decision{}, err
	}
	return c.Acquire(ctx, req)
}

func (l link) Release(ctx context.Context, r []port.SlotRelease) error {
	c, err := l.reach(ctx)
	if err != nil {
		return err
	}
	return c.Release(ctx, r)
}

// crashTarget is the target of the request that crashes each endpoint that
// runs it.
const crashTarget = "/crash"

// fragileEndpoints are endpoints of which each ends when it runs a request for
// crashTarget, and starts again under another ID after restartAfter.
type fragileEndpoints struct {
	mu      sync.Mutex
	cluster *cluster
	live    map[string]registry.Endpoint
	starts  int
	crashes []time.Time
	// crash ends a run for crashTarget, whose client may have left, by calling end when
	// the endpoint's process has ended; nil stands for a reset before the answer.
	crash crashMoment
	// back is how long after a crash the endpoint starts again; 0 is restartAfter.
	back time.Duration
}

const restartAfter = 700 * time.Millisecond

func (f *fragileEndpoints) start(address, zone string) {
	f.mu.Lock()
	f.starts++
	e := registry.Endpoint{
		ID: fmt.Sprintf("e%d", f.starts), Address: address, Service: "s", Zone: zone, Slots: 4,
		StartedMillis: time.Now().UnixMilli(), Sequence: 1, LastSeen: time.Now(),
	}
	f.live[e.ID] = e
	f.mu.Unlock()
	f.announce(e)
}

func (f *fragileEndpoints) announce(e registry.Endpoint) {
	if at := f.cluster.anyRunning(); at != nil {
		_ = at.Announce(context.Background(), e)
	}
}

// announceAll announces all live endpoints, until ctx ends.
func (f *fragileEndpoints) announceAll(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		var all []registry.Endpoint
		for id, e := range f.live {
			e.Sequence++
			e.LastSeen = time.Now()
			f.live[id] = e
			all = append(all, e)
		}
		f.mu.Unlock()
		for _, e := range all {
			f.announce(e)
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// end ends the process of an endpoint.
func (f *fragileEndpoints) end(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, live := f.live[id]
	if !live {
		return
	}
	delete(f.live, id)
	f.crashes = append(f.crashes, time.Now())
	time.AfterFunc(max(f.back, restartAfter), func() { f.start(e.Address, e.Zone) })
}

func (f *fragileEndpoints) Call(ctx context.Context, to port.Endpoint, req *port.Request, _ port.Gate) (*port.Response, error) {
	f.mu.Lock()
	_, live := f.live[to.ID]
	f.mu.Unlock()
	switch {
	case !live:
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonDial, port.ErrConnectionRefused)
	case req.Target == crashTarget && f.crash != nil:
		if err := f.crash(ctx, func() { f.end(to.ID) }); err != nil {
			return nil, err
		}
		return &port.Response{Status: http.StatusOK}, nil
	case req.Target == crashTarget:
		f.end(to.ID)
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnection, port.ErrConnectionLost)
	}
	time.Sleep(5 * time.Millisecond)
	return &port.Response{Status: http.StatusOK}, nil
}

func (f *fragileEndpoints) Probe(context.Context, port.Endpoint) error { return nil }

func (f *fragileEndpoints) crashCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.crashes)
}

// crashesAfterThird returns the number of crashes later than a window after the third.
func (f *fragileEndpoints) crashesAfterThird(window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, at := range f.crashes {
		if len(f.crashes) > 3 && at.Sub(f.crashes[2]) > window {
			n++
		}
	}
	return n
}

// newServedCluster starts a cluster with two endpoints in each zone and a gateway in
// each region, and waits until requests are served.
func newServedCluster(t *testing.T) (*cluster, *fragileEndpoints, []*gateway.Gateway) {
	c := newCluster(t, 2*time.Millisecond)
	is.New(t).NoErr(c.order(0, 2))
	c.settle()
	endpoints := &fragileEndpoints{cluster: c, live: make(map[string]registry.Endpoint)}
	for zone := range regions {
		endpoints.start(zone+":100", zone)
		endpoints.start(zone+":200", zone)
	}
	go endpoints.announceAll(t.Context())
	gateways := c.startGateways(endpoints)
	time.Sleep(time.Second) // the announcements reach all controllers
	return c, endpoints, gateways
}

// startGateways starts a gateway in each region, which use the given
// endpoints, and waits until they are ready.
func (c *cluster) startGateways(endpoints port.EndpointCaller) []*gateway.Gateway {
	var out []*gateway.Gateway
	for _, region := range []string{"a", "b", "c"} {
		out = append(out, c.startGateway("gateway-"+region, region, endpoints))
	}
	return out
}

// startGateway starts a gateway in a region and waits until it is ready.
func (c *cluster) startGateway(address, region string, endpoints port.EndpointCaller) *gateway.Gateway {
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	g := gateway.New(gateway.Config{Name: address, Address: address, Zone: region + "1", Region: region, Seeds: c.seeds}, gateway.Ports{
		Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Endpoints: endpoints, Meter: metrics.New(),
		Dial: func(to string) (port.ControllerLink, error) { return link{cluster: c, from: address, to: to}, nil },
	})
	go g.Run(ctx)
	for !g.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
	return g
}

// send sends a request for a target to a gateway.
func send(g *gateway.Gateway, id, target string) port.ClientAnswer {
	return sendFor(context.Background(), g, id, target)
}

// sendFor is send for a client that leaves when ctx ends.
func sendFor(ctx context.Context, g *gateway.Gateway, id, target string) port.ClientAnswer {
	return g.Serve(ctx, &port.ClientRequest{
		Request:   port.Request{ID: id, Method: http.MethodPost, Target: target, Deadline: time.Now().Add(2 * time.Second)},
		RouteHost: "h", Path: target,
	})
}

// TestCrashingRequestStops guards against a request that crashes its endpoints
// and is sent on as often as it comes, at gateways of all regions: after the
// third crash at most three more follow. Other requests are served meanwhile.
func TestCrashingRequestStops(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	_, endpoints, gateways := newServedCluster(t)
	const rounds = 50
	served := 0
	for i := range rounds {
		g := gateways[i%len(gateways)]
		answer := send(g, fmt.Sprint("crash", i), crashTarget)
		is.True(answer.Err != nil)
		if send(g, fmt.Sprint("other", i), fmt.Sprintf("/other/%d", i%5)).Err == nil {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%d crashes, %d of %d other requests served", endpoints.crashCount(), served, rounds)
	is.True(endpoints.crashCount() <= 6)
	is.True(served >= rounds*9/10)
}

// TestCrashingRequestStaysStopped guards against a request that crashes its endpoints
// again, some in each region, because all controllers restarted and forgot it.
func TestCrashingRequestStaysStopped(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c, endpoints, gateways := newServedCluster(t)
	rounds := func(n int) {
		for i := range n {
			is.True(send(gateways[i%len(gateways)], fmt.Sprint("crash", i), crashTarget).Err != nil)
			time.Sleep(50 * time.Millisecond)
		}
	}
	rounds(40)
	before := endpoints.crashCount()
	c.restartAll()
	rounds(100)
	t.Logf("%d crashes before the restart, %d after", before, endpoints.crashCount()-before)
	is.Equal(endpoints.crashCount(), before)
}

// crashMoment ends a run for crashTarget, whose client may have left; end ends the process of
// the endpoint.
type crashMoment func(ctx context.Context, end func()) error

// early is the time between what the gateway sees of a run and what happens next.
const early = 20 * time.Millisecond

// playCrashes sends a request that crashes its endpoints, and others. Of the repeats later
// than 3 s after the third crash at most three may reach an endpoint, although endpoints are
// back only after 4 s, and the others are to be served. A client that leaves does so after
// early. The request is harmless first if turns is set.
func playCrashes(t *testing.T, crash crashMoment, leaves, turns bool) {
	is := is.New(t)
	_, endpoints, gateways := newServedCluster(t)
	if turns {
		endpoints.crash = func(context.Context, func()) error { return nil }
		for i := range 12 {
			is.NoErr(send(gateways[i%len(gateways)], fmt.Sprint("before", i), crashTarget).Err)
		}
	}
	endpoints.crash, endpoints.back = crash, 4*time.Second
	served := 0
	const rounds = 80
	for i := range rounds {
		g := gateways[i%len(gateways)]
		ctx, leave := context.WithCancel(t.Context())
		if leaves {
			time.AfterFunc(early, leave)
		}
		_ = sendFor(ctx, g, fmt.Sprint("crash", i), crashTarget)
		leave()
		for n := range 3 {
			if send(gateways[n], fmt.Sprint("other", i, n), fmt.Sprintf("/other/%d", i%5)).Err == nil {
				served++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	late := endpoints.crashesAfterThird(3 * time.Second)
	t.Logf("%d crashes, %d of them late, %d of %d other requests served", endpoints.crashCount(), late, served, 3*rounds)
	is.True(late <= 3)
	is.True(served >= 3*rounds*9/10)
}

// TestCrashMoments guards against a request that crashes its endpoints and is sent on
// because of how its run ended for the one that sent it: its answer was cut, its client
// left, or its deadline passed, each before or after the endpoint ended (review/8).
func TestCrashMoments(t *testing.T) {
	failed := func(reason verdict.Reason, cause error) error {
		return verdict.NewError(verdict.MayHaveRun, reason, cause)
	}
	moments := map[string]struct {
		crash  crashMoment
		leaves bool
	}{
		"answer cut": {crash: func(_ context.Context, end func()) error {
			end()
			return failed(verdict.ReasonBadAnswer, port.ErrConnectionLost)
		}},
		"answer unusable, then the end": {crash: func(_ context.Context, end func()) error {
			time.AfterFunc(early, end)
			return failed(verdict.ReasonBadAnswer, nil)
		}},
		"client leaves, then the end": {leaves: true, crash: func(ctx context.Context, end func()) error {
			<-ctx.Done()
			time.AfterFunc(early, end)
			return failed(verdict.ReasonCanceled, ctx.Err())
		}},
		"deadline, then the end": {crash: func(_ context.Context, end func()) error {
			time.AfterFunc(early, end)
			return failed(verdict.ReasonDeadline, context.DeadlineExceeded)
		}},
		"silent end": {crash: func(_ context.Context, end func()) error {
			end()
			return failed(verdict.ReasonDeadline, context.DeadlineExceeded)
		}},
	}
	for name, m := range moments {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playCrashes(t, m.crash, m.leaves, false)
		})
	}
}

// TestCrashAfterHarmlessRuns guards against a request that was answered a moment ago and is
// sent on without end from then on, although it crashes its endpoints.
func TestCrashAfterHarmlessRuns(t *testing.T) {
	t.Parallel()
	playCrashes(t, func(_ context.Context, end func()) error {
		end()
		return verdict.NewError(verdict.MayHaveRun, verdict.ReasonConnection, port.ErrConnectionLost)
	}, false, true)
}

// TestCrashAfterAnswer plays a request whose endpoints answer it completely and end then:
// each answer counts as proof that it is harmless.
func TestCrashAfterAnswer(t *testing.T) {
	t.Parallel()
	playCrashes(t, func(_ context.Context, end func()) error {
		time.AfterFunc(early, end)
		return nil
	}, false, false)
}
