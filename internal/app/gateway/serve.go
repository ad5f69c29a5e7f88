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
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// answerMargin is subtracted from a client's deadline for sending the
	// answer back.
	answerMargin = 20 * time.Millisecond
	// minTimeLeft is the remaining time below which a request isn't sent to an
	// endpoint, which couldn't answer in time.
	minTimeLeft = 30 * time.Millisecond
	// maxUnreachable is the number of failures to connect to endpoints, and of slots
	// that can't be used, up to which a request is retried; one more ends it.
	maxUnreachable = 3
	// minAcquireTimeout is the shortest timeout of a slot request: a few round
	// trips to another region.
	minAcquireTimeout = 600 * time.Millisecond
	// noDispatcherRetry is the retry delay given to clients while no
	// configuration or no dispatcher is known: a part of lease.Term, within
	// which the lease of a lost dispatcher expires.
	noDispatcherRetry = 500 * time.Millisecond
)

// errRouteChanged means that a configuration came into force after a request was read
// ahead, and that its route isn't idempotent any more.
var errRouteChanged = errors.New("route is no longer idempotent, and earlier requests of the connection are unanswered")

// inFlightRequest is one client's request with the state of its attempts.
type inFlightRequest struct {
	gateway *Gateway
	request *port.ClientRequest
	table   *fleet.Table
	route   *fleet.Route
	// account is the client's; nil if there is none. priority, regions and weight are
	// those of its request: what the route and the account say together.
	account  *fleet.Account
	priority int
	regions  []string
	weight   float64
	// confirmed is set if the configuration was confirmed when the request was read.
	confirmed bool
	service   string
	// dispatchRegion is the region whose dispatcher grants the slots.
	dispatchRegion string
	// fingerprint identifies the content of the request, whoever sends it.
	fingerprint fingerprint.Fingerprint
	began       time.Time
	// tries counts the attempts at endpoints that could be reached,
	// unreachable those at endpoints that couldn't. heldOff counts the slots that
	// weren't used because their endpoint takes nothing from this gateway.
	tries       int
	unreachable int
	heldOff     int
	exclude     []string
	endpoint    string
	region      string
	waited      time.Duration
	version     uint64
	// alone is set if the request was sent to an endpoint without a dispatcher.
	alone bool
	// cancel ends the context of the attempts; streamed means that this, and the record of
	// the request's end, is left to the end of a streamed response.
	cancel   context.CancelFunc
	streamed bool
	// uncertainErr is the failure of an earlier attempt that may have run; nil
	// if there is none.
	uncertainErr error
}

// Serve implements port.GatewayService.
func (g *Gateway) Serve(ctx context.Context, r *port.ClientRequest) port.ClientAnswer {
	g.inFlight.Add(1)
	x := &inFlightRequest{gateway: g, request: r, began: g.ports.Clock.Now()}
	answer := x.serve(ctx)
	if !x.streamed {
		x.finish(ctx, answer)
	}
	return answer
}

// finish records the end of a request.
func (x *inFlightRequest) finish(ctx context.Context, answer port.ClientAnswer) {
	defer x.gateway.inFlight.Add(-1)
	x.log(ctx, answer)
	x.recordMetrics(answer)
}

func refusal(reason verdict.Reason, cause error, retryAfter time.Duration) port.ClientAnswer {
	return port.ClientAnswer{Err: verdict.NewError(verdict.NotRun, reason, cause), RetryAfter: retryAfter}
}

func (x *inFlightRequest) serve(ctx context.Context) port.ClientAnswer {
	if answer, refused := x.admit(); refused {
		return answer
	}
	if x.needsLease() {
		return x.refuseUnconfirmed()
	}
	if x.request.IdempotentOnly && !x.route.Idempotent {
		return refusal(verdict.ReasonInternal, errRouteChanged, refusedRetry)
	}
	x.service, x.dispatchRegion = x.route.Pick(rand.Float64()), x.chooseDispatchRegion()
	x.request.Service = x.service
	x.request.OnceOnly = !x.route.Idempotent
	x.fingerprint = fingerprint.OfAccount(x.request.Account, x.request.RouteHost, x.request.Method, x.request.Target, x.request.BodyParts()...)
	limit := x.began.Add(x.route.Timeout)
	if d := x.request.Deadline; !d.IsZero() && d.Add(-answerMargin).Before(limit) {
		limit = d.Add(-answerMargin)
	}
	if !x.gateway.stop.Load().serves(x.began, limit) {
		return refusal(verdict.ReasonStopping, nil, refusedRetry)
	}
	x.request.Deadline = limit
	x.setStreaming()
	ctx, x.cancel = context.WithDeadline(ctx, limit)
	answer := x.attempts(ctx)
	if !x.streamed {
		x.cancel()
	}
	return answer
}

