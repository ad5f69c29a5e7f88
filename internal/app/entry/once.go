package entry

import (
	"context"
	"errors"
	"net/http"
	"runtime"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// errAnswerOmitted means that the request ran but its answer was not stored,
// because it was too large or the claims took up too much memory.
var errAnswerOmitted = errors.New("the answer was not stored: it was too large or the memory for claims was full")

// serveOnce serves a once-only request here if this incarnation is its key's
// coordinator, else forwards it to the coordinator. With mayForward unset it
// decides from the claims of this entry, whichever the coordinator is.
func (e *Entry) serveOnce(ctx context.Context, req *port.Request, mayForward bool) (*port.Response, error) {
	key, err := claims.ParseKey(req.Key)
	if err != nil {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoKey, err)
	}
	if mayForward && key.Coordinator != e.claims.self {
		return e.forwardToCoordinator(ctx, req, key)
	}
	fp := fingerprintOf(req)
	for {
		decision, ended := e.claims.begin(e.clock.Now(), key, fp)
		switch decision.Kind {
		case claims.Start:
			return e.runOnce(ctx, req, key)
		case claims.Stored:
			return fromOutcome(decision.Outcome)
		case claims.Refuse:
			return nil, verdict.NewError(decision.Outcome.Verdict, decision.Reason, nil)
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return nil, verdict.NewError(verdict.MayHaveRun, contextReason(ctx.Err()), errStillRunning)
		}
	}
}

// errStillRunning means that an earlier attempt of the key is in flight.
var errStillRunning = errors.New("an earlier attempt of the key is still in flight")

// runOnce runs the only attempt of a key. The attempt continues when its caller
// disconnects, so that a resend finds the outcome.
func (e *Entry) runOnce(ctx context.Context, req *port.Request, key claims.Key) (*port.Response, error) {
	err := e.checkDeadline(req)
	if err == nil {
		err = e.checkStop(req)
	}
	if err != nil {
		e.claims.finish(e.clock.Now(), key, outcomeOf(nil, err))
		return nil, err
	}
	answer := make(chan port.Answer, 1)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	release := req.RetainBody()
	go func() {
		defer cancel()
		defer release()
		response, err := e.readFully(e.routeOnceOnly(detached, req))
		e.claims.finish(e.clock.Now(), key, outcomeOf(response, err))
		answer <- port.Answer{Response: response, Err: err}
	}()
	select {
	case a := <-answer:
		return a.Response, a.Err
	case <-ctx.Done():
		e.keepInFlight(answer)
		return nil, verdict.NewError(verdict.MayHaveRun, contextReason(ctx.Err()), ctx.Err())
	}
}

// keepInFlight counts an attempt whose caller disconnected among the requests
// in flight until it has ended.
func (e *Entry) keepInFlight(ended <-chan port.Answer) {
	e.inFlight.Add(1)
	go func() {
		<-ended
		e.inFlight.Add(-1)
	}()
}

// routeOnceOnly routes a claimed request. Quarantine is checked only after the
// claim: the outcome of an earlier attempt that crashed an endpoint is in the
// claims and takes precedence.
func (e *Entry) routeOnceOnly(ctx context.Context, req *port.Request) (*port.Response, error) {
	if err := e.checkQuarantine(req); err != nil {
		return nil, err
	}
	return e.route(ctx, req)
}

// forwardToCoordinator forwards a request to the coordinator of its key. If
// that incarnation is gone or unreachable, the answer comes from the claims
// that it handed over. Only the coordinator knows whether an earlier attempt
// ran, so without those claims the verdict is MayHaveRun.
func (e *Entry) forwardToCoordinator(ctx context.Context, req *port.Request, key claims.Key) (*port.Response, error) {
	if address, ok := e.coordinatorAddress(e.clock.Now(), key.Coordinator); ok {
		response, err := e.forward(ctx, address, port.Forward{Hop: port.HopCoordinator, Request: req})
		if !errors.Is(err, port.ErrPeerUnreachable) {
			return response, err
		}
	}
	response, err := e.serveOnce(ctx, req, false)
	if verdict.Of(err) != verdict.MayHaveRun || verdict.ReasonOf(err) != verdict.ReasonCoordinatorLost {
		return response, err
	}
	return e.querySuccessors(ctx, req, key, err)
}

