package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"sassafrasreach/internal/adapter/httpstatus"
	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/wait"
)

const (
	// tryTimeout is the timeout of one request to one control VM, so that an
	// unresponsive VM doesn't use up the time of the whole command.
	tryTimeout = 5 * time.Second
	// maxRounds is the number of rounds in which a change that may have been
	// accepted is sent to the control VMs. A change that none of them proposed is
	// sent to each once.
	maxRounds = 3
	// roundInterval is the wait between two rounds.
	roundInterval = 300 * time.Millisecond
	// maxReplyBytes is the maximum size of a response.
	maxReplyBytes = 64 << 20
)

// client sends requests to the control VMs at the URLs in members.
type client struct {
	members []string
	token   string
	http    *http.Client
}

// request is a request that can be sent to any control VM.
type request struct {
	method, path string
	query        url.Values
	changeID     string
	body         []byte
}

// reply is a decision of a control VM: success, with problem nil, or a problem
// with a status below 500.
type reply struct {
	header  http.Header
	body    []byte
	problem *operatorhttp.Problem
}

func newClient(control, tokenFile string) (*client, error) {
	c := &client{http: httpstatus.NewClient(http.DefaultTransport.(*http.Transport))}
	for _, text := range strings.Split(control, ",") {
		text = strings.TrimRight(strings.TrimSpace(text), "/")
		if text == "" {
			continue
		}
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fmt.Errorf("-control: %q isn't a URL of the form http://127.0.1.1:17081", text)
		}
		c.members = append(c.members, text)
	}
	if len(c.members) == 0 {
		return nil, errors.New("-control must have at least one URL")
	}
	if tokenFile == "" {
		return c, nil
	}
	text, err := os.ReadFile(tokenFile)
	if err != nil {
		return nil, fmt.Errorf("-token-file: %w", err)
	}
	c.token = strings.TrimSpace(string(text))
	if c.token == "" {
		return nil, fmt.Errorf("-token-file: the file %s is empty", tokenFile)
	}
	return c, nil
}

// read sends a read-only request to each control VM in turn until one decides. The
// exit code of an error is ExitRefused or ExitUnknown.
func (c *client) read(ctx context.Context, req request) (reply, error) {
	var last error
	for _, member := range c.members {
		got, err := c.try(ctx, member, req)
		if err != nil {
			last = err
			continue
		}
		if got.problem != nil {
			return got, &exitError{code: ExitRefused, err: problemError(got.problem)}
		}
		return got, nil
	}
	return reply{}, failf(ExitUnknown, "no control VM gave a decision; ctl status shows which ones respond and whether they have a quorum; last error: %w", last)
}

// change sends a change to each control VM in turn until one decides, always with
// the same change ID. Once an attempt may have been accepted, only success or a
// problem with the change's outcome counts as a decision: another problem, such as
// a refused token, doesn't show whether that attempt was accepted.
func (c *client) change(ctx context.Context, req request) (reply, error) {
	var last error
	mayBeAccepted := false
	for round := range maxRounds {
		if round > 0 && (!mayBeAccepted || !wait.For(ctx, roundInterval)) {
			break
		}
		for _, member := range c.members {
			got, err := c.try(ctx, member, req)
			if err != nil {
				last = err
				mayBeAccepted = mayBeAccepted || mayHaveBeenAccepted(err)
				continue
			}
			if mayBeAccepted && got.problem != nil && got.problem.Outcome == nil {
				last = problemError(got.problem)
				continue
			}
			if got.problem != nil {
				return got, &exitError{code: ExitRefused, err: problemError(got.problem)}
			}
			return got, nil
		}
	}
	if !mayBeAccepted {
		return reply{}, failf(ExitUnknown, "no control VM gave a decision, and none proposed the change %s, so nothing was changed; ctl status shows which ones respond; last error: %w", req.changeID, last)
	}
	return reply{}, failf(ExitUnknown, "the change may have been accepted; resend it with -change-id %s to learn its outcome; last error: %w", req.changeID, last)
}

// try sends a request to one control VM. It returns an error when that VM gave no
// decision.
func (c *client) try(ctx context.Context, member string, req request) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	target := member + req.path
	if len(req.query) > 0 {
		target += "?" + req.query.Encode()
	}
	r, err := http.NewRequestWithContext(ctx, req.method, target, bytes.NewReader(req.body))
	if err != nil {
		return reply{}, err
	}
	if c.token != "" {
		r.Header.Set("Authorization", "Bearer "+c.token)
	}
	if req.changeID != "" {
		r.Header.Set(operatorhttp.HeaderChangeID, req.changeID)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return reply{}, fmt.Errorf("%s: %w", member, err)
	}
	return parseReply(member, resp, body)
}

// parseReply returns the decision in a response. It returns an error when the
// response is no decision: a status of 500 or more, or no problem document.
func parseReply(member string, resp *http.Response, body []byte) (reply, error) {
	if resp.StatusCode < http.StatusMultipleChoices {
		return reply{header: resp.Header, body: body}, nil
	}
	var p operatorhttp.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" {
		return reply{}, fmt.Errorf("%s: the response with status %s is not a problem document", member, resp.Status)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return reply{}, fmt.Errorf("%s: %w", member, &p)
	}
	return reply{header: resp.Header, problem: &p}, nil
}

// mayHaveBeenAccepted reports whether a change may have been accepted although the
// attempt failed. It can't when no connection was made or when the VM responded
// with CodeNoQuorum or CodeMemory, after which nothing was proposed.
func mayHaveBeenAccepted(err error) bool {
	var p *operatorhttp.Problem
	if errors.As(err, &p) {
		return p.Code != operatorhttp.CodeNoQuorum && p.Code != operatorhttp.CodeMemory
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// problemError returns the error of a problem, with one line for each fault.
func problemError(p *operatorhttp.Problem) error {
	lines := []string{p.Error()}
	for _, f := range p.Faults {
		lines = append(lines, "  "+f.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}
