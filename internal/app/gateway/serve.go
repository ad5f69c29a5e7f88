package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// answerMargin is kept back from a client's deadline for the answer's way.
	answerMargin = 20 * time.Millisecond
	// fewestLeft is the time below which a request isn't sent to an endpoint: it
	// couldn't answer any more.
	fewestLeft = 30 * time.Millisecond
	// mostMisses bounds the endpoints that a request tries to reach in vain.
	mostMisses = 3
	// askFloor is the shortest time that a dispatcher is given for an answer: a few
	// round trips to another region.
	askFloor = 600 * time.Millisecond
	// noDispatcherRetry is when a client returns while no dispatcher is known: a
	// lease ends after about as long.
	noDispatcherRetry = 500 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	gateway *Gateway
	request *port.ClientRequest
	table   *fleet.Table
	route   *fleet.Route
	service string
	// home is the region whose dispatcher grants the slots.
	home  string
	began time.Time
	// tries counts how often the request was sent, and misses the endpoints that
	// couldn't be reached.
	tries    int
	misses   int
	exclude  []string
	endpoint string
	region   string
	waited   time.Duration
	version  uint64
	// open is the failure of an earlier try that may have run; nil if none.
	open error
}

// Serve implements port.GatewayService.
func (g *Gateway) Serve(ctx context.Context, r *port.ClientRequest) port.ClientAnswer {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	x := &exchange{gateway: g, request: r, began: g.ports.Clock.Now()}
	answer := x.serve(ctx)
	x.log(ctx, answer)
	x.measure(answer)
	return answer
}

func refusal(reason verdict.Reason, cause error, retryAfter time.Duration) port.ClientAnswer {
	return port.ClientAnswer{Err: verdict.NewError(verdict.NotRun, reason, cause), RetryAfter: retryAfter}
}

func (x *exchange) serve(ctx context.Context) port.ClientAnswer {
	x.table = x.gateway.table.Load()
	if x.table == nil {
		return refusal(verdict.ReasonNoDocument, nil, noDispatcherRetry)
	}
	x.version = x.table.Config().Version
	x.route = x.table.Route(x.request.RouteHost, x.request.Path)
	if x.route == nil {
		return refusal(verdict.ReasonNoRoute, nil, 0)
	}
	x.service, x.home = x.route.Pick(rand.Float64()), x.homeRegion()
	x.request.Service = x.service
	x.request.OnceOnly = !x.route.Idempotent
	limit := x.began.Add(x.route.Timeout)
	if d := x.request.Deadline; !d.IsZero() && d.Add(-answerMargin).Before(limit) {
		limit = d.Add(-answerMargin)
	}
	x.request.Deadline = limit
	ctx, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	return x.attempts(ctx)
}

// attempts sends the request to endpoints until one has answered or none may
// be asked any more.
func (x *exchange) attempts(ctx context.Context) port.ClientAnswer {
	for {
		answer, again := x.attempt(ctx)
		if !again || x.tries >= x.route.Attempts || x.misses > mostMisses || ctx.Err() != nil {
			return answer
		}
	}
}

// attempt sends the request to one endpoint; again says that another may be
// asked.
func (x *exchange) attempt(ctx context.Context) (answer port.ClientAnswer, again bool) {
	slot, address, err := x.acquire(ctx)
	if err != nil {
		return x.unserved(ctx, verdict.ReasonNoDispatcher, err, noDispatcherRetry), false
	}
	if slot.Grant == "" {
		reason, retryAfter := verdict.ReasonOverload, slot.RetryAfter
		switch slot.Reason {
		case dispatch.ReasonNoEndpoint:
			reason = verdict.ReasonNoEndpoint
		case dispatch.ReasonRetryBudget:
			// The endpoint refused it, not for want of slots.
			reason, retryAfter = verdict.ReasonShed, refusedRetry
		}
		return x.unserved(ctx, reason, nil, retryAfter), false
	}
	return x.send(ctx, slot, address)
}

