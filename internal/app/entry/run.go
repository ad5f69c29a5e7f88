package entry

import (
	"context"
	"errors"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// admitRun waits for a slot and for admission by the quarantine. While the
// quarantine allows no further run, because others of the same fingerprint have
// not ended, it releases the slot, waits for a change, and requests a slot again.
func (e *Entry) admitRun(ctx context.Context, o ownedRequest, t admission.Ticket) (*endpointRun, error) {
	for {
		grant, err := o.group.admit(ctx, e.clock, t)
		if err != nil {
			return nil, err
		}
		run := &endpointRun{entry: e, ownedRequest: o, grant: grant, granted: e.clock.Now()}
		decision, changed := e.suspects.startRun(run.granted, grant.Endpoint, o)
		if decision == quarantine.Admitted {
			return run, nil
		}
		run.end(admission.Result{Kind: admission.Canceled})
		if decision == quarantine.Refused {
			return nil, verdict.NewError(verdict.NotRun, verdict.ReasonQuarantined, errSuspected)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, verdict.NewError(verdict.NotRun, contextReason(ctx.Err()), errSuspected)
		}
	}
}

// endpointRun is an attempt of an owned request that holds a slot of an
// endpoint.
type endpointRun struct {
	ownedRequest
	entry   *Entry
	grant   admission.Grant
	granted time.Time
}

// abandon ends a run whose request was never sent.
func (r *endpointRun) abandon() {
	r.entry.recordRunNotStarted(r.grant.Endpoint, r.ownedRequest)
	r.end(admission.Result{Kind: admission.Canceled})
}

// end releases the slot and reports the result to admission.
func (r *endpointRun) end(result admission.Result) {
	r.group.done(r.entry.clock.Now(), r.grant.Ticket, result)
}

// call sends the request and records how the run ended. The run of a streamed answer ends,
// and its slot is released, when its body is closed.
func (r *endpointRun) call(ctx context.Context, cancel context.CancelFunc) port.Answer {
	e := r.entry
	if err := e.checkActive(ctx, r.req); err != nil {
		cancel()
		r.abandon()
		return port.Answer{Err: err}
	}
	response, err := r.send(ctx)
	took := e.clock.Now().Sub(r.granted)
	result := admission.Result{Kind: resultKind(ctx, err), Latency: took}
	if err == nil && response.Rest != nil {
		rest := &watchedBody{ReadCloser: response.Rest}
		response.Rest = &closer{ReadCloser: rest, after: func() {
			e.recordRunEnd(r.grant.Endpoint, r.ownedRequest, rest.result())
			cancel()
			r.end(result)
		}}
		return port.Answer{Response: response}
	}
	e.recordRunEnd(r.grant.Endpoint, r.ownedRequest, err)
	cancel()
	r.end(result)
	if err == nil {
		e.retries.deposit()
	}
	return port.Answer{Response: response, Err: err}
}

// send sends the request to the endpoint. A crossing request passes the gate of
// its rules right before it is written.
func (r *endpointRun) send(ctx context.Context) (*port.Response, error) {
	endpoints := r.entry.endpoints
	if r.crossing == nil {
		return endpoints.Call(ctx, r.grant.Endpoint, r.req, nil)
	}
	gate := &attemptGate{crossing: r.crossing}
	response, err := endpoints.Call(ctx, r.grant.Endpoint, r.req, gate)
	gate.end(err)
	return response, err
}

// checkActive refuses a request whose deadline passed or whose caller canceled
// it while it waited for a worker.
func (e *Entry) checkActive(ctx context.Context, req *port.Request) error {
	if err := e.checkDeadline(req); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return verdict.NewError(verdict.NotRun, contextReason(err), err)
	}
	return nil
}

// resultKind classifies the end of a run for admission.
func resultKind(ctx context.Context, err error) admission.ResultKind {
	if err == nil {
		return admission.OK
	}
	switch verdict.ReasonOf(err) {
	case verdict.ReasonShed:
		return admission.Shed
	case verdict.ReasonDeadline:
		return admission.Timeout
	case verdict.ReasonCanceled, verdict.ReasonCap:
		return admission.Canceled
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return admission.Canceled
	}
	return admission.Failed
}
