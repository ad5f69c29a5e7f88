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

// own admits a request to a group that this entry owns and sends it to an
// endpoint. It never passes the request on.
func (e *Entry) own(ctx context.Context, req *port.Request, key groupKey) (*port.Response, error) {
	if err := e.checkDeadline(req); err != nil {
		return nil, err
	}
	if !e.members.ownsSelf(e.clock.Now(), key) {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoOwner, nil)
	}
	charge, err := e.takeCap(req, key)
	if err != nil {
		return nil, err
	}
	response, err := e.tryEndpoints(ctx, req, key)
	e.settleCap(charge, response)
	return response, err
}

// tryEndpoints sends the request to an endpoint, and to a second one when the
// first did not run it, or when it is idempotent and the first is late.
func (e *Entry) tryEndpoints(ctx context.Context, req *port.Request, key groupKey) (*port.Response, error) {
	g := e.groups.get(key, e.admissionConfig(key))
	first, err := e.start(ctx, g, req, nil)
	if err != nil {
		return nil, err
	}
	var answer port.Answer
	if req.OnceOnly {
		answer = <-first.answer
	} else {
		var hedged bool
		answer, hedged = e.awaitHedged(ctx, g, req, first)
		if hedged {
			return answer.Response, answer.Err
		}
	}
	if answer.Err == nil || !e.mayRetryHere(req, answer.Err) {
		return answer.Response, answer.Err
	}
	second, err := e.start(ctx, g, req, []string{first.endpoint})
	if err != nil {
		return nil, moreCertain(answer.Err, err)
	}
	last := <-second.answer
	return last.Response, moreCertain(answer.Err, last.Err)
}

// mayRetryHere says whether a failed request may go to a second endpoint of the
// group.
func (e *Entry) mayRetryHere(req *port.Request, err error) bool {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonShed, verdict.ReasonDial:
		return verdict.Of(err) == verdict.NotRun
	case verdict.ReasonConnection, verdict.ReasonBadAnswer:
		return !req.OnceOnly && e.retries.withdraw(e.clock.Now())
	default:
		return false
	}
}

// moreCertain returns the failure that a caller is to be told of two attempts:
// the second, unless only the first may have run. Without a first one it is nil.
func moreCertain(first, second error) error {
	if first != nil && verdict.Of(first) != verdict.NotRun && verdict.Of(second) == verdict.NotRun {
		return first
	}
	return second
}

// awaitHedged waits for the first attempt. When its answer is late it starts a
// second one elsewhere and takes the better of both; hedged says so.
func (e *Entry) awaitHedged(ctx context.Context, g *group, req *port.Request, first *attempt) (port.Answer, bool) {
	late := time.NewTimer(g.lateAfter())
	defer late.Stop()
	select {
	case answer := <-first.answer:
		return answer, false
	case <-late.C:
	}
	if !e.retries.withdraw(e.clock.Now()) {
		return <-first.answer, false
	}
	second, err := e.start(ctx, g, req, []string{first.endpoint})
	if err != nil {
		return <-first.answer, false
	}
	return better(first, second), true
}

// better returns the first good answer of two attempts and cancels the other.
func better(a, b *attempt) port.Answer {
	other := b
	var answer port.Answer
	select {
	case answer = <-a.answer:
	case answer = <-b.answer:
		other = a
	}
	if answer.Err != nil {
		last := <-other.answer
		last.Err = moreCertain(answer.Err, last.Err)
		return last
	}
	other.cancel()
	go discard(other)
	return answer
}

// discard closes the answer of an attempt that nobody waits for.
func discard(a *attempt) {
	answer := <-a.answer
	if answer.Err == nil && answer.Response.Rest != nil {
		_ = answer.Response.Rest.Close()
	}
}

// attempt is one request at one endpoint.
type attempt struct {
	endpoint string
	answer   chan port.Answer // buffered; gets exactly one answer
	cancel   context.CancelFunc
}

// start admits the request and hands it to a worker. Every error is a
// *verdict.Error with NotRun.
func (e *Entry) start(ctx context.Context, g *group, req *port.Request, exclude []string) (*attempt, error) {
	ticket := admission.Ticket{
		ID:       g.ticket.Add(1),
		Deadline: req.Deadline,
		Own:      req.Origin == g.key.place,
		Exclude:  exclude,
	}
	run, err := e.admitRun(ctx, g, req, ticket)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	a := &attempt{endpoint: run.grant.Endpoint.ID, answer: make(chan port.Answer, 1), cancel: cancel}
	err = e.calls.Submit(ctx, func() { a.answer <- run.call(ctx, cancel) })
	if err != nil {
		cancel()
		run.abandon()
		return nil, verdict.NewError(verdict.NotRun, contextReason(err), err)
	}
	return a, nil
}

// admitRun waits for a slot and for leave of quarantine. While a request that
// is under suspicion runs elsewhere, the slot is given back.
func (e *Entry) admitRun(ctx context.Context, g *group, req *port.Request, t admission.Ticket) (*endpointRun, error) {
	for {
		grant, err := g.admit(ctx, e.clock, t)
		if err != nil {
			return nil, err
		}
		run := &endpointRun{entry: e, group: g, grant: grant, req: req, granted: e.clock.Now()}
		leave, changed := e.suspects.started(run.granted, grant.Endpoint, req)
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
	entry   *Entry
	group   *group
	grant   admission.Grant
	req     *port.Request
	granted time.Time
}

// abandon ends a run that was never sent.
func (r *endpointRun) abandon() {
	r.entry.runNotStarted(r.grant.Endpoint, r.req)
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
	response, err := e.endpoints.Call(ctx, r.grant.Endpoint, r.req)
	took := e.clock.Now().Sub(r.granted)
	e.runEnded(r.grant.Endpoint, r.req, err)
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
	case verdict.ReasonCanceled:
		return admission.Canceled
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return admission.Canceled
	}
	return admission.Failed
}

// admissionConfig returns the parameters of a group from the document.
func (e *Entry) admissionConfig(key groupKey) admission.Config {
	s := e.snapshot.Load()
	config := admission.Config{ReservePercent: s.regions[key.place].reservePercent}
	if service, ok := s.table.Service(key.service); ok {
		config.MaxSlots = service.Slots
	}
	return config
}