// coordinatorAddress returns the peer address of a key's coordinator while that
// incarnation is live.
func (e *Entry) coordinatorAddress(now time.Time, coordinator claims.Coordinator) (string, bool) {
	s := e.snapshot.Load()
	member, ok := e.members.member(now, coordinator.Entry)
	if !ok || member.Incarnation != coordinator.Incarnation {
		return "", false
	}
	address, ok := s.entries[coordinator.Entry]
	return address.peer, ok
}

// querySuccessors queries the entries of the former coordinator's place, which
// have its claims after a planned stop. None of them can start the request.
func (e *Entry) querySuccessors(ctx context.Context, req *port.Request, key claims.Key, lost error) (*port.Response, error) {
	s := e.snapshot.Load()
	coordinator, ok := s.entries[key.Coordinator.Entry]
	if !ok {
		return nil, lost
	}
	for _, member := range e.members.live(e.clock.Now(), coordinator.place) {
		address, known := s.entries[member.Name]
		if !known || member.Name == e.config.Name {
			continue
		}
		response, err := e.forward(ctx, address.peer, port.Forward{Hop: port.HopCoordinator, Request: req})
		if !lacksKeyRecord(err) {
			return response, err
		}
	}
	return nil, lost
}

// lacksKeyRecord reports whether err means that the queried entry is
// unreachable, failed, or has no record of the key.
func lacksKeyRecord(err error) bool {
	if errors.Is(err, port.ErrPeerUnreachable) {
		return true
	}
	reason := verdict.ReasonOf(err)
	unknown := reason == verdict.ReasonCoordinatorLost || reason == verdict.ReasonPeer
	return verdict.Of(err) == verdict.MayHaveRun && unknown
}

// readFully reads the rest of a streamed answer, so that the whole outcome can
// be stored.
func (e *Entry) readFully(response *port.Response, err error) (*port.Response, error) {
	if err != nil || response.Rest == nil {
		return response, err
	}
	defer response.Done()
	defer func() { _ = response.Rest.Close() }()
	account := e.memory.Open()
	body, err := appendAll(response.Body, response.Rest, account)
	if err != nil {
		account.Close()
		return nil, verdict.NewError(verdict.MayHaveRun, answerReason(err), err)
	}
	whole := &port.Response{Status: response.Status, Header: response.Header, Body: body, Release: account.Close}
	// One whose caller has left is dropped without Release.
	runtime.AddCleanup(whole, (*memory.Account).Close, account)
	return whole, nil
}

// answerReason returns the reason of an answer that couldn't be read.
func answerReason(err error) verdict.Reason {
	if errors.Is(err, errAnswerMemory) {
		return verdict.ReasonMemory
	}
	return verdict.ReasonBadAnswer
}

func outcomeOf(response *port.Response, err error) claims.Outcome {
	if err != nil {
		return claims.Outcome{Verdict: verdict.Of(err), Reason: verdict.ReasonOf(err)}
	}
	return claims.Outcome{
		Verdict: verdict.Ran,
		Status:  response.Status,
		Header:  response.Header,
		Body:    response.Body,
	}
}

// fromOutcome converts a stored outcome into an answer.
func fromOutcome(o claims.Outcome) (*port.Response, error) {
	if o.Verdict != verdict.Ran {
		return nil, verdict.NewError(o.Verdict, o.Reason, nil)
	}
	if o.Omitted {
		return nil, verdict.NewError(verdict.Ran, verdict.ReasonBadAnswer, errAnswerOmitted)
	}
	return &port.Response{Status: o.Status, Header: cloneHeader(o.Header), Body: o.Body}, nil
}

func cloneHeader(h http.Header) http.Header {
	if h == nil {
		return http.Header{}
	}
	return h.Clone()
}

// HandleHandOver implements port.PeerHandler.
func (e *Entry) HandleHandOver(h claims.HandOver) {
	e.claims.importHandOver(e.clock.Now(), h)
}
