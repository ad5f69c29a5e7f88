package entry

import (
	"context"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// serveOwned admits a request to a group that this entry owns and sends it to
// an endpoint. It never forwards the request to another entry.
func (e *Entry) serveOwned(ctx context.Context, req *port.Request, key groupKey) (*port.Response, error) {
	if err := e.checkDeadline(req); err != nil {
		return nil, err
	}
	if !e.members.ownsSelf(e.clock.Now(), key) {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoOwner, nil)
	}
	crossing, err := e.admitCrossing(req, key)
	if err != nil {
		return nil, err
	}
	o := ownedRequest{
		req:      req,
		fp:       fingerprintOf(req),
		group:    e.groups.get(key, e.admissionConfig),
		crossing: crossing,
	}
	response, err := e.tryEndpoints(ctx, o)
	crossing.end(response)
	return response, err
}

// ownedRequest is a request to a group that this entry owns.
type ownedRequest struct {
	req *port.Request
	// fp is the request's fingerprint, computed once for all attempts.
	fp    fingerprint.Fingerprint
	group *group
	// crossing is nil for a request that is served in its place of origin.
	crossing *crossing
}

// tryEndpoints sends the request to an endpoint. It sends the request to a second
// one if the first shed it or could not be connected to, or, for an idempotent
// request and within the retry budget, if the first lost its connection, sent a
// bad answer, or is late.
func (e *Entry) tryEndpoints(ctx context.Context, o ownedRequest) (*port.Response, error) {
	first, err := e.startAttempt(ctx, o, nil)
	if err != nil {
		return nil, err
	}
	var answer port.Answer
	if o.req.OnceOnly {
		answer = <-first.answer
	} else {
		var hedged bool
		answer, hedged = e.awaitHedged(ctx, o, first)
		if hedged {
			return answer.Response, answer.Err
		}
	}
	if answer.Err == nil || !e.mayRetryEndpoint(o.req, answer.Err) {
		return answer.Response, answer.Err
	}
	second, err := e.startAttempt(ctx, o, []string{first.endpoint})
	if err != nil {
		return nil, mergeFailures(answer.Err, err)
	}
	last := <-second.answer
	return last.Response, mergeFailures(answer.Err, last.Err)
}

// mayRetryEndpoint reports whether a failed request may be sent to a second
// endpoint of the group.
func (e *Entry) mayRetryEndpoint(req *port.Request, err error) bool {
	switch verdict.ReasonOf(err) {
	case verdict.ReasonShed, verdict.ReasonDial:
		return verdict.Of(err) == verdict.NotRun
	case verdict.ReasonConnection, verdict.ReasonBadAnswer:
		return !req.OnceOnly && e.retries.withdraw(e.clock.Now())
	default:
		return false
	}
}

// mergeFailures returns the failure that is reported to the caller after two
// attempts: the second, unless only the first may have run. first is nil if no
// attempt failed before; second is nil if that attempt succeeded.
func mergeFailures(first, second error) error {
	if first != nil && verdict.Of(first) != verdict.NotRun && verdict.Of(second) == verdict.NotRun {
		return first
	}
	return second
}

// awaitHedged waits for the first attempt. When its answer is late it starts a
// second attempt at another endpoint, within the retry budget, and returns the
// first success of both. The bool reports whether a second attempt was started.
func (e *Entry) awaitHedged(ctx context.Context, o ownedRequest, first *attempt) (port.Answer, bool) {
	late := time.NewTimer(o.group.hedgeDelay())
	defer late.Stop()
	select {
	case answer := <-first.answer:
		return answer, false
	case <-late.C:
	}
	if !e.retries.withdraw(e.clock.Now()) {
		return <-first.answer, false
	}
	second, err := e.startAttempt(ctx, o, []string{first.endpoint})
	if err != nil {
		return <-first.answer, false
	}
	return firstSuccess(first, second), true
}

// firstSuccess returns the first successful answer of two attempts and cancels
// the other attempt. If both fail it returns the merged failure.
func firstSuccess(a, b *attempt) port.Answer {
	other := b
	var answer port.Answer
	select {
	case answer = <-a.answer:
	case answer = <-b.answer:
		other = a
	}
	if answer.Err != nil {
		last := <-other.answer
		last.Err = mergeFailures(answer.Err, last.Err)
		return last
	}
	other.cancel()
	go discard(other)
	return answer
}

// discard closes the answer of an attempt whose result is not used.
func discard(a *attempt) {
	answer := <-a.answer
	answer.Response.Done()
	if answer.Err == nil && answer.Response.Rest != nil {
		_ = answer.Response.Rest.Close()
	}
}

// attempt is one try of a request, at an endpoint or through another entry.
type attempt struct {
	endpoint string
	answer   chan port.Answer // buffered; receives exactly one answer
	cancel   context.CancelFunc
}

// startAttempt admits the request and submits it to a worker. Every error is a
// *verdict.Error with NotRun.
func (e *Entry) startAttempt(ctx context.Context, o ownedRequest, exclude []string) (*attempt, error) {
	ticket := admission.Ticket{
		ID:       o.group.ticket.Add(1),
		Deadline: o.req.Deadline,
		Local:    o.crossing == nil,
		Exclude:  exclude,
	}
	run, err := e.admitRun(ctx, o, ticket)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, o.req.Deadline)
	a := &attempt{endpoint: run.grant.Endpoint.ID, answer: make(chan port.Answer, 1), cancel: cancel}
	err = e.calls.Submit(ctx, func() { a.answer <- run.call(ctx, cancel) })
	if err != nil {
		cancel()
		run.abandon()
		return nil, verdict.NewError(verdict.NotRun, contextReason(err), err)
	}
	return a, nil
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
