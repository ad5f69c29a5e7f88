package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"sassafrasreach/internal/adapter/httpstatus"
	"sassafrasreach/internal/port"
)

// lookupTimeout is the timeout of one look-up at one entry VM.
const lookupTimeout = time.Second

// callerClient sends requests and look-ups of the command line.
var callerClient = httpstatus.NewClient(http.DefaultTransport.(*http.Transport))

// errNoEntry means that the look-up succeeded at no entry VM.
var errNoEntry = errors.New("the look-up failed at every entry VM")

// lookup sends the look-up to the entry VMs in turn until one succeeds.
func lookup(ctx context.Context, entries []string, service, place string) (port.LookupAnswer, error) {
	failure := errNoEntry
	for _, address := range entries {
		answer, err := lookupAt(ctx, address, service, place)
		if err == nil {
			return answer, nil
		}
		failure = fmt.Errorf("%w: %w", failure, err)
	}
	return port.LookupAnswer{}, failure
}

func lookupAt(ctx context.Context, address, service, place string) (port.LookupAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	var answer port.LookupAnswer
	query := url.Values{"service": {service}}
	if place != "" {
		query.Set("place", place)
	}
	target := "http://" + address + "/v1/lookup?" + query.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return answer, err
	}
	response, err := callerClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
		return answer, fmt.Errorf("entry VM %s responded %s: %s", address, response.Status, text)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

// runLookup prints the answer to one look-up as JSON.
func runLookup(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	flags := newFlags("lookup", "-entry IP:PORT[,...] -service S [-place P]", stderr)
	entries := flags.String("entry", "", "IP:ports of entry VMs to send the look-up to, comma-separated")
	service := flags.String("service", "", "service to look up")
	place := flags.String("place", "", "place of the caller; derived from its address if empty")
	if code, done := parse(flags, args); done {
		return code
	}
	if *entries == "" || *service == "" {
		return fail(stderr, exitUsage, errors.New("the flags -entry and -service are required"))
	}
	answer, err := lookup(ctx, strings.Split(*entries, ","), *service, *place)
	if err != nil {
		return fail(stderr, exitFailure, err)
	}
	encoder := json.NewEncoder(stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(answer); err != nil {
		return fail(stderr, exitFailure, err)
	}
	return exitOK
}
