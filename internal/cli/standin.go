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
	flags.StringVar(&config.ID, "id", "", "ID of the endpoint")
	flags.StringVar(&config.Service, "service", "", "service that it serves")
	flags.StringVar(&config.Place, "place", "", "place that it is in")
	flags.StringVar(&config.Listen, "listen", "", "IP:port to listen on")
	flags.StringVar(&entries, "entry", "", "IP:ports of the entry VMs to announce itself to, comma-separated")
	flags.IntVar(&config.Slots, "slots", 3, "maximum number of requests that run at the same time; further ones are shed")
	flags.IntVar(&config.Connections, "connections", 650, "maximum number of connections, as announced; it is not enforced")
	flags.DurationVar(&config.Work, "work", 5*time.Millisecond, "processing time of a request")
	flags.DurationVar(&config.Cold, "cold", 0, "additional processing time of the first requests")
	flags.DurationVar(&config.Warmup, "warmup", 0, "time in which the additional processing time decreases to zero")
	flags.DurationVar(&config.LeaveFor, "leave-for", 2*time.Second, "time for which it announces that it leaves before it stops")
	flags.StringVar(&config.CrashOn, "crash-on", "", "body of requests that crash the process, to test quarantine")
	flags.StringVar(&config.RunLog, "run-log", "", "file to append a line to for each request that runs")
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
