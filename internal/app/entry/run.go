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

// admitRun waits for a slot and for leave of quarantine. While a request that
// is under suspicion runs elsewhere, the slot is given back.
func (e *Entry) admitRun(ctx context.Context, o owned, t admission.Ticket) (*endpointRun, error) {
	for {
		grant, err := o.group.admit(ctx, e.clock, t)
		if err != nil {
			return nil, err
		}
		run := &endpointRun{entry: e, owned: o, grant: grant, granted: e.clock.Now()}
		leave, changed := e.suspects.started(run.granted, grant.Endpoint, o)
		if leave == quarantine.Admitted {
			return run, nil
		}
		run.end(admission.Result{Kind: admission.Canceled})
		if leave == quarantine.Refused {
			return nil, verdict.NewError(verdict.NotRun, verdict.ReasonQuarantined, errSuspected)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, verdict.NewError(verdict.NotRun, contextReason(ctx.Err()), errSuspected)
		}
	}
}

// endpointRun is a granted request on its way to an endpoint and back.
type endpointRun struct {
	owned
	entry   *Entry
	grant   admission.Grant
	granted time.Time
}

// abandon ends a run that was never sent.
func (r *endpointRun) abandon() {
	r.entry.runNotStarted(r.grant.Endpoint, r.owned)
	r.end(admission.Result{Kind: admission.Canceled})
}

// end frees the slot.
func (r *endpointRun) end(result admission.Result) {
	r.group.done(r.entry.clock.Now(), r.grant.Ticket, result)
}

// call sends the request and takes in what its end shows. The slot of a
// streamed answer is freed when its body is closed.
func (r *endpointRun) call(ctx context.Context, cancel context.CancelFunc) port.Answer {
	e := r.entry
	if err := e.checkLive(ctx, r.req); err != nil {
		cancel()
		r.abandon()
		return port.Answer{Err: err}
	}
	response, err := r.send(ctx)
	took := e.clock.Now().Sub(r.granted)
	e.runEnded(r.grant.Endpoint, r.owned, err)
	result := admission.Result{Kind: resultKind(ctx, err), Latency: took}
	if err == nil && response.Rest != nil {
		response.Rest = &closer{ReadCloser: response.Rest, after: func() {
			cancel()
			r.end(result)
		}}
		return port.Answer{Response: response}
	}
	cancel()
	r.end(result)
	if err == nil {
		e.retries.deposit()
	}
	return port.Answer{Response: response, Err: err}
}

// send carries the request to the endpoint, through the gate of its rules if it
// crosses to another place.
func (r *endpointRun) send(ctx context.Context) (*port.Response, error) {
	endpoints := r.entry.endpoints
	if r.crossing == nil {
		return endpoints.Call(ctx, r.grant.Endpoint, r.req, nil)
	}
	gate := &sending{crossing: r.crossing}
	response, err := endpoints.Call(ctx, r.grant.Endpoint, r.req, gate)
	gate.end(err)
	return response, err
}

// checkLive refuses a request whose deadline has passed or whose caller went
// away while it waited for a worker.
func (e *Entry) checkLive(ctx context.Context, req *port.Request) error {
	if err := e.checkDeadline(req); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return verdict.NewError(verdict.NotRun, contextReason(err), err)
	}
	return nil
}

// resultKind classes the end of a run for admission.
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
