package cli

import (
	"context"
	"flag"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/bootclock"
	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/adapter/fleetgrpc"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/logsink"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/pipelinehttp"
	"sassafrasreach/internal/adapter/traffic"
	"sassafrasreach/internal/app/controller"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
	"sassafrasreach/platform"
)

const (
	// clientIdleTimeout bounds how long clients may keep an idle connection, whatever the
	// configuration says. It is less than lastIdleTimeout.
	clientIdleTimeout = 2 * time.Minute
	// lingerDivisor gives the connections that may linger behind their last response, as a
	// part of the open ones. Most end when their client has read it.
	lingerDivisor = 8
	// clientHeaderTimeout is the maximum time to read the header of a request.
	clientHeaderTimeout = 10 * time.Second
	// clientHeaderBytes is the maximum size of a request's header; the
	// configuration's own limit is checked after it.
	clientHeaderBytes = 256 << 10
	// headerBytes is the maximum size of the header of any other request. Endpoints and
	// operators send a few hundred bytes.
	headerBytes = 16 << 10
	// endpointIdleTimeout is how long after its last response a connection to an
	// endpoint may be used for an idempotent request, unless the endpoint states how
	// long. Endpoints close idle connections some seconds later.
	endpointIdleTimeout = 4 * time.Second
	// endpointMaxStatedIdle bounds the time that an endpoint states.
	endpointMaxStatedIdle = 30 * time.Second
	// endpointMaxIdle bounds the idle connections to endpoints: a gateway with 10 requests
	// a second to 260 endpoints has 90 with a limit of 9 s, and the smallest one 2,870
	// descriptors for everything.
	endpointMaxIdle = 512
	// settingsPeriod is the time between two reloads of the settings file.
	settingsPeriod = 2 * time.Second
	// droppedPeriod is the time between two reports of dropped log records.
	droppedPeriod = 5 * time.Second
)

// vmProcess holds what the processes of controllers and gateways have in common.
type vmProcess struct {
	guard
	path     string
	settings platform.Settings
	sink     *logsink.Sink
	logger   *slog.Logger
	// boot goes on while the VM is suspended.
	boot  port.BootClock
	meter *metrics.Meter
	// fleetListen is the IP:port at which a controller listens for gateways and
	// controllers, if it differs from the address that it announces; else empty.
	fleetListen string
	// metricsPort is the port at which metrics are served; 0 disables them.
	metricsPort int
	// items is the codec of the messages between gateways and controllers.
	items *fleetgrpc.ItemFilter
	// traffic counts the bytes of clients' and endpoints' connections.
	traffic *traffic.Counter
	// learnLimits is the flag of a controller.
	learnLimits dispatch.LimitScope
	failed      chan error
}

// withVM parses the arguments, loads the settings of a controller or gateway and
// calls run. define defines further flags. It returns the exit code.
func withVM(
	name string, args []string, stdout, stderr io.Writer, define func(*flag.FlagSet), run func(ctx context.Context, p *vmProcess) error,
) int {
	flags := newFlags(name, "[-settings FILE]", stderr)
	path := flags.String("settings", platform.SettingsPath(), "settings file that the platform wrote for this process")
	fleetListen := flags.String("fleet-listen", "", "IP:port to listen on for other VMs, if it differs from the address that they connect to")
	metricsPort := flags.Int("metrics", 0, "port to serve metrics on, at the path /metrics; 0 disables it")
	define(flags)
	check := flags.Bool("check", false, "check the settings and exit")
	if code, done := parse(flags, args); done {
		return code
	}
	settings, err := platform.LoadSettings(*path)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	if *check {
		return exitOK
	}
	boot, err := bootclock.New()
	if err != nil {
		return fail(stderr, exitFailure, err)
	}
	sink := logsink.New(stdout)
	defer sink.Flush()
	p := &vmProcess{
		path: *path, settings: settings, sink: sink, logger: newLogger(sink, "info", name, settings.Name),
		boot: boot, meter: metrics.New(), metricsPort: *metricsPort, fleetListen: *fleetListen, failed: make(chan error, 4), traffic: &traffic.Counter{},
	}
	p.guard = newGuard(settings.MemoryBytes, int64(settings.Descriptors), p.logger, p.meter, port.ClockFunc(time.Now))
	p.items = fleetgrpc.NewItemFilter(p.logger, p.meter)
	event.Log(context.Background(), p.logger, event.Started, slog.String("zone", settings.Zone),
		slog.String("region", settings.Region), slog.Any("seeds", settings.Seeds), slog.Bool("founding", settings.Bootstrap))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go wait.Every(ctx, droppedPeriod, p.reportDropped)
	if err := run(ctx, p); err != nil {
		event.Log(ctx, p.logger, event.ServeFailed, slog.Any("error", err))
		return fail(stderr, exitFailure, err)
	}
	event.Log(ctx, p.logger, event.Stopped)
	return exitOK
}

