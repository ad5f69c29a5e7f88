package cli

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/endpointhttp"
	"sassafrasreach/internal/adapter/fleetgrpc"
	"sassafrasreach/internal/adapter/logsink"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/controller"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
	"sassafrasreach/platform"
)

const (
	// clientIdleTimeout is how long a client's connection may carry nothing; longer
	// than what configurations allow clients, which then close first.
	clientIdleTimeout = 2 * time.Minute
	// clientHeaderTimeout bounds the time to read a request's head.
	clientHeaderTimeout = 10 * time.Second
	// clientHeaderBytes bounds a request's head before the configuration's own
	// limit is applied.
	clientHeaderBytes = 256 << 10
	// endpointIdleTimeout is how long after its last answer a connection to an
	// endpoint may carry an idempotent request: endpoints close theirs after some
	// seconds more.
	endpointIdleTimeout = 4 * time.Second
	// settingsPeriod is the time between two looks at the settings file.
	settingsPeriod = 2 * time.Second
	// droppedPeriod is the time between two reports of dropped log records.
	droppedPeriod = 5 * time.Second
)

// vmProcess is what the processes of the fleet have in common.
type vmProcess struct {
	path     string
	settings platform.Settings
	sink     *logsink.Sink
	logger   *slog.Logger
	clock    port.Clock
	meter    *metrics.Meter
	// fleetListen is where a controller listens for the fleet, if that isn't the
	// address that others are told.
	fleetListen string
	// metricsPort is where metrics are served; 0 means nowhere.
	metricsPort int
	failed      chan error
}

// withVM reads the arguments and settings of a process of the fleet and runs it.
func withVM(name string, args []string, stdout, stderr io.Writer, run func(ctx context.Context, p *vmProcess) error) int {
	flags := newFlags(name, "[-settings FILE]", stderr)
	path := flags.String("settings", platform.SettingsPath(), "the platform's settings file of this process")
	fleetListen := flags.String("fleet-listen", "", "the address (IP:port) to listen at for other VMs, if they reach it at another")
	metricsPort := flags.Int("metrics", 0, "the port to serve metrics at, under /metrics; 0 for none")
	check := flags.Bool("check", false, "only check the settings")
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
	sink := logsink.New(stdout)
	defer sink.Flush()
	p := &vmProcess{
		path: *path, settings: settings, sink: sink, logger: newLogger(sink, "info", name, settings.Name),
		clock: port.ClockFunc(time.Now), meter: metrics.New(), metricsPort: *metricsPort, fleetListen: *fleetListen, failed: make(chan error, 4),
	}
	event.Log(context.Background(), p.logger, event.Started, slog.String("zone", settings.Zone),
		slog.String("region", settings.Region), slog.Any("seeds", settings.Seeds), slog.Bool("founding", settings.Founding))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go wait.Each(ctx, droppedPeriod, p.reportDropped)
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

// reload keeps the seeds as the settings file has them, until ctx ends.
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
		p.readAgain(ctx, setSeeds)
	}
}

func (p *vmProcess) readAgain(ctx context.Context, setSeeds func([]string)) {
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

// serve serves HTTP at an address. The hook is told of its connections' states; it
// may be nil.
func (p *vmProcess) serve(
	ctx context.Context, clients, address string, h http.Handler, hook func(net.Conn, http.ConnState),
) (*http.Server, error) {
	server := &http.Server{
		ConnState: hook,
		Handler:   h, IdleTimeout: clientIdleTimeout, ReadHeaderTimeout: clientHeaderTimeout, MaxHeaderBytes: clientHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.logger.Handler(), slog.LevelDebug),
	}
	listener, err := listenFor(ctx, clients, address)
	if err != nil {
		return nil, err
	}
	event.Log(ctx, p.logger, event.Listening, slog.String("for", clients), slog.String("address", address))
	go func() { p.failed <- server.Serve(listener) }()
	return server, nil
}

// serveMetrics serves the process's metrics, if there is a port for them. It does
// without when the port is taken: requests matter more.
func (p *vmProcess) serveMetrics(ctx context.Context, gauges func() map[string]int64) {
	if p.metricsPort == 0 {
		return
	}
	routes := chi.NewRouter()
	routes.Method(http.MethodGet, "/metrics", p.meter.Handler(gauges))
	address := net.JoinHostPort(p.settings.IP.String(), strconv.Itoa(p.metricsPort))
	if _, err := p.serve(ctx, "metrics", address, routes, nil); err != nil {
		event.Log(ctx, p.logger, event.ServeFailed, slog.Any("error", err))
	}
}

// awaitStop waits for a signal to stop or a failed listener.
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

// dial returns the way to a controller.
func (p *vmProcess) dial(address string) (*fleetgrpc.Client, error) {
	return fleetgrpc.NewClient(address, p.settings.IP, p.clock)
}

// newGateway returns a gateway with the platform's endpoints.
func newGateway(p *vmProcess) (*gateway.Gateway, *endpointhttp.Caller) {
	endpoints := endpointhttp.New(endpointhttp.Options{
		Clock: p.clock, Dialect: platform.Dialect(), IdleTimeout: endpointIdleTimeout,
	})
	g := gateway.New(gateway.Config{
		Name: p.settings.Name, Address: p.settings.ClientListen,
		Zone: p.settings.Zone, Region: p.settings.Region, Seeds: p.settings.Seeds,
	}, gateway.Ports{
		Clock: p.clock, Logger: p.logger, Endpoints: endpoints, Meter: p.meter,
		Dial: func(address string) (port.ControllerLink, error) { return p.dial(address) },
	})
	return g, endpoints
}

// newControllerOf returns a controller with the platform's settings.
func newControllerOf(p *vmProcess, store port.VoterStore) (*controller.Controller, error) {
	return controller.New(controller.Config{
		Name: p.settings.Name, Address: p.settings.FleetAddress, Zone: p.settings.Zone, Region: p.settings.Region,
		Zones: p.settings.Zones, Seeds: p.settings.Seeds, Founding: p.settings.Founding, Retries: p.settings.Retries, MaxShift: p.settings.MaxShift,
	}, controller.Ports{
		Clock: p.clock, Logger: p.logger, Store: store, Meter: p.meter,
		Dial: func(address string) (port.ControllerPeer, error) { return p.dial(address) },
	})
}
