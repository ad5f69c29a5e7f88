package entry

import (
	"context"
	cryptorand "crypto/rand"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// maxPlaces is the number of places that one request is offered to.
	maxPlaces = 4
	// ownerRetryDelay is the wait before a group without an owner is tried again.
	ownerRetryDelay = 50 * time.Millisecond
	// peerGrace is how much longer than the deadline a forwarded request is
	// waited for, so that the owner's own verdict arrives.
	peerGrace = 50 * time.Millisecond
)

// errNoChoice means that no place may serve the request.
var errNoChoice = errors.New("no place may serve the request")

// route sends a request to the first place whose group admits it. While a
// group has no owner, or this entry knows of none yet, and no other place admits
// the request, it tries again until too little time is left.
func (e *Entry) route(ctx context.Context, req *port.Request) (*port.Response, error) {
	for {
		response, err := e.routeOnce(ctx, req)
		if err == nil || verdict.Of(err) != verdict.NotRun || !errors.Is(err, errOwnerMissing) {
			return response, err
		}
		if e.remaining(req) < 2*ownerRetryDelay || !wait.For(ctx, ownerRetryDelay) {
			return nil, err
		}
	}
}

// routeOnce offers the request to the places in their order until one runs it.
// It goes on after NotRun only, unless the request is idempotent.
func (e *Entry) routeOnce(ctx context.Context, req *port.Request) (*port.Response, error) {
	s, err := e.current()
	if err != nil {
		return nil, err
	}
	if err := e.checkDeadline(req); err != nil {
		return nil, err
	}
	choices := s.table.Rank(req.Service, req.Origin, view{e.members, e.clock.Now()})
	if len(choices) == 0 {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoEndpoint, e.noChoice(s, req.Service))
	}
	steering.Spread(choices, rand.Uint64())
	var failure error
	ownerMissing := false
	for _, choice := range choices[:min(len(choices), maxPlaces)] {
		response, err := e.toOwner(ctx, req, groupKey{req.Service, choice.Place})
		if err == nil {
			return response, nil
		}
		failure = moreCertain(failure, err)
		ownerMissing = ownerMissing || isOwnerMissing(err)
		if !e.mayTryAgain(req, err) {
			return nil, failure
		}
	}
	if ownerMissing && verdict.Of(failure) == verdict.NotRun {
		failure = verdict.NewError(verdict.NotRun, verdict.ReasonOf(failure),
			fmt.Errorf("%w: %w", errOwnerMissing, failure))
	}
	return nil, failure
}

// noChoice tells why no place may serve a request: this entry hasn't been up for
// long enough to have heard of every group, or a group with endpoints has no
// owner, both of which pass; or there is nothing that could answer.
func (e *Entry) noChoice(s *snapshot, service string) error {
	now := e.clock.Now()
	if !e.members.settled(now) {
		return fmt.Errorf("%w: %w", errOwnerMissing, errNoChoice)
	}
	def, _ := s.table.Service(service)
	for _, place := range def.Places {
		if e.members.orphaned(now, groupKey{service, place}) {
			return fmt.Errorf("%w: %w", errOwnerMissing, errNoChoice)
		}
	}
	return errNoChoice
}

// mayTryAgain says whether a failed request may go to another place: always
// when it did not run, and within the retry budget when it is idempotent.
func (e *Entry) mayTryAgain(req *port.Request, err error) bool {
	if e.remaining(req) <= 0 {
		return false
	}
	switch verdict.ReasonOf(err) {
	case verdict.ReasonQuarantined, verdict.ReasonCanceled:
		return false
	case verdict.ReasonConnection:
		// It may have crashed the endpoint; only the owner may try it again.
		return false
	}
	if verdict.Of(err) == verdict.NotRun {
		return true
	}
	return !req.OnceOnly && e.retries.withdraw(e.clock.Now())
}

// errOwnerMissing marks the failure of a request for which some group's owner
// wasn't found or reached.
var errOwnerMissing = errors.New("a group has no owner now")

func isOwnerMissing(err error) bool {
	return verdict.ReasonOf(err) == verdict.ReasonNoOwner || errors.Is(err, port.ErrPeerUnreachable)
}

// toOwner sends the request to the owner of a group, which is this entry or
// another one.
func (e *Entry) toOwner(ctx context.Context, req *port.Request, key groupKey) (*port.Response, error) {
	now := e.clock.Now()
	if e.members.ownsSelf(now, key) {
		return e.own(ctx, req, key)
	}
	owner, ok := e.members.owner(now, key)
	if !ok || owner.Name == e.config.Name {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoOwner, nil)
	}
	address, ok := e.snapshot.Load().entries[owner.Name]
	if !ok {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoOwner, nil)
	}
	if req.OnceOnly {
		return e.forward(ctx, address.peer, ownerForward(req, key, false))
	}
	return e.forwardHedged(ctx, address.peer, req, key)
}

// ownerForward gives each attempt an ID of its own, by which the owner starts
// it once only.
func ownerForward(req *port.Request, key groupKey, fresh bool) port.Forward {
	one := *req
	one.ID = cryptorand.Text()
	return port.Forward{Hop: port.HopOwner, Place: key.place, Request: &one, Fresh: fresh}
}

// forwardLate is how many times later than its owner another entry takes an
// answer for late, so that the owner tries a second endpoint first.
const forwardLate = 2

// forwardHedged forwards an idempotent request. When its answer is late it
// tries again over a new connection, since the first may have gone silent.
func (e *Entry) forwardHedged(ctx context.Context, address string, req *port.Request, key groupKey) (*port.Response, error) {
	g := e.groups.get(key, e.admissionConfig)
	begun := e.clock.Now()
	first := e.startForward(ctx, address, ownerForward(req, key, false))
	late := time.NewTimer(forwardLate * g.lateAfter())
	defer late.Stop()
	var answer port.Answer
	select {
	case answer = <-first.answer:
	case <-late.C:
		if !e.retries.withdraw(e.clock.Now()) {
			answer = <-first.answer
			break
		}
		second := e.startForward(ctx, address, ownerForward(req, key, true))
		answer = better(first, second)
	}
	if answer.Err == nil {
		g.observe(e.clock.Now().Sub(begun))
		e.retries.deposit()
	}
	return answer.Response, answer.Err
}

// startForward forwards in the background.
func (e *Entry) startForward(ctx context.Context, address string, f port.Forward) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{answer: make(chan port.Answer, 1), cancel: cancel}
	go func() {
		response, err := e.forward(ctx, address, f)
		a.answer <- port.Answer{Response: response, Err: err}
	}()
	return a
}

// forward passes a request to another entry, with a little more time than its
// deadline.
func (e *Entry) forward(ctx context.Context, address string, f port.Forward) (*port.Response, error) {
	ctx, cancel := withGrace(ctx, f.Request.Deadline.Add(peerGrace))
	response, err := e.peers.Forward(ctx, address, f)
	if err != nil || response.Rest == nil {
		cancel()
		return response, err
	}
	response.Rest = &closer{ReadCloser: response.Rest, after: cancel}
	return response, nil
}

// withGrace returns a context that ends at deadline, or when ctx is cancelled
// but not when its own deadline passes.
func withGrace(ctx context.Context, deadline time.Time) (context.Context, context.CancelFunc) {
	graced, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	stop := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return graced, func() {
		stop()
		cancel()
	}
}
