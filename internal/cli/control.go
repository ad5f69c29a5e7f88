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

	"google.golang.org/grpc"

	"sassafrasreach/internal/adapter/grpcpanic"
	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/adapter/peergrpc"
	"sassafrasreach/internal/adapter/registergrpc"
	"sassafrasreach/internal/adapter/settings"
	"sassafrasreach/internal/app/control"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
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
	peers := grpc.NewServer(slices.Concat(peergrpc.ServerOptions(), registergrpc.ServerOptions(), grpcpanic.Options(logger))...)
	node.Register(peers)
	operators := &http.Server{
		Handler: operatorhttp.New(operatorhttp.Options{
			Store:                node,
			RecordRefused:        recordRefused(node),
			BootstrapTokenSHA256: config.BootstrapTokenSHA256,
			Clock:                port.ClockFunc(time.Now),
			Logger:               logger,
		}),
		IdleTimeout:       callerIdleTimeout,
		ReadHeaderTimeout: callerHeaderTimeout,
	}
	failed := make(chan error, 3)
	if err := listenControl(ctx, config, peers, operators, failed); err != nil {
		return err
	}
	go func() { failed <- node.Run(ctx) }()
	event.Log(ctx, logger, event.Started)
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	stopControl(ctx, peers, operators)
	event.Log(ctx, logger, event.Stopped)
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
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

func listenControl(ctx context.Context, config settings.Control, peers *grpc.Server, operators *http.Server, failed chan<- error) error {
	peerListener, err := listenFor(ctx, "peers", config.PeerListen)
	if err != nil {
		return err
	}
	operatorListener, err := listenFor(ctx, "operators", config.OperatorListen)
	if err != nil {
		_ = peerListener.Close()
		return err
	}
	go func() { failed <- peers.Serve(peerListener) }()
	go func() { failed <- operators.Serve(operatorListener) }()
	return nil
}

// stopControl closes the listeners and stops the servers once the requests in
// flight have ended, or after controlStopLimit.
func stopControl(ctx context.Context, peers *grpc.Server, operators *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), controlStopLimit)
	defer cancel()
	_ = operators.Shutdown(ctx)
	stopGracefully(ctx, peers)
	peers.Stop()
}