func (p *vmProcess) reportDropped() {
	if n := p.sink.Dropped(); n > 0 {
		event.Log(context.Background(), p.logger, event.RecordsDropped, slog.Int64("records", n))
	}
}

// reload updates the seeds from the settings file every settingsPeriod and on
// SIGHUP, until ctx ends.
func (p *vmProcess) reload(ctx context.Context, setSeeds func([]string)) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	ticker := time.NewTicker(settingsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
		case <-ticker.C:
		}
		p.reloadOnce(ctx, setSeeds)
	}
}

// reloadOnce loads the settings file and sets its seeds if they have changed. When
// the file can't be loaded, it logs that and keeps the old settings.
func (p *vmProcess) reloadOnce(ctx context.Context, setSeeds func([]string)) {
	fresh, err := platform.LoadSettings(p.path)
	if err != nil {
		event.Log(ctx, p.logger, event.SettingsFailed, slog.Any("error", err))
		return
	}
	if slices.Equal(fresh.Seeds, p.settings.Seeds) {
		return
	}
	p.settings = fresh
	setSeeds(fresh.Seeds)
	event.Log(ctx, p.logger, event.SettingsLoaded, slog.Any("seeds", fresh.Seeds))
}

// serve serves HTTP at an address, with a bound on connections. makeRoom ends a request
// that doesn't get on; it may be nil.
func (p *vmProcess) serve(ctx context.Context, clients, address string, h http.Handler, maxConnections int, makeRoom func() bool) error {
	listener, err := listenFor(ctx, clients, address)
	if err != nil {
		return err
	}
	limiter := p.newLimiter(clients, maxConnections, makeRoom)
	server := p.newServer(h, headerBytes)
	server.ConnState = limiter.ConnState
	p.serveOn(ctx, clients, limiter.Listener(listener), server)
	return nil
}

