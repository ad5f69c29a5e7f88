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

// callOptions are the options of the call subcommand.
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

// runCall looks an entry up and sends one request through it.
func runCall(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("call", "-entry IP:PORT[,...] -service S [options]", stderr)
	var o callOptions
	flags.StringVar(&o.entries, "entry", "", "IP:ports of entries to ask, comma-separated")
	flags.StringVar(&o.service, "service", "", "service to call")
	flags.StringVar(&o.place, "place", "", "the caller's place; empty derives it from its address")
	flags.StringVar(&o.method, "method", http.MethodGet, "HTTP method")
	flags.StringVar(&o.target, "path", "/", "path and query at the endpoint")
	flags.StringVar(&o.body, "body", "", "body of the request")
	flags.StringVar(&o.key, "key", "", "whole once-only key of an earlier call, to send it again")
	flags.BoolVar(&o.once, "once", false, "make a new once-only key from the look-up")
	flags.StringVar(&o.via, "via", "", "name of the looked-up entry to use; empty uses the first")
	flags.DurationVar(&o.timeout, "timeout", 2*time.Second, "time that the request may take")
	if code, done := parse(flags, args); done {
		return code
	}
	if o.entries == "" || o.service == "" {
		return fail(stderr, exitUsage, errors.New("-entry and -service are needed"))
	}
	answer, err := lookup(ctx, strings.Split(o.entries, ","), o.service, o.place)
	if err != nil {
		return fail(stderr, exitFailure, err)
	}
	if o.once && o.key == "" {
		o.key = answer.Home + "." + strings.ToLower(rand.Text())
	}
	if err := call(ctx, o, answer, stdout); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}

// errCallFailed means that the answer was a problem document.
var errCallFailed = errors.New("request failed")

// call sends the request to the chosen entry and prints what came back.
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
	return port.LookupEntry{}, fmt.Errorf("the look-up doesn't name entry %q", name)
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
