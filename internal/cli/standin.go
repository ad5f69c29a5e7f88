package cli

import (
	"context"
	"io"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"sassafrasreach/internal/standin"
)

// runStandin runs a stand-in endpoint until SIGTERM or SIGINT.
func runStandin(ctx context.Context, args []string, _, stderr io.Writer) int {
	flags := newFlags("standin", "-id ID -service S -place P -listen IP:PORT -entry IP:PORT[,...]", stderr)
	var config standin.Config
	var entries string
	flags.StringVar(&config.ID, "id", "", "identifier of the endpoint")
	flags.StringVar(&config.Service, "service", "", "service that it serves")
	flags.StringVar(&config.Place, "place", "", "place that it is in")
	flags.StringVar(&config.Listen, "listen", "", "IP:port to serve on")
	flags.StringVar(&entries, "entry", "", "IP:ports of entries to announce to, comma-separated")
	flags.IntVar(&config.Slots, "slots", 3, "requests that it runs at once")
	flags.IntVar(&config.Connections, "connections", 650, "connections that it accepts")
	flags.DurationVar(&config.Work, "work", 5*time.Millisecond, "time that a request takes")
	flags.DurationVar(&config.Cold, "cold", 0, "additional time of the first requests")
	flags.DurationVar(&config.Warmup, "warmup", 0, "time in which the additional time shrinks to nothing")
	flags.DurationVar(&config.LeaveFor, "leave-for", 2*time.Second, "time that it announces leaving before it ends")
	flags.StringVar(&config.CrashOn, "crash-on", "", "body of requests that end the process, for trials of quarantine")
	flags.StringVar(&config.RunLog, "run-log", "", "file that gets one line for each run")
	if code, done := parse(flags, args); done {
		return code
	}
	if entries != "" {
		config.Entries = strings.Split(entries, ",")
	}
	logger := newLogger(stderr, "info", "standin", config.ID)
	endpoint, err := standin.New(config, logger)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := endpoint.Run(ctx); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}
