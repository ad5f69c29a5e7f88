package entry

import (
	"context"
	"time"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// Serve carries a caller's request to an endpoint. Every error is a
// *verdict.Error.
func (e *Entry) Serve(ctx context.Context, req *port.Request) (*port.Response, error) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	start := e.clock.Now()
	response, err := e.serve(ctx, req)
	e.meter.RecordRequest(req.Service, verdict.Of(err), reasonFor(err), e.clock.Now().Sub(start))
	return response, err
}

func (e *Entry) serve(ctx context.Context, req *port.Request) (*port.Response, error) {
	if _, err := e.current(); err != nil {
		return nil, keyedRefusal(req, err)
	}
	if req.OnceOnly {
		return e.serveOnce(ctx, req, true)
	}
	if err := e.checkStop(req); err != nil {
		return nil, err
	}
	if err := e.checkQuarantine(req); err != nil {
		return nil, err
	}
	return e.route(ctx, req)
}

// HandleForward serves a request that another entry forwarded. A streamed answer is in
// flight until its body is closed: the peer passes it on meanwhile.
func (e *Entry) HandleForward(ctx context.Context, f port.Forward) (*port.Response, error) {
	e.inFlight.Add(1)
	ended := func() { e.inFlight.Add(-1) }
	response, err := e.handleForward(ctx, f)
	if err != nil || response.Rest == nil {
		ended()
		return response, err
	}
	response.Rest = &closer{ReadCloser: response.Rest, after: ended}
	return response, nil
}

func (e *Entry) handleForward(ctx context.Context, f port.Forward) (*port.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, f.Request.Deadline)
	defer cancel()
	if _, err := e.current(); err != nil {
		return nil, keyedRefusal(f.Request, err)
	}
	switch f.Hop {
	case port.HopCoordinator:
		return e.serveOnce(ctx, f.Request, false)
	case port.HopOwner:
		return e.handleOwner(ctx, f)
	default:
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, nil)
	}
}

// keyedRefusal is the failure of a request that is refused before the
// coordinator of its key was queried. With a key it is MayHaveRun, since other
// copies of the request may have run.
func keyedRefusal(req *port.Request, err error) error {
	if req.Key == "" {
		return err
	}
	return verdict.NewError(verdict.MayHaveRun, verdict.ReasonOf(err), err)
}

// handleOwner admits a forwarded attempt once, however often it is delivered.
func (e *Entry) handleOwner(ctx context.Context, f port.Forward) (*port.Response, error) {
	if err := e.checkStop(f.Request); err != nil {
		return nil, err
	}
	if !e.attempts.recordFirst(e.clock.Now(), f.Request.ID) {
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonPeer, errAttemptRepeated)
	}
	return e.serveOwned(ctx, f.Request, groupKey{f.Request.Service, f.Place})
}

// checkDeadline refuses a request whose deadline has passed, for instance while
// this process was suspended.
func (e *Entry) checkDeadline(req *port.Request) error {
	if e.clock.Now().Before(req.Deadline) {
		return nil
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonDeadline, nil)
}

func reasonFor(err error) verdict.Reason {
	if err == nil {
		return ""
	}
	return verdict.ReasonOf(err)
}

// remaining returns the time until the deadline of req.
func (e *Entry) remaining(req *port.Request) time.Duration {
	return req.Deadline.Sub(e.clock.Now())
}