// attempts sends the request to endpoints until one has answered or no further
// attempt is allowed.
func (x *inFlightRequest) attempts(ctx context.Context) port.ClientAnswer {
	for {
		answer, again := x.attempt(ctx)
		if !again || x.tries >= x.route.Attempts || x.unreachable > maxUnreachable || x.heldOff > maxUnreachable || ctx.Err() != nil {
			return answer
		}
	}
}

// attempt sends the request to one endpoint; again says that another attempt
// may follow.
func (x *inFlightRequest) attempt(ctx context.Context) (answer port.ClientAnswer, again bool) {
	var slot dispatch.Decision
	if answer, refused := x.refuseBeyondQuota(); refused {
		return answer, false
	}
	address, err := "", errSilent
	if !x.gateway.silent() || !x.acquireAlone(&slot, err) {
		slot, address, err = x.acquire(ctx)
	}
	if err != nil && (x.alone || x.acquireAlone(&slot, err)) {
		answer, _ = x.send(ctx, slot, "")
		return answer, false
	}
	if err != nil {
		return x.withoutSlot(ctx, verdict.ReasonNoDispatcher, err, noDispatcherRetry), false
	}
	if slot.Grant == "" {
		reason, retryAfter := verdict.ReasonOverload, slot.RetryAfter
		switch slot.Reason {
		case dispatch.ReasonNoEndpoint:
			reason = verdict.ReasonNoEndpoint
		case dispatch.ReasonQuota:
			x.recordQuotaRefusal(retryAfter)
			reason = verdict.ReasonQuota
		case dispatch.ReasonQuarantined:
			x.gateway.recordQuarantined(x.fingerprint)
			reason = verdict.ReasonQuarantined
		case dispatch.ReasonRetryBudget:
			// The earlier attempts were granted slots, so this isn't a lack of
			// slots.
			reason, retryAfter = verdict.ReasonShed, refusedRetry
		}
		return x.withoutSlot(ctx, reason, nil, retryAfter), false
	}
	return x.send(ctx, slot, address)
}

// withoutSlot returns the answer of a request that got no slot, or got one too
// late to be sent. If an earlier attempt may have run, its error is the answer.
func (x *inFlightRequest) withoutSlot(ctx context.Context, reason verdict.Reason, err error, retryAfter time.Duration) port.ClientAnswer {
	if x.uncertainErr != nil {
		return port.ClientAnswer{Err: x.uncertainErr}
	}
	if retryAfter == 0 {
		retryAfter = dispatchRetry(x.request.Deadline.Sub(x.gateway.ports.Clock.Now()))
	}
	if ctx.Err() != nil {
		reason = verdict.ReasonDeadline
	}
	return refusal(reason, err, retryAfter)
}

// send sends the request to the endpoint of a granted slot and releases the
// slot at the controller with the address.
func (x *inFlightRequest) send(ctx context.Context, d dispatch.Decision, address string) (port.ClientAnswer, bool) {
	g := x.gateway
	began := g.ports.Clock.Now()
	x.endpoint, x.region = d.Endpoint.ID, d.Region
	use := &slotUse{slot: d, address: address, began: began, outcome: dispatch.Unsent, end: quarantine.NotStarted}
	defer func() {
		if !use.streamed {
			x.endUse(use)
		}
	}()
	if !x.alone {
		x.recordGranted(began, d)
	}
	if g.holds(began, d.Endpoint) {
		// The dispatcher didn't know it when it granted the slot.
		use.signals, use.answered = g.leavingSignal(began, d.Endpoint)
		x.heldOff++
		x.exclude = append(x.exclude, d.Endpoint.ID)
		return x.withoutSlot(ctx, verdict.ReasonNoEndpoint, nil, 0), true
	}
	if x.request.Deadline.Sub(began) < minTimeLeft {
		return x.withoutSlot(ctx, verdict.ReasonDeadline, nil, 0), false
	}
	response, err := g.ports.Endpoints.Call(ctx, x.target(d.Endpoint), &x.request.Request, nil)
	use.observe(ctx, response, err)
	if use.signals, use.answered = signalsOf(response, err); use.answered {
		use.answeredAt = g.ports.Clock.Now()
		g.recordSignals(d.Endpoint, use.signals)
	}
	if use.outcome == dispatch.Unreachable {
		x.unreachable++
		x.exclude = append(x.exclude, d.Endpoint.ID)
	} else {
		// The endpoint isn't excluded from the next attempt: the object is in
		// its cache.
		x.tries++
	}
	if err == nil && response.Begin != nil {
		x.followStream(ctx, use, response)
		return port.ClientAnswer{Response: response}, false
	}
	x.recordRun(use)
	switch {
	case err == nil:
		return port.ClientAnswer{Response: response}, false
	case verdict.Of(err) == verdict.NotRun && x.uncertainErr != nil:
		return port.ClientAnswer{Err: x.uncertainErr}, true
	case verdict.Of(err) == verdict.NotRun:
		return port.ClientAnswer{Err: err, RetryAfter: refusedRetry}, true
	default:
		x.uncertainErr = err
		return port.ClientAnswer{Err: err}, x.route.Idempotent
	}
}

