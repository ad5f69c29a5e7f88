package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// callOptions are the flags of the call subcommand.
type callOptions struct {
	entries string
	service string
	place   string
	method  string
	target  string
	body    string
	key     string
	once    bool
	via     string
	timeout time.Duration
}

// runCall looks up the entry VMs of a service and sends one request through one of
// them.
func runCall(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("call", "-entry IP:PORT[,...] -service S [options]", stderr)
	var o callOptions
	flags.StringVar(&o.entries, "entry", "", "IP:ports of entry VMs to send the look-up to, comma-separated")
	flags.StringVar(&o.service, "service", "", "service to call")
	flags.StringVar(&o.place, "place", "", "place of the caller; derived from its address if empty")
	flags.StringVar(&o.method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&o.target, "path", "/", "path and query of the request")
	flags.StringVar(&o.body, "body", "", "body of the request")
	flags.StringVar(&o.key, "key", "", "complete once-only key of an earlier call, to resend that call")
	flags.BoolVar(&o.once, "once", false, "send a new once-only key, which names the first entry VM in the look-up's answer")
	flags.StringVar(&o.via, "via", "", "name of the entry VM to use, out of the look-up's answer; the first if empty")
	flags.DurationVar(&o.timeout, "timeout", 2*time.Second, "maximum time of the request, without the look-up")
	if code, done := parse(flags, args); done {
		return code
	}
	if o.entries == "" || o.service == "" {
		return fail(stderr, exitUsage, errors.New("the flags -entry and -service are required"))
	}
	answer, err := lookup(ctx, strings.Split(o.entries, ","), o.service, o.place)
	if err != nil {
		return fail(stderr, exitFailure, err)
	}
	if o.once && o.key == "" {
		o.key = answer.KeyPrefix + "." + strings.ToLower(rand.Text())
	}
	if err := call(ctx, o, answer, stdout); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}

// errCallFailed means that the response was a problem document.
var errCallFailed = errors.New("the request failed: the response is a problem document")

// call sends the request to the chosen entry VM and prints the response.
func call(ctx context.Context, o callOptions, found port.LookupAnswer, stdout io.Writer) error {
	entry, err := chooseEntry(found, o.via)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	r := send(ctx, o, entry, found.Place)
	if r.err != nil {
		return fmt.Errorf("%w (%s)", r.err, verdict.MayHaveRun)
	}
	return printAnswer(stdout, entry, o.key, r)
}

func chooseEntry(found port.LookupAnswer, name string) (port.LookupEntry, error) {
	for _, entry := range found.Entries {
		if name == "" || entry.Name == name {
			return entry, nil
		}
	}
	return port.LookupEntry{}, fmt.Errorf("the look-up's answer has no entry %q", name)
}

func printAnswer(stdout io.Writer, entry port.LookupEntry, key string, r reply) error {
	_, _ = fmt.Fprintf(stdout, "entry    %s (%s)\n", entry.Name, entry.Address)
	_, _ = fmt.Fprintf(stdout, "status   %d\n", r.status)
	_, _ = fmt.Fprintf(stdout, "verdict  %s\n", r.header.Get(callerhttp.HeaderVerdict))
	if key != "" {
		_, _ = fmt.Fprintf(stdout, "key      %s\n", key)
	}
	_, _ = fmt.Fprintf(stdout, "%s\n", bytes.TrimSpace(r.body))
	if r.header.Get("Content-Type") == "application/problem+json" {
		return errCallFailed
	}
	return nil
}
