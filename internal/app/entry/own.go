package entry

import (
	"context"
	"time"

	"sassafrasreach/internal/core/admission"
	"sassafrasreach/internal/core/fingerprint"
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
	crossing, err := e.cross(req, key)
	if err != nil {
		return nil, err
	}
	o := owned{
		req:      req,
		print:    fingerprintOf(req),
		group:    e.groups.get(key, e.admissionConfig),
		crossing: crossing,
	}
	response, err := e.tryEndpoints(ctx, o)
	crossing.end(response)
	return response, err
}

// owned is a request to a group that this entry owns.
type owned struct {
	req *port.Request
	// print is the request's fingerprint, worked out once for all attempts.
	print fingerprint.Fingerprint
	group *group
	// crossing is nil for a request that is served in its place of origin.
	crossing *crossing
}

// tryEndpoints sends the request to an endpoint, and to a second one when the
// first did not run it, or when it is idempotent and the first is late.
func (e *Entry) tryEndpoints(ctx context.Context, o owned) (*port.Response, error) {
	first, err := e.start(ctx, o, nil)
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
	if answer.Err == nil || !e.mayRetryHere(o.req, answer.Err) {
		return answer.Response, answer.Err
	}
	second, err := e.start(ctx, o, []string{first.endpoint})
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
func (e *Entry) awaitHedged(ctx context.Context, o owned, first *attempt) (port.Answer, bool) {
	late := time.NewTimer(o.group.lateAfter())
	defer late.Stop()
	select {
	case answer := <-first.answer:
		return answer, false
	case <-late.C:
	}
	if !e.retries.withdraw(e.clock.Now()) {
		return <-first.answer, false
	}
	second, err := e.start(ctx, o, []string{first.endpoint})
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
func (e *Entry) start(ctx context.Context, o owned, exclude []string) (*attempt, error) {
	ticket := admission.Ticket{
		ID:       o.group.ticket.Add(1),
		Deadline: o.req.Deadline,
		Own:      o.crossing == nil,
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