// unserved ends a request for which no slot was found. What an earlier try may
// have run stays open.
func (x *exchange) unserved(ctx context.Context, reason verdict.Reason, err error, retryAfter time.Duration) port.ClientAnswer {
	if x.open != nil {
		return port.ClientAnswer{Err: x.open}
	}
	if retryAfter == 0 {
		retryAfter = dispatchRetry(x.request.Deadline.Sub(x.gateway.ports.Clock.Now()))
	}
	if ctx.Err() != nil {
		reason = verdict.ReasonDeadline
	}
	return refusal(reason, err, retryAfter)
}

// send uses a slot.
func (x *exchange) send(ctx context.Context, d dispatch.Decision, address string) (port.ClientAnswer, bool) {
	g := x.gateway
	began := g.ports.Clock.Now()
	x.endpoint, x.region = d.Endpoint.ID, d.Region
	outcome := dispatch.Unsent
	defer func() {
		g.release(address, port.SlotRelease{
			Region: x.home, Grant: d.Grant, Outcome: outcome, Took: g.ports.Clock.Now().Sub(began),
		})
	}()
	if x.request.Deadline.Sub(began) < fewestLeft {
		return x.unserved(ctx, verdict.ReasonDeadline, nil, 0), false
	}
	response, err := g.ports.Endpoints.Call(ctx, x.target(d.Endpoint), &x.request.Request, nil)
	outcome = outcomeOf(ctx, response, err)
	if outcome == dispatch.Unreachable {
		x.misses++
		x.exclude = append(x.exclude, d.Endpoint.ID)
	} else {
		// It may be sent there again: the object is warm at it.
		x.tries++
	}
	if outcome == dispatch.Served {
		g.remember(x.object(), d.Endpoint.ID)
	}
	switch {
	case err == nil:
		return port.ClientAnswer{Response: response}, false
	case verdict.Of(err) == verdict.NotRun && x.open != nil:
		return port.ClientAnswer{Err: x.open}, true
	case verdict.Of(err) == verdict.NotRun:
		return port.ClientAnswer{Err: err, RetryAfter: refusedRetry}, true
	default:
		x.open = err
		return port.ClientAnswer{Err: err}, x.route.Idempotent
	}
}

// refusedRetry is when a client returns whose request endpoints refused although
// they had a free slot: soon, since nothing has to be waited for.
const refusedRetry = 50 * time.Millisecond

// dispatchRetry is when a client returns for which no slot came free.
func dispatchRetry(left time.Duration) time.Duration { return left / 4 }

func (x *exchange) target(e registry.Endpoint) port.Endpoint {
	connections := 0
	if s := x.table.Service(x.service); s != nil {
		connections = s.Connections
	}
	return port.Endpoint{ID: e.ID, Incarnation: uint64(e.Born), Address: e.Address, Connections: connections}
}

// outcomeOf classes the end of a call for the dispatcher.
func outcomeOf(ctx context.Context, response *port.Response, err error) dispatch.Outcome {
	switch {
	case err == nil && response.Status < http.StatusInternalServerError:
		return dispatch.Served
	case err == nil:
		return dispatch.Failed
	case errors.Is(ctx.Err(), context.Canceled):
		return dispatch.Unsent
	case verdict.Of(err) == verdict.NotRun && verdict.ReasonOf(err) == verdict.ReasonShed:
		return dispatch.Refused
	case verdict.ReasonOf(err) == verdict.ReasonBadAnswer || verdict.ReasonOf(err) == verdict.ReasonDeadline:
		return dispatch.Failed
	case verdict.ReasonOf(err) == verdict.ReasonDial:
		return dispatch.Unreachable
	default:
		return dispatch.Broken
	}
}

// acquire asks the dispatcher of the home region for a slot.
func (x *exchange) acquire(ctx context.Context) (d dispatch.Decision, address string, err error) {
	began := x.gateway.ports.Clock.Now()
	defer func() { x.waited += x.gateway.ports.Clock.Now().Sub(began) }()
	return x.askRegion(ctx, x.ask())
}

