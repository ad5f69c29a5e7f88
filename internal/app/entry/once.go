package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// errAnswerOmitted means that the request ran but its answer wasn't kept.
var errAnswerOmitted = errors.New("the answer was too large to keep")

// serveOnce serves a once-only request: here if this incarnation is its key's
// home, else at the home. With mayPass unset it is never passed on again.
func (e *Entry) serveOnce(ctx context.Context, req *port.Request, mayPass bool) (*port.Response, error) {
	key, err := claims.ParseKey(req.Key)
	if err != nil {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoKey, err)
	}
	if mayPass && key.Home != e.claims.home {
		return e.passHome(ctx, req, key)
	}
	print := fingerprintOf(req)
	for {
		decision, ended := e.claims.begin(e.clock.Now(), key, print)
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

// errStillRunning means that an earlier attempt of the key is under way.
var errStillRunning = errors.New("an earlier attempt of the key is under way")

// runOnce runs the one attempt of a key. The attempt goes on when its caller
// goes away, so that a resend finds the outcome.
func (e *Entry) runOnce(ctx context.Context, req *port.Request, key claims.Key) (*port.Response, error) {
	if err := e.checkDeadline(req); err != nil {
		e.claims.finish(e.clock.Now(), key, outcomeOf(nil, err))
		return nil, err
	}
	answer := make(chan port.Answer, 1)
	detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.Deadline)
	go func() {
		defer cancel()
		response, err := whole(e.startOnce(detached, req))
		e.claims.finish(e.clock.Now(), key, outcomeOf(response, err))
		answer <- port.Answer{Response: response, Err: err}
	}()
	select {
	case a := <-answer:
		return a.Response, a.Err
	case <-ctx.Done():
		e.countUntil(answer)
		return nil, verdict.NewError(verdict.MayHaveRun, contextReason(ctx.Err()), ctx.Err())
	}
}

// countUntil keeps an attempt whose caller went away among the requests in
// flight until it has ended.
func (e *Entry) countUntil(ended <-chan port.Answer) {
	e.inFlight.Add(1)
	go func() {
		<-ended
		e.inFlight.Add(-1)
	}()
}

// startOnce sends a claimed request on its way. Quarantine is asked only now:
// an earlier attempt that crashed an endpoint has its outcome in the claims.
func (e *Entry) startOnce(ctx context.Context, req *port.Request) (*port.Response, error) {
	if err := e.checkQuarantine(req); err != nil {
		return nil, err
	}
	return e.route(ctx, req)
}

// passHome forwards a request to the home of its key, or says what is known of
// a home that is gone. Only the home knows whether an earlier attempt ran, so a
// home that can't be reached is MayHaveRun.
func (e *Entry) passHome(ctx context.Context, req *port.Request, key claims.Key) (*port.Response, error) {
	if address, ok := e.homeAddress(e.clock.Now(), key.Home); ok {
		response, err := e.forward(ctx, address, port.Forward{Hop: port.HopHome, Request: req})
		if !errors.Is(err, port.ErrPeerUnreachable) {
			return response, err
		}
	}
	response, err := e.serveOnce(ctx, req, false)
	if verdict.Of(err) != verdict.MayHaveRun || verdict.ReasonOf(err) != verdict.ReasonHomeLost {
		return response, err
	}
	return e.askSuccessors(ctx, req, key, err)
}

// homeAddress returns where the home of a key is reached while it lives.
func (e *Entry) homeAddress(now time.Time, home claims.Home) (string, bool) {
	s := e.snapshot.Load()
	member, ok := e.members.member(now, home.Entry)
	if !ok || member.Incarnation != home.Incarnation {
		return "", false
	}
	address, ok := s.entries[home.Entry]
	return address.peer, ok
}

// askSuccessors asks the entries of the former home's place, which have its
// claims after a planned stop. None of them can start the key.
func (e *Entry) askSuccessors(ctx context.Context, req *port.Request, key claims.Key, lost error) (*port.Response, error) {
	s := e.snapshot.Load()
	former, ok := s.entries[key.Home.Entry]
	if !ok {
		return nil, lost
	}
	for _, member := range e.members.live(e.clock.Now(), former.place) {
		address, known := s.entries[member.Name]
		if !known || member.Name == e.config.Name {
			continue
		}
		response, err := e.forward(ctx, address.peer, port.Forward{Hop: port.HopHome, Request: req})
		if !ignorant(err) {
			return response, err
		}
	}
	return nil, lost
}

// ignorant says whether err means that the asked entry knows nothing of a key.
func ignorant(err error) bool {
	if errors.Is(err, port.ErrPeerUnreachable) {
		return true
	}
	reason := verdict.ReasonOf(err)
	unknown := reason == verdict.ReasonHomeLost || reason == verdict.ReasonPeer
	return verdict.Of(err) == verdict.MayHaveRun && unknown
}

// whole reads the rest of a large answer, so that its outcome is known.
func whole(response *port.Response, err error) (*port.Response, error) {
	if err != nil || response.Rest == nil {
		return response, err
	}
	defer func() { _ = response.Rest.Close() }()
	body, readErr := appendAll(response.Body, response.Rest)
	if readErr != nil {
		return nil, verdict.NewError(verdict.MayHaveRun, verdict.ReasonBadAnswer, readErr)
	}
	return &port.Response{Status: response.Status, Header: response.Header, Body: body}, nil
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

// fromOutcome turns a stored outcome into an answer.
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
	e.claims.take(e.clock.Now(), h)
}