// newServer returns an HTTP server. A request's header has maxHeaderBytes at most.
func (p *vmProcess) newServer(h http.Handler, maxHeaderBytes int) *http.Server {
	return &http.Server{
		Handler: h, IdleTimeout: lastIdleTimeout, ReadHeaderTimeout: clientHeaderTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
}

// serveOn serves HTTP on a listener.
func (p *vmProcess) serveOn(ctx context.Context, clients string, listener net.Listener, server *http.Server) {
	event.Log(ctx, p.logger, event.Listening, slog.String("for", clients), slog.String("address", listener.Addr().String()))
	go func() { p.failed <- server.Serve(listener) }()
}

// serveMetrics serves the process's metrics, if a port is set. If it can't listen on
// the port, it logs that, and the process runs without metrics: serving requests
// has priority.
func (p *vmProcess) serveMetrics(ctx context.Context, gauges func() map[string]int64) {
	if p.metricsPort == 0 {
		return
	}
	routes := chi.NewRouter()
	routes.Method(http.MethodGet, "/metrics", p.meter.Handler(func() map[string]int64 {
		out := gauges()
		maps.Copy(out, p.memoryGauges())
		return out
	}))
	address := net.JoinHostPort(p.settings.IP.String(), strconv.Itoa(p.metricsPort))
	if err := p.serve(ctx, "metrics", address, intake.IgnoreBodies(routes), sideConnections, nil); err != nil {
		event.Log(ctx, p.logger, event.ServeFailed, slog.Any("error", err))
	}
}

// awaitStop waits for SIGTERM or SIGINT, or returns the error of a failed server.
func (p *vmProcess) awaitStop() error {
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(stops)
	select {
	case err := <-p.failed:
		return err
	case <-stops:
		return nil
	}
}

// dial returns a client of the controller at an address.
func (p *vmProcess) dial(address string) (*fleetgrpc.Client, error) {
	return fleetgrpc.NewClient(address, p.settings.IP, p.clock, p.items.ClientOption())
}

// newGateway returns a gateway and the HTTP client with which it sends requests to
// the platform's endpoints.
func newGateway(p *vmProcess) (*gateway.Gateway, *endpointhttp.Caller) {
	endpoints := endpointhttp.New(endpointhttp.Options{
		Clock: p.clock, HeaderConvention: platform.HeaderConvention(), IdleTimeout: endpointIdleTimeout,
		Memory: p.memory, Traffic: p.traffic,
		MaxStatedIdle: endpointMaxStatedIdle, MaxIdleConnections: endpointMaxIdle, ResendReset: true,
		OnConnection: func(origin endpointhttp.Origin) { p.meter.RecordConnection(string(origin)) },
	})
	g := gateway.New(gateway.Config{
		Name: p.settings.Name, Address: p.settings.ClientListen,
		Zone: p.settings.Zone, Region: p.settings.Region, Seeds: p.settings.Seeds, LinkBitsPerSecond: p.settings.LinkBitsPerSecond,
		RevocationBound: p.settings.RevocationBound,
	}, gateway.Ports{
		Traffic: p.traffic.Totals,
		Clock:   p.clock, Boot: p.boot, Logger: p.logger, Endpoints: endpoints, Meter: p.meter,
		Dial: func(address string) (port.ControllerLink, error) { return p.dial(address) },
	})
	return g, endpoints
}

// newClients returns the handler of clients that may send further requests before the
// first one has been answered. connState is called as by http.Server; idleTimeout returns how
// long clients may keep a connection without a request.
func newClients(p *vmProcess, clients platform.Clients, connState func(net.Conn, http.ConnState), idleTimeout func() time.Duration) *pipelinehttp.Handler {
	return pipelinehttp.New(clients, pipelinehttp.Options{
		Clock: p.clock, Logger: p.logger, Meter: p.meter, ConnState: connState, Budget: p.memory,
		RequestID: platform.RequestID, ClientIdleTimeout: idleTimeout, MaxLingering: p.openConnections(true) / lingerDivisor,
		HeaderBytes: clientHeaderBytes, HeaderTimeout: clientHeaderTimeout, IdleTimeout: lastIdleTimeout,
	})
}

// newController returns a controller with the platform's settings.
func newController(p *vmProcess, store port.VoterStore, hints port.HintStore, evidence port.EvidenceStore) (*controller.Controller, error) {
	return controller.New(controller.Config{
		Name: p.settings.Name, Address: p.settings.FleetAddress, Zone: p.settings.Zone, Region: p.settings.Region,
		Zones: p.settings.Zones, Seeds: p.settings.Seeds, Bootstrap: p.settings.Bootstrap, Retries: p.settings.Retries, MaxShift: p.settings.MaxShift,
		LearnLimits:     p.learnLimits,
		ToleratedLosses: p.settings.ToleratedLosses, Quotas: p.settings.Quotas, RevocationBound: p.settings.RevocationBound,
	}, controller.Ports{
		Clock: p.clock, Boot: p.boot, Logger: p.logger, Store: store, Hints: hints, Evidence: evidence, Meter: p.meter, Decoder: platform.ConfigDecoder{},
		Dial: func(address string) (port.ControllerPeer, error) { return p.dial(address) },
	})
}
