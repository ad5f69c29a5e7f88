package cli

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"time"

	"sassafrasreach/internal/adapter/idleconns"
	"sassafrasreach/internal/app/gateway"
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
)

// runGateway runs a gateway until its planned stop is complete.
func runGateway(_ context.Context, args []string, stdout, stderr io.Writer) int {
	return withVM("gateway", args, stdout, stderr, serveGateway)
}

func serveGateway(ctx context.Context, p *vmProcess) error {
	g, endpoints := newGateway(p)
	idle := idleconns.New(p.clock, func() idleconns.Limits {
		limits, _ := g.Limits()
		return idleconns.Limits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
	})
	clients, err := p.serve(ctx, "clients", p.settings.ClientListen, platform.NewClients(g, p.clock), idle.ConnState)
	if err != nil {
		return err
	}
	go wait.Every(ctx, sweepPeriod, idle.Sweep)
	if _, err := p.serve(ctx, "readiness", p.settings.ReadyListen, platform.NewReadiness(g), nil); err != nil {
		return err
	}
	p.serveMetrics(ctx, g.Gauges)
	go g.Run(ctx)
	go p.reload(ctx, g.SetSeeds)
	go wait.Every(ctx, sweepPeriod, endpoints.Sweep)
	if err := p.awaitStop(); err != nil {
		return err
	}
	stopGateway(ctx, p, g, clients)
	return nil
}

// stopGateway keeps serving while clients may still arrive, then waits until no
// request is in flight. It cuts off requests that outlast the settings'
// KillAfter less stopMargin.
func stopGateway(ctx context.Context, p *vmProcess, g *gateway.Gateway, clients *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.KillAfter-stopMargin)
	defer cancel()
	began := p.clock.Now()
	g.Stop()
	for ctx.Err() == nil && (p.clock.Now().Sub(began) < staleLookupPeriod || g.InFlight() > 0) {
		wait.For(ctx, drainPollInterval)
	}
	if err := clients.Shutdown(ctx); err != nil {
		event.Log(ctx, p.logger, event.StopForced, slog.Int64("in_flight", g.InFlight()))
	}
}
