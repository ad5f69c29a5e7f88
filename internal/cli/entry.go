package cli

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/adapter/grpcmemory"
	"sassafrasreach/internal/adapter/grpcpanic"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/adapter/settings"
	"sassafrasreach/internal/app/entry"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// callerReadTimeout is the maximum time to read a whole request.
	callerReadTimeout = 30 * time.Second
	// sweepPeriod is the time between two sweeps that close idle connections.
	sweepPeriod = time.Second
)

// runEntry runs an entry VM until its planned stop is complete.
func runEntry(ctx context.Context, args []string, _, stderr io.Writer) int {
	return withSettings("entry", args, stderr, settings.LoadEntry, func(path string, config settings.Entry) int {
		logger := newLogger(stderr, config.LogLevel, "entry", config.Name)
		err := serveEntry(ctx, config, logger)
		if errors.Is(err, errUnknownPlace) {
			return fail(stderr, exitUsage, settings.UnknownPlace(path, config.Place))
		}
		if err != nil {
			return fail(stderr, exitFailure, err)
		}
		return exitOK
	})
}

// errUnknownPlace means that the first document that the entry VM received doesn't
// define the place in the entry VM's settings.
var errUnknownPlace = errors.New("the document doesn't define the place in the entry VM's settings")

// entryProcess is the process of an entry VM: the entry and its servers.
type entryProcess struct {
	guard
	entry *entry.Entry
	// bodies reads the bodies of callers' requests, and limiter bounds their connections.
	bodies    *intake.Intake
	limiter   *connlimit.Limiter
	callers   *callerServer
	peers     *grpc.Server
	metrics   *http.Server
	endpoints *endpointhttp.Caller
	logger    *slog.Logger
	failed    chan error
}

func serveEntry(ctx context.Context, config settings.Entry, logger *slog.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	p := newEntryProcess(config, logger)
	if err := p.listen(ctx, config); err != nil {
		return err
	}
	running, cancel := context.WithCancel(ctx)
	defer cancel()
	go p.entry.Run(running)
	go wait.Every(running, sweepPeriod, p.endpoints.Sweep)
	go wait.Every(running, sweepPeriod, p.bodies.Sweep)
	go wait.Every(running, sweepPeriod, p.callers.sweep)
	select {
	case err := <-p.failed:
		return err
	case <-p.entry.PlaceNotListed():
		return errUnknownPlace
	case <-ctx.Done():
	case <-signals:
	}
	p.stop(ctx, signals, config.DrainLimit.Std())
	return nil
}

func newEntryProcess(config settings.Entry, logger *slog.Logger) *entryProcess {
	clock := port.ClockFunc(time.Now)
	incarnation := uint64(time.Now().UnixNano())
	local := localIP(config.PeerListen)
	meter := metrics.New()
	p := &entryProcess{
		guard:  newGuard(config.MemoryBytes, config.MaxDescriptors, logger, meter, clock),
		logger: logger,
		failed: make(chan error, 3),
	}
	p.bodies = intake.New(p.memory, memory.Bodies, clock)
	p.limiter = p.newLimiter("callers", p.openConnections(true), p.bodies.MakeRoom)
	p.endpoints = endpointhttp.New(endpointhttp.Options{Clock: clock, Memory: p.memory})
	p.entry = entry.New(entry.Config{
		Name:        config.Name,
		Place:       config.Place,
		Incarnation: incarnation,
		Control:     config.Control,
		Seeds:       config.Seeds,
		MemoryBytes: config.MemoryBytes,
	}, entry.Ports{
		Clock:     clock,
		Logger:    logger,
		Peers:     peergrpc.NewClient(clock, local, p.memory),
		Control:   peergrpc.NewControlClient(clock, local),
		Endpoints: p.endpoints,
		Meter:     meter,
		Memory:    p.memory,
	})
	p.peers = grpc.NewServer(slices.Concat(peergrpc.ServerOptions(), grpcpanic.Options(logger),
		peergrpc.MemoryOptions(p.memory), []grpc.ServerOption{grpcmemory.Option(p.memory)})...)
	peergrpc.Register(p.peers, p.entry, clock)
	p.newServers(config.Name, meter)
	event.Log(context.Background(), logger, event.Started, slog.Uint64("incarnation", incarnation))
	return p
}