// signalsOf returns what the endpoint said about itself in its answer; false if
// there is no answer.
func signalsOf(response *port.Response, err error) (registry.Signals, bool) {
	var answer *port.AnsweredError
	switch {
	case err == nil:
		return response.Signals, true
	case errors.As(err, &answer):
		return answer.Signals, true
	default:
		return registry.Signals{}, false
	}
}

// refusedRetry is the retry delay given to a client whose request was granted a
// slot but didn't run, for instance because the endpoint refused it. It is short,
// since the client doesn't have to wait for a slot.
const refusedRetry = 50 * time.Millisecond

// dispatchRetry is the retry delay given to a client for which no slot became
// free, a quarter of the time left to its deadline.
func dispatchRetry(left time.Duration) time.Duration { return left / 4 }

func (x *inFlightRequest) target(e registry.Endpoint) port.Endpoint {
	connections := 0
	if s := x.table.Service(x.service); s != nil {
		connections = s.Connections
	}
	return port.Endpoint{ID: e.ID, Incarnation: uint64(e.StartedMillis), Address: e.Address, Connections: connections}
}

// outcomeOf classifies the result of a call for the dispatcher.
func outcomeOf(ctx context.Context, response *port.Response, err error) dispatch.Outcome {
	switch {
	case err == nil && response.Status < http.StatusInternalServerError:
		return dispatch.Served
	case err == nil:
		return dispatch.Failed
	case errors.Is(ctx.Err(), context.Canceled), verdict.ReasonOf(err) == verdict.ReasonCanceled:
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

// runEndOf classifies the end of a run, whatever became of the client meanwhile.
func runEndOf(response *port.Response, err error) quarantine.End {
	return quarantine.Observation{
		Verdict: verdict.Of(err), Failure: err == nil && response.Status >= http.StatusInternalServerError,
		ConnectionLost: errors.Is(err, port.ErrConnectionLost), ConnectionRefused: errors.Is(err, port.ErrConnectionRefused),
	}.End()
}

// acquire requests a slot in the dispatch region and adds the time to waited.
func (x *inFlightRequest) acquire(ctx context.Context) (d dispatch.Decision, address string, err error) {
	began := x.gateway.ports.Clock.Now()
	defer func() { x.waited += x.gateway.ports.Clock.Now().Sub(began) }()
	return x.acquireInRegion(ctx, x.slotRequest())
}

// chooseDispatchRegion returns the region whose dispatcher is used: the
// gateway's own, or a random one of the request's regions if the request may not
// run in its own.
func (x *inFlightRequest) chooseDispatchRegion() string {
	regions := x.regions
	if len(regions) == 0 || slices.Contains(regions, x.gateway.config.Region) {
		return x.gateway.config.Region
	}
	return regions[rand.IntN(len(regions))]
}

// acquireInRegion requests a slot from the known dispatcher of a region and
// then, if there is none or it fails, from the controllers in the order in
// which they would dispatch the region.
func (x *inFlightRequest) acquireInRegion(ctx context.Context, request port.SlotRequest) (dispatch.Decision, string, error) {
	g := x.gateway
	err := fmt.Errorf("%w: no responsive controller is known for region %q", port.ErrNotDispatcher, request.Region)
	for _, address := range g.dispatchersOf(request.Region) {
		var slot dispatch.Decision
		if slot, err = g.acquireFrom(ctx, address, request); err == nil {
			g.recordAnswer(address)
			return slot, address, nil
		}
		if ctx.Err() != nil {
			break
		}
		g.recordFailure(address, err)
		if g.silent() {
			break
		}
	}
	return dispatch.Decision{}, "", err
}

func (g *Gateway) acquireFrom(ctx context.Context, address string, request port.SlotRequest) (dispatch.Decision, error) {
	link, err := g.link(address)
	if err != nil {
		return dispatch.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, max(minAcquireTimeout, request.Target))
	defer cancel()
	return link.Acquire(ctx, request)
}

func (x *inFlightRequest) slotRequest() port.SlotRequest {
	g := x.gateway
	incarnation := fmt.Sprintf("%s/%d", g.config.Name, g.incarnation)
	slotRequest := port.SlotRequest{
		Region: x.dispatchRegion, Suspicions: g.suspicionsOf(x.fingerprint),
		SlotRequest: dispatch.SlotRequest{
			ID: fmt.Sprintf("%s/%d", incarnation, g.serial.Add(1)), Gateway: incarnation, Service: x.service,
			Fingerprint: x.fingerprint,
			Kind:        x.route.Name, Priority: x.priority, Zone: g.config.Zone, Target: x.route.Target,
			Deadline: x.request.Deadline, Retry: !x.first(),
			Exclude: append(g.paused(x.service), x.exclude...), Regions: x.regions,
			Account: x.request.Account, Weight: x.weight, BodyBytes: x.request.BodyBytes(),
		},
	}
	if x.route.Sticky {
		slotRequest.Affinity = x.request.Affinity
		slotRequest.Hint = g.lastServed(x.objectKey())
	}
	return slotRequest
}

// objectKey names the object whose requests go to the same endpoint for its
// cache; empty if the route isn't sticky or the request names no object.
func (x *inFlightRequest) objectKey() string {
	if !x.route.Sticky || x.request.Affinity == "" {
		return ""
	}
	return x.service + "/" + x.route.Name + "/" + x.request.Affinity
}

// recordMetrics records the result of a request.
func (x *inFlightRequest) recordMetrics(a port.ClientAnswer) {
	took := x.gateway.ports.Clock.Now().Sub(x.began)
	if a.Err == nil {
		x.gateway.ports.Meter.RecordRequest(x.service, verdict.Ran, "", took)
	} else {
		x.gateway.ports.Meter.RecordRequest(x.service, verdict.Of(a.Err), verdict.ReasonOf(a.Err), took)
	}
	x.gateway.ports.Meter.RecordSlot(x.service, x.waited, x.tries)
}

// loggedFingerprint is the number of hexadecimal digits of a fingerprint that are
// logged, which are enough to find the requests of the same content.
const loggedFingerprint = 16

// log logs the result of a request.
func (x *inFlightRequest) log(ctx context.Context, a port.ClientAnswer) {
	attrs := []slog.Attr{
		slog.String("request", x.request.ID), slog.Uint64("version", x.version), slog.String("service", x.service),
		slog.String("endpoint", x.endpoint), slog.String("region", x.region), slog.Int("tries", x.tries),
		slog.String("affinity", x.request.Affinity), slog.Int64("waited_ms", x.waited.Milliseconds()),
		slog.Int64("took_ms", x.gateway.ports.Clock.Now().Sub(x.began).Milliseconds()),
	}
	if x.route != nil {
		attrs = append(attrs, slog.String("route", x.route.Name),
			slog.String("fingerprint", x.fingerprint.String()[:loggedFingerprint]))
	}
	if x.account != nil {
		attrs = append(attrs, slog.String("account", x.account.Name))
	}
	if x.alone {
		attrs = append(attrs, slog.Bool("alone", true))
	}
	if x.streamed {
		attrs = append(attrs, slog.Bool("streamed", true))
	}
	if a.Err != nil {
		attrs = append(attrs, slog.String("verdict", verdict.Of(a.Err).String()),
			slog.String("why", a.Err.Error()), slog.Int64("retry_after_ms", a.RetryAfter.Milliseconds()))
	} else {
		attrs = append(attrs, slog.Int("status", a.Response.Status))
	}
	event.Log(ctx, x.gateway.ports.Logger, event.RequestEnded, attrs...)
}
