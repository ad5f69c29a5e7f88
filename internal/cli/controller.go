package cli

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"time"

	"sassafrasreach/internal/adapter/disk"
	"sassafrasreach/internal/adapter/fleetgrpc"
	"sassafrasreach/internal/adapter/grpcmemory"
	"sassafrasreach/internal/adapter/grpcpanic"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
	"sassafrasreach/platform"
)

const (
	// handOverPeriod is how long a stopping controller keeps serving, so that other
	// controllers take over what it dispatches: a few rounds of gossip.
	handOverPeriod = time.Second
	// maxHandOverPeriod is how long it keeps serving at most, until another disk votes
	// in place of its own.
	maxHandOverPeriod = 3 * time.Second
	// handOverCheckPeriod is the time between two checks of that.
	handOverCheckPeriod = 50 * time.Millisecond
)

// runController runs a controller until SIGTERM or SIGINT.
func runController(_ context.Context, args []string, stdout, stderr io.Writer) int {
	learnLimits := dispatch.LimitAll
	define := func(flags *flag.FlagSet) {
		flags.Func("learn-limits", "endpoints whose concurrency is limited by what their run times show: none, half or all (default all)",
			func(text string) error { return setScope(&learnLimits, text) })
	}
	return withVM("controller", args, stdout, stderr, define, func(ctx context.Context, p *vmProcess) error {
		p.learnLimits = learnLimits
		return serveController(ctx, p)
	})
}

// setScope sets a scope to the value of a flag.
func setScope(scope *dispatch.LimitScope, text string) error {
	if *scope = dispatch.LimitScope(text); !scope.Valid() {
		return fmt.Errorf("%q is none of none, half and all", text)
	}
	return nil
}

func serveController(ctx context.Context, p *vmProcess) error {
	store, err := disk.OpenVoterStore(disk.OS{}, p.settings.DataDir, func(err error) {
		event.Log(ctx, p.logger, event.StoreFailed, slog.Any("error", err))
	})
	if err != nil {
		return err
	}
	c, err := newController(p, store, disk.NewHintStore(disk.OS{}, p.settings.DataDir, p.clock), disk.NewEvidenceStore(disk.OS{}, p.settings.DataDir, p.clock))
	if err != nil {
		return err
	}
	listener, err := listenFor(ctx, "gateways and controllers", cmp.Or(p.fleetListen, p.settings.FleetAddress))
	if err != nil {
		return err
	}
	fleet := fleetgrpc.NewServer(c, p.clock, append(grpcpanic.Options(p.logger), p.items.ServerOption(), grpcmemory.Option(p.memory))...)
	go func() { p.failed <- fleet.Serve(listener) }()
	bodies := intake.New(p.memory, memory.Orders, p.clock)
	control := platform.NewControl(platform.ControlOptions{
		OperatorService: c, EndpointService: c, Clock: p.clock, Zones: p.settings.Zones, Bodies: bodies, Refusals: p.refusals,
	})
	go wait.Every(ctx, sweepPeriod, bodies.Sweep)
	half := p.openConnections(false) / 2
	if err := p.serve(ctx, "operators", p.settings.OperatorListen, control, half, bodies.MakeRoom); err != nil {
		return err
	}
	lookups := platform.NewDirectory(c, p.settings.MaxDirectoryTTL)
	if err := p.serve(ctx, "look-ups", p.settings.DirectoryListen, lookups, half, nil); err != nil {
		return err
	}
	p.serveMetrics(ctx, c.Gauges)
	go c.Run(ctx)
	go p.reload(ctx, c.SetSeeds)
	if err := p.awaitStop(); err != nil {
		return err
	}
	c.Stop()
	time.Sleep(handOverPeriod)
	for left := maxHandOverPeriod - handOverPeriod; left > 0 && !c.HandedOver(); left -= handOverCheckPeriod {
		time.Sleep(handOverCheckPeriod)
	}
	return nil
}