// homeRegion is the region whose dispatcher is asked: the gateway's own, unless
// the request may not run there.
func (x *exchange) homeRegion() string {
	homes := x.route.Homes
	if len(homes) == 0 || slices.Contains(homes, x.gateway.config.Region) {
		return x.gateway.config.Region
	}
	return homes[rand.IntN(len(homes))]
}

// askRegion asks the holder of a region, or if none is known or in reach the
// controllers in the order in which they would dispatch it.
func (x *exchange) askRegion(ctx context.Context, ask port.AskSlot) (dispatch.Decision, string, error) {
	g := x.gateway
	err := fmt.Errorf("%w: region %q has none", port.ErrNotDispatcher, ask.Region)
	for _, address := range g.dispatchersOf(ask.Region) {
		var slot dispatch.Decision
		if slot, err = g.askOne(ctx, address, ask); err == nil {
			g.answered(address)
			return slot, address, nil
		}
		if ctx.Err() != nil {
			break
		}
		g.ignore(address, err)
	}
	return dispatch.Decision{}, "", err
}

func (g *Gateway) askOne(ctx context.Context, address string, ask port.AskSlot) (dispatch.Decision, error) {
	link, err := g.link(address)
	if err != nil {
		return dispatch.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(askFloor, ask.Target))
	defer cancel()
	return link.Acquire(ctx, ask)
}

func (x *exchange) ask() port.AskSlot {
	g := x.gateway
	incarnation := fmt.Sprintf("%s/%d", g.config.Name, g.incarnation)
	ask := port.AskSlot{
		Region: x.home,
		Ask: dispatch.Ask{
			ID: fmt.Sprintf("%s/%d", incarnation, g.serial.Add(1)), Gateway: incarnation, Service: x.service,
			Kind: x.route.Name, Priority: x.route.Priority, Zone: g.config.Zone, Target: x.route.Target,
			Deadline: x.request.Deadline, Again: x.tries+x.misses > 0, Exclude: x.exclude, Homes: x.route.Homes,
		},
	}
	if x.route.Sticky {
		ask.Affinity = x.request.Affinity
		ask.Hint = g.lastServed(x.object())
	}
	return ask
}

// object names what the request concerns; empty if nothing.
func (x *exchange) object() string {
	if !x.route.Sticky || x.request.Affinity == "" {
		return ""
	}
	return x.service + "/" + x.route.Name + "/" + x.request.Affinity
}

// measure counts the end of a request.
func (x *exchange) measure(a port.ClientAnswer) {
	took := x.gateway.ports.Clock.Now().Sub(x.began)
	if a.Err == nil {
		x.gateway.ports.Meter.Request(x.service, verdict.Ran, "", took)
	} else {
		x.gateway.ports.Meter.Request(x.service, verdict.Of(a.Err), verdict.ReasonOf(a.Err), took)
	}
	x.gateway.ports.Meter.Slot(x.service, x.waited, x.tries)
}

// log writes the end of a request.
func (x *exchange) log(ctx context.Context, a port.ClientAnswer) {
	attrs := []slog.Attr{
		slog.String("request", x.request.ID), slog.Uint64("version", x.version), slog.String("service", x.service),
		slog.String("endpoint", x.endpoint), slog.String("region", x.region), slog.Int("tries", x.tries),
		slog.String("affinity", x.request.Affinity), slog.Int64("waited_ms", x.waited.Milliseconds()),
		slog.Int64("took_ms", x.gateway.ports.Clock.Now().Sub(x.began).Milliseconds()),
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name))
	}
	if a.Err != nil {
		attrs = append(attrs, slog.String("verdict", verdict.Of(a.Err).String()),
			slog.String("why", a.Err.Error()), slog.Int64("retry_after_ms", a.RetryAfter.Milliseconds()))
	} else {
		attrs = append(attrs, slog.Int("status", a.Response.Status))
	}
	event.Log(ctx, x.gateway.ports.Logger, event.RequestEnded, attrs...)
}
