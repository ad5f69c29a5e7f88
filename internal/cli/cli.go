package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"runtime/debug"

	"sassafrasreach/internal/cli/ctl"
)

// Exit codes of all subcommands except ctl.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// command is one subcommand.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		{"control", "run a control VM", runControl},
		{"entry", "run an entry VM", runEntry},
		{"controller", "run a controller on the platform", runController},
		{"gateway", "run a gateway on the platform", runGateway},
		{"ctl", "read and change the document, for operators", ctl.Main},
		{"lookup", "look up which entry VMs to use for a service", runLookup},
		{"call", "send one request as a caller", runCall},
		{"standin", "run a small endpoint for tests", runStandin},
	}
}

// Main runs the subcommand named by args and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		usage(stderr)
		return exitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		usage(stdout)
		return exitOK
	case "-version", "--version", "version":
		_, _ = fmt.Fprintln(stdout, "sassafrasreach", Version())
		return exitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return c.run(ctx, args[1:], stdout, stderr)
		}
	}
	_, _ = fmt.Fprintf(stderr, "sassafrasreach: unknown command %q\n\n", args[0])
	usage(stderr)
	return exitUsage
}

func usage(w io.Writer) {
	_, _ = fmt.Fprint(w, "Usage: sassafrasreach COMMAND [options]\n\nCommands:\n")
	for _, c := range commands() {
		_, _ = fmt.Fprintf(w, "  %-8s  %s\n", c.name, c.summary)
	}
	_, _ = fmt.Fprint(w, "\nRun sassafrasreach COMMAND -help for the options of a command, and sassafrasreach -version for the version.\n")
}

// Version returns the version of the binary, from its build information.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}

// newFlags returns a flag set that writes errors and help to stderr.
func newFlags(name, synopsis string, stderr io.Writer) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() {
		_, _ = fmt.Fprintf(stderr, "Usage: sassafrasreach %s %s\n\nOptions:\n", name, synopsis)
		flags.PrintDefaults()
	}
	return flags
}

// parse parses the arguments; if done is true, the command must exit with code.
func parse(flags *flag.FlagSet, args []string) (code int, done bool) {
	err := flags.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		return exitOK, true
	}
	if err != nil {
		return exitUsage, true
	}
	return exitOK, false
}

// withSettings parses the arguments, loads the settings file that they name, and
// calls run with both. It returns the exit code.
func withSettings[T any](name string, args []string, stderr io.Writer, load func(path string) (T, error), run func(path string, config T) int) int {
	flags := newFlags(name, "-settings FILE", stderr)
	path := flags.String("settings", "", "file with the VM's settings (YAML)")
	if code, done := parse(flags, args); done {
		return code
	}
	config, err := load(*path)
	if err != nil {
		return fail(stderr, exitUsage, err)
	}
	return run(*path, config)
}

// listenFor opens a TCP listener for one kind of clients, named in the error.
func listenFor(ctx context.Context, clients, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", clients, err)
	}
	return listener, nil
}

// fail prints an error and returns the exit code.
func fail(stderr io.Writer, code int, err error) int {
	_, _ = fmt.Fprintln(stderr, "sassafrasreach:", err)
	return code
}
