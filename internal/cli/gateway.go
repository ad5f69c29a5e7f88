package cli

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/pacedconn"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
	"sassafrasreach/platform"
)

const (
	// staleLookupPeriod is how long after a stop begins clients may still arrive
	// because of a cached answer of the directory. Most clients repeat the
	// look-up after two seconds.
	staleLookupPeriod = 3 * time.Second
	// stopMargin is subtracted from the time after which the platform kills the
	// process, so that a stop ends before that.
	stopMargin = 300 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// idleSlack is how much longer a gateway keeps an idle connection than its clients may use
	// it: a request that is sent just before that may wait on a busy link.
	idleSlack = 2 * time.Second
)

// idleTimeout returns how long clients may keep a connection without a request.
func idleTimeout(limits fleet.Limits) time.Duration {
	if limits.IdleTimeout <= 0 {
		return clientIdleTimeout
	}
	return min(limits.IdleTimeout, clientIdleTimeout)
}

// runGateway runs a gateway until its planned stop is complete.
func runGateway(_ context.Context, args []string, stdout, stderr io.Writer) int {
	return withVM("gateway", args, stdout, stderr, func(*flag.FlagSet) {}, serveGateway)
}

func serveGateway(ctx context.Context, p *vmProcess) error {
	g, endpoints := newGateway(p)
	idle := idleconns.New(p.clock, func() idleconns.Limits {
		limits, _ := g.Limits()
		return idleconns.Limits{Header: limits.HeaderTimeout, Idle: idleTimeout(limits) + idleSlack}
	})
	listener, err := listenFor(ctx, "clients", p.settings.ClientListen)
	if err != nil {
		return err
	}
	bodies := intake.New(p.memory, memory.Bodies, p.clock)
	limiter := p.newLimiter("clients", p.openConnections(true), bodies.MakeRoom)
	connState := func(c net.Conn, s http.ConnState) {
		limiter.ConnState(c, s)
		idle.ConnState(c, s)
	}
	pipelines := newClients(p, platform.NewBoundedClients(g, p.clock, bodies, p.refusals), connState, func() time.Duration {
		limits, _ := g.Limits()
		return idleTimeout(limits)
	})
	clients := p.newServer(pipelines, clientHeaderBytes)
	clients.ConnState, clients.ConnContext = pipelines.ConnState, pipelines.ConnContext
	p.serveOn(ctx, "clients", idle.Listener(limiter.Listener(p.traffic.Listener(pacedconn.Listener(pipelinehttp.Listener(listener), p.settings.LinkBitsPerSecond, p.clock)))), clients)
	go wait.Every(ctx, sweepPeriod, idle.Sweep)
	go wait.Every(ctx, sweepPeriod, bodies.Sweep)
	if err := p.serve(ctx, "readiness", p.settings.ReadyListen, platform.NewReadiness(g), sideConnections, nil); err != nil {
		return err
	}
	p.serveMetrics(ctx, func() map[string]int64 {
		out := g.Gauges()
		out["connections.clients"] = int64(limiter.Open())
		out["pipeline.connections"] = pipelines.Connections()
		return out
	})
	go g.Run(ctx)
	go p.reload(ctx, g.SetSeeds)
	go wait.Every(ctx, sweepPeriod, endpoints.Sweep)
	if err := p.awaitStop(); err != nil {
		return err
	}
	stopGateway(ctx, p, g, func(ctx context.Context) error {
		bodies.Stop()
		err := idle.Shutdown(ctx, clients, listener)
		pipelines.AwaitClosed(ctx)
		return err
	})
	return nil
}

// stopGateway serves all requests while clients may still arrive, then those that
// end before the settings' KillAfter less stopMargin, until none is in flight. Those
// that outlast it although they came early are cut off.
func stopGateway(ctx context.Context, p *vmProcess, g *gateway.Gateway, shutdown func(context.Context) error) {
	began := p.clock.Now()
	acceptUntil, end := began.Add(staleLookupPeriod), began.Add(p.settings.KillAfter-stopMargin)
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	g.Stop(acceptUntil, end)
	for ctx.Err() == nil && (p.clock.Now().Before(acceptUntil) || g.InFlight() > 0) {
		wait.For(ctx, drainPollInterval)
	}
	if err := shutdown(ctx); err != nil {
		event.Log(ctx, p.logger, event.StopForced, slog.Int64("in_flight", g.InFlight()))
	}
}