// newServers sets up the servers of callers and of metrics.
func (p *entryProcess) newServers(name string, meter *metrics.Meter) {
	gauges := meter.Handler(p.gauges("callers", p.limiter))
	p.callers = newCallerServer(callerhttp.New(callerhttp.Options{
		Entry: p.entry, Name: name, Clock: p.clock, Bodies: p.bodies, Refusals: p.refusals, Metrics: gauges, Stopping: p.entry.Stopping,
	}), p.limiter, p.openConnections(true)/lingerDivisor, p.clock)
	p.callers.http.ReadTimeout = callerReadTimeout
	p.metrics = &http.Server{Handler: callerhttp.NewHealth(p.entry, gauges), ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
}

// localIP returns the IP address of the listener for peers, by which other VMs know
// this VM. It is nil when the VM listens on all addresses.
func localIP(address string) net.IP {
	ap, err := netip.ParseAddrPort(address)
	if err != nil || ap.Addr().IsUnspecified() {
		return nil
	}
	return ap.Addr().AsSlice()
}

// listen opens the listeners for peers, callers and, if configured, metrics, and
// serves on them.
func (p *entryProcess) listen(ctx context.Context, config settings.Entry) error {
	peers, err := listenFor(ctx, "peers", config.PeerListen)
	if err != nil {
		return err
	}
	if p.callers.listener, err = listenFor(ctx, "callers", config.CallerListen); err != nil {
		_ = peers.Close()
		return err
	}
	if err := p.listenMetrics(ctx, config.MetricsListen); err != nil {
		_ = peers.Close()
		_ = p.callers.listener.Close()
		return err
	}
	go func() { p.report(p.peers.Serve(peers)) }()
	go func() { p.report(p.callers.serve()) }()
	event.Log(ctx, p.logger, event.Listening, slog.String("for", "peers"), slog.String("address", config.PeerListen))
	event.Log(ctx, p.logger, event.Listening, slog.String("for", "callers"), slog.String("address", config.CallerListen))
	return nil
}

// listenMetrics opens the separate listener for metrics and health, unless the
// address is empty.
func (p *entryProcess) listenMetrics(ctx context.Context, address string) error {
	if address == "" {
		return nil
	}
	listener, err := listenFor(ctx, "metrics", address)
	if err != nil {
		return err
	}
	go func() { p.report(p.metrics.Serve(p.sideListener("metrics", listener, p.metrics))) }()
	event.Log(ctx, p.logger, event.Listening, slog.String("for", "metrics"), slog.String("address", address))
	return nil
}

// report logs the error that ended a server and sends it to failed, unless the
// server was stopped as planned.
func (p *entryProcess) report(err error) {
	if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) {
		return
	}
	event.Log(context.Background(), p.logger, event.ServeFailed, slog.String("error", err.Error()))
	p.failed <- err
}

// stop drains the entry and closes its listeners. A second signal or the limit ends
// the drain early.
func (p *entryProcess) stop(ctx context.Context, signals <-chan os.Signal, limit time.Duration) {
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	cut := p.entry.Drain(ctx)
	if cut == 0 {
		p.bodies.Stop()
		_ = p.callers.shutdown(ctx)
		stopGracefully(ctx, p.peers)
	}
	if cut > 0 {
		event.Log(ctx, p.logger, event.StopForced, slog.Int64("cut_off", cut))
	}
	_ = p.callers.http.Close()
	_ = p.metrics.Close()
	p.peers.Stop()
	event.Log(ctx, p.logger, event.Stopped,
		slog.Duration("drain_time", time.Since(start)), slog.Int64("cut_off", cut))
}

// peerStopLimit is the maximum wait for the calls of peers to end once no request is
// in flight; unresponsive connections would delay the stop.
const peerStopLimit = time.Second

// stopGracefully stops the server once the calls of peers have ended, and waits for
// that for at most peerStopLimit.
func stopGracefully(ctx context.Context, server *grpc.Server) {
	ctx, cancel := context.WithTimeout(ctx, peerStopLimit)
	defer cancel()
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
