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

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/wait"
)

const (
	// tryTimeout bounds one request to one control VM, so that a silent one
	// doesn't use up the whole time.
	tryTimeout = 5 * time.Second
	// rounds is the number of times that all control VMs are tried while a change
	// may have been accepted. One that none of them took is tried once.
	rounds = 3
	// roundPause is the wait between two rounds.
	roundPause = 300 * time.Millisecond
	// maxReplyBytes bounds a reply.
	maxReplyBytes = 64 << 20
)

// client sends requests to the control VMs.
type client struct {
	members []string
	token   string
	http    *http.Client
}

// request is one request to any control VM.
type request struct {
	method, path string
	query        url.Values
	changeID     string
	body         []byte
}

// reply is a decision of a control VM: success or a definite problem.
type reply struct {
	header  http.Header
	body    []byte
	problem *operatorhttp.Problem
}

func newClient(control, tokenFile string) (*client, error) {
	c := &client{http: &http.Client{}}
	for _, text := range strings.Split(control, ",") {
		text = strings.TrimRight(strings.TrimSpace(text), "/")
		if text == "" {
			continue
		}
		u, err := url.Parse(text)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			return nil, fmt.Errorf("-control: %q isn't a URL such as http://127.0.1.1:17081", text)
		}
		c.members = append(c.members, text)
	}
	if len(c.members) == 0 {
		return nil, errors.New("-control needs at least one URL")
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
		return nil, fmt.Errorf("-token-file: %s is empty", tokenFile)
	}
	return c, nil
}

// read sends a request that changes nothing to each control VM in turn until
// one decides. The error carries ExitRefused or ExitUnknown.
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
	return reply{}, failf(ExitUnknown, "no control VM decides; ctl status tells which answer and whether they have a quorum: %w", last)
}

// change sends a change to each control VM in turn until one decides. The
// change ID stays the same. Once an attempt may have been accepted, only a
// reply that tells the change's outcome counts as a decision.
func (c *client) change(ctx context.Context, req request) (reply, error) {
	var last error
	maybe := false
	for round := range rounds {
		if round > 0 && (!maybe || !wait.For(ctx, roundPause)) {
			break
		}
		for _, member := range c.members {
			got, err := c.try(ctx, member, req)
			if err != nil {
				last = err
				maybe = maybe || mayHaveArrived(err)
				continue
			}
			if maybe && got.problem != nil && got.problem.Outcome == nil {
				last = problemError(got.problem)
				continue
			}
			if got.problem != nil {
				return got, &exitError{code: ExitRefused, err: problemError(got.problem)}
			}
			return got, nil
		}
	}
	if !maybe {
		return reply{}, failf(ExitUnknown, "no control VM decides, and none took the change %s; nothing was changed, and ctl status tells which answer: %w", req.changeID, last)
	}
	return reply{}, failf(ExitUnknown, "the change may have been accepted; resend it with -change-id %s to learn which: %w", req.changeID, last)
}

// try sends one request to one control VM. It returns an error when that VM
// gave no decision.
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
	return decide(member, resp, body)
}

// decide tells a decision from the lack of one.
func decide(member string, resp *http.Response, body []byte) (reply, error) {
	if resp.StatusCode < http.StatusMultipleChoices {
		return reply{header: resp.Header, body: body}, nil
	}
	var p operatorhttp.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" {
		return reply{}, fmt.Errorf("%s: status %s without a problem document", member, resp.Status)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		return reply{}, fmt.Errorf("%s: %w", member, &p)
	}
	return reply{header: resp.Header, problem: &p}, nil
}

// mayHaveArrived says whether a failed attempt may have been accepted. It is
// not when no connection was made or when the VM says that nothing was
// proposed.
func mayHaveArrived(err error) bool {
	var p *operatorhttp.Problem
	if errors.As(err, &p) {
		return p.Code != operatorhttp.CodeNoQuorum
	}
	var op *net.OpError
	return !errors.As(err, &op) || op.Op != "dial"
}

// problemError is the error of a definite problem, with its faults.
func problemError(p *operatorhttp.Problem) error {
	lines := []string{p.Error()}
	for _, f := range p.Faults {
		lines = append(lines, "  "+f.String())
	}
	return errors.New(strings.Join(lines, "\n"))
}
