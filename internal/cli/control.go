package cli

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/connlimit"
	"sassafrasreach/internal/adapter/grpcmemory"
	"sassafrasreach/internal/adapter/grpcpanic"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/adapter/settings"
	"sassafrasreach/internal/app/control"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

// controlStopLimit is the time for requests in flight to end when a control VM
// stops.
const controlStopLimit = 5 * time.Second

// runControl runs a control VM until SIGTERM or SIGINT.
func runControl(ctx context.Context, args []string, _, stderr io.Writer) int {
	return withSettings("control", args, stderr, settings.LoadControl, func(_ string, config settings.Control) int {
		logger := newLogger(stderr, config.LogLevel, "control", config.Name)
		ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
		defer stop()
		if err := serveControl(ctx, config, logger); err != nil {
			return fail(stderr, exitFailure, err)
		}
		return exitOK
	})
}

func serveControl(ctx context.Context, config settings.Control, logger *slog.Logger) error {
	node, err := newNode(config, logger)
	if err != nil {
		return err
	}
	p := newControlProcess(config, node, logger)
	if err := p.listen(ctx, config); err != nil {
		return err
	}
	go func() { p.failed <- node.Run(ctx) }()
	sweeping, endSweeping := context.WithCancel(context.WithoutCancel(ctx)) // also while it stops
	defer endSweeping()
	go wait.Every(sweeping, sweepPeriod, p.bodies.Sweep)
	go wait.Every(sweeping, sweepPeriod, p.operators.sweep)
	event.Log(ctx, logger, event.Started)
	select {
	case err = <-p.failed:
	case <-ctx.Done():
	}
	p.stop(ctx)
	event.Log(ctx, logger, event.Stopped)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// controlProcess is the process of a control VM: its servers.
type controlProcess struct {
	guard
	// bodies reads the bodies of operators' requests, and limiter bounds their connections.
	bodies    *intake.Intake
	limiter   *connlimit.Limiter
	peers     *grpc.Server
	operators *callerServer
	metrics   *http.Server
	failed    chan error
}

func newControlProcess(config settings.Control, node *control.Node, logger *slog.Logger) *controlProcess {
	clock, meter := port.ClockFunc(time.Now), metrics.New()
	p := &controlProcess{
		guard:  newGuard(config.MemoryBytes, config.MaxDescriptors, logger, meter, clock),
		failed: make(chan error, 4),
	}
	p.bodies = intake.New(p.memory, memory.Orders, clock)
	p.limiter = p.newLimiter("operators", p.openConnections(false), p.bodies.MakeRoom)
	p.peers = grpc.NewServer(slices.Concat(peergrpc.ServerOptions(), registergrpc.ServerOptions(), grpcpanic.Options(logger),
		[]grpc.ServerOption{grpcmemory.Option(p.memory)})...)
	node.Register(p.peers)
	p.operators = newCallerServer(operatorhttp.New(operatorhttp.Options{
		Store:                node,
		RecordRefused:        recordRefused(node),
		BootstrapTokenSHA256: config.BootstrapTokenSHA256,
		Clock:                clock,
		Logger:               logger,
		Bodies:               p.bodies,
		Refusals:             p.refusals,
	}), p.limiter, p.openConnections(false)/lingerDivisor, clock)
	routes := chi.NewRouter()
	routes.Use(intake.IgnoreBodies)
	routes.Method(http.MethodGet, "/v1/metrics", meter.Handler(p.gauges("operators", p.limiter)))
	p.metrics = &http.Server{Handler: routes, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}
	return p
}

func newNode(config settings.Control, logger *slog.Logger) (*control.Node, error) {
	members := make([]control.Peer, len(config.Members))
	for i, member := range config.Members {
		members[i] = control.Peer{Name: member.Name, Address: member.Address}
	}
	return control.New(control.Config{
		Name:        config.Name,
		Incarnation: uint64(time.Now().UnixNano()),
		Peers:       members,
		DataDir:     config.DataDir,
		Validate:    validate,
		Clock:       port.ClockFunc(time.Now),
		Logger:      logger,
	})
}

// recordRefused returns a function that submits a change with faults, so that the
// node refuses it and adds the refusal to the audit trail.
func recordRefused(node *control.Node) func(context.Context, port.Change) error {
	return func(ctx context.Context, change port.Change) error {
		_, err := node.Submit(ctx, change)
		return err
	}
}

// validate returns the faults of a document as an error, nil if it is valid.
func validate(text []byte) error {
	_, err := document.ParseValid(text)
	return err
}

// listen opens the listeners for peers, operators and, if configured, metrics, and serves on
// them.
func (p *controlProcess) listen(ctx context.Context, config settings.Control) error {
	peerListener, err := listenFor(ctx, "peers", config.PeerListen)
	if err != nil {
		return err
	}
	if p.operators.listener, err = listenFor(ctx, "operators", config.OperatorListen); err != nil {
		_ = peerListener.Close()
		return err
	}
	if config.MetricsListen != "" {
		metricsListener, err := listenFor(ctx, "metrics", config.MetricsListen)
		if err != nil {
			_ = peerListener.Close()
			_ = p.operators.listener.Close()
			return err
		}
		go func() { p.failed <- p.metrics.Serve(p.sideListener("metrics", metricsListener, p.metrics)) }()
	}
	go func() { p.failed <- p.peers.Serve(peerListener) }()
	go func() { p.failed <- p.operators.serve() }()
	return nil
}

// stop closes the listeners and stops the servers once the requests in flight have
// ended, or after controlStopLimit.
func (p *controlProcess) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlStopLimit)
	defer cancel()
	p.bodies.Stop()
	_ = p.operators.shutdown(ctx)
	_ = p.metrics.Close()
	stopGracefully(ctx, p.peers)
	p.peers.Stop()
}
