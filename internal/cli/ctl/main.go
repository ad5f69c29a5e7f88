package ctl

import (
	"context"
	"errors"
	"flag"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

// DefaultTimeout is the default of the flag -timeout.
const DefaultTimeout = 30 * time.Second

// Options are the client's dependencies.
type Options struct {
	// VerifyAudit checks the hash chain of an audit trail.
	VerifyAudit func(records []port.AuditRecord) error
}

// Main runs one command and returns its exit code. It verifies audit trails with
// audit.Verify.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return Run(ctx, args, stdout, stderr, Options{VerifyAudit: audit.Verify})
}

// Run runs one command with options and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer, options Options) int {
	r := &runner{options: options, stdout: stdout, stderr: stderr}
	err := r.run(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return int(ExitOK)
	}
	var coded *exitError
	if !errors.As(err, &coded) {
		coded = &exitError{code: ExitUnknown, err: err}
	}
	printf(stderr, "ctl: %v\n", err)
	return int(coded.code)
}

// runner holds the state of one command.
type runner struct {
	options        Options
	stdout, stderr io.Writer
	flags          flagValues
	args           []string
	client         *client
}

// flagValues are the values of the flags.
type flagValues struct {
	control   string
	tokenFile string
	output    string
	timeout   time.Duration
	base      string
	changeID  string
	service   string
	reason    string
	wait      bool
}

// command is one subcommand.
type command struct {
	name, args, help string
	// argCount is the number of positional arguments.
	argCount int
	// local means that the command works without a control VM.
	local bool
	run   func(*runner, context.Context) error
}

func commands() []command {
	return []command{
		{name: "get", help: "print the document in force", run: (*runner).get},
		{name: "diff", args: "FILE", help: "show what a document would change", argCount: 1, run: (*runner).diff},
		{name: "apply", args: "FILE", help: "replace the document and wait until it is in force", argCount: 1, run: (*runner).apply},
		{name: "validate", args: "FILE", help: "show all faults of a document; contacts control VMs only with -control", argCount: 1, local: true, run: (*runner).validate},
		{name: "audit", help: "list the changes, refused ones included, and verify their hash chain", run: (*runner).audit},
		{name: "status", help: "show the status of a control VM and the version in force at each entry", run: (*runner).status},
		{name: "drain", args: "PLACE", help: "take a place out of use", argCount: 1, run: (*runner).drain},
		{name: "undrain", args: "PLACE", help: "take a place back into use", argCount: 1, run: (*runner).undrain},
		{name: "lift", args: "FINGERPRINT", help: "take a request out of quarantine", argCount: 1, run: (*runner).lift},
	}
}

func (r *runner) run(ctx context.Context, args []string) error {
	flags := r.flagSet()
	if err := flags.Parse(args); err != nil {
		return usageError(err)
	}
	if flags.NArg() == 0 {
		flags.Usage()
		return failf(ExitUsage, "a command is needed; the usage above lists the commands")
	}
	name := flags.Arg(0)
	positional, err := parseRest(flags, flags.Args()[1:])
	if err != nil {
		return usageError(err)
	}
	for _, c := range commands() {
		if c.name == name {
			return r.runCommand(ctx, c, positional)
		}
	}
	return failf(ExitUsage, "there is no command %q; ctl -help lists the commands", name)
}

func (r *runner) flagSet() *flag.FlagSet {
	flags := flag.NewFlagSet("ctl", flag.ContinueOnError)
	flags.SetOutput(r.stderr)
	f := &r.flags
	flags.StringVar(&f.control, "control", "", "comma-separated `URLs` of the control VMs, such as http://127.0.1.1:17081")
	flags.StringVar(&f.tokenFile, "token-file", "", "`file` that holds the operator's token")
	flags.StringVar(&f.output, "o", "text", "output `format`, text or json")
	flags.DurationVar(&f.timeout, "timeout", DefaultTimeout, "maximum `time` of the whole command")
	flags.StringVar(&f.base, "base", "", "apply: `version` that the file was made from; by default the one in its first line, which get writes; without that line, 0")
	flags.StringVar(&f.changeID, "change-id", "", "apply, drain, undrain, lift: `ID` of a change to resend; by default a new ID")
	flags.StringVar(&f.service, "service", "", "drain, undrain: `service` of the drain; by default the drain is of all services")
	flags.StringVar(&f.reason, "reason", "", "drain: `text` shown to other operators; required")
	flags.BoolVar(&f.wait, "wait", true, "apply, drain, undrain: wait until the change is in force at every entry")
	flags.Usage = func() { r.usage(flags) }
	return flags
}

func (r *runner) usage(flags *flag.FlagSet) {
	printf(r.stderr, "%s\n", "Usage: ctl COMMAND [ARGUMENT] [FLAGS]")
	table := tabwriter.NewWriter(r.stderr, 0, 0, 2, ' ', 0)
	for _, c := range commands() {
		printf(table, "  %s %s\t%s\n", c.name, c.args, c.help)
	}
	_ = table.Flush()
	printf(r.stderr, "%s\n", "Flags:")
	flags.PrintDefaults()
	printf(r.stderr, "%s\n", exitHelp())
}

// parseRest parses the flags before, between and after the positional arguments,
// and returns the positional arguments.
func parseRest(flags *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, flags.Arg(0))
		args = flags.Args()[1:]
	}
}

func usageError(err error) error {
	if errors.Is(err, flag.ErrHelp) {
		return err
	}
	return &exitError{code: ExitUsage, err: err}
}

// runCommand checks the arguments and flags, creates the client and runs the
// command.
func (r *runner) runCommand(ctx context.Context, c command, positional []string) error {
	if len(positional) != c.argCount {
		return failf(ExitUsage, "usage: ctl %s", strings.TrimSpace(c.name+" "+c.args))
	}
	if r.flags.output != "text" && r.flags.output != "json" {
		return failf(ExitUsage, "-o must be text or json, not %q", r.flags.output)
	}
	if r.flags.timeout <= 0 {
		return failf(ExitUsage, "-timeout must be greater than 0")
	}
	r.args = positional
	if r.flags.control != "" || !c.local {
		var err error
		if r.client, err = newClient(r.flags.control, r.flags.tokenFile); err != nil {
			return &exitError{code: ExitUsage, err: err}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, r.flags.timeout)
	defer cancel()
	return c.run(r, ctx)
}
