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
	// lookupAge is how long after a stop began clients may still come with an old
	// answer of the directory: most ask again after two seconds.
	lookupAge = 3 * time.Second
	// stopMargin is kept back from the time until the process is ended by force.
	stopMargin = 300 * time.Millisecond
	// drainPoll is the time between two looks at the requests in flight.
	drainPoll = 20 * time.Millisecond
)

// runGateway runs a gateway until a planned stop has ended.
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
	go wait.Each(ctx, sweepPeriod, idle.Sweep)
	if _, err := p.serve(ctx, "readiness", p.settings.ReadyListen, platform.NewReadiness(g), nil); err != nil {
		return err
	}
	p.serveMetrics(ctx, g.Gauges)
	go g.Run(ctx)
	go p.reload(ctx, g.SetSeeds)
	go wait.Each(ctx, sweepPeriod, endpoints.Sweep)
	if err := p.awaitStop(); err != nil {
		return err
	}
	stopGateway(ctx, p, g, clients)
	return nil
}

// stopGateway serves on while clients may still come, and then ends when the
// last request has.
func stopGateway(ctx context.Context, p *vmProcess, g *gateway.Gateway, clients *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, p.settings.StopWithin-stopMargin)
	defer cancel()
	began := p.clock.Now()
	g.Stop()
	for ctx.Err() == nil && (p.clock.Now().Sub(began) < lookupAge || g.InFlight() > 0) {
		wait.For(ctx, drainPoll)
	}
	if err := clients.Shutdown(ctx); err != nil {
		event.Log(ctx, p.logger, event.StopForced, slog.Int64("in_flight", g.InFlight()))
	}
}
