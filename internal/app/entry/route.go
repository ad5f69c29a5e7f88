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
	// maxPlacesTried bounds the places at which tryPlaces tries a request.
	maxPlacesTried = 4
	// ownerRetryDelay is the delay before a request to a group without an owner
	// is retried.
	ownerRetryDelay = 50 * time.Millisecond
	// peerGrace is added to the deadline of a forwarded request at the
	// forwarding entry, so that the verdict of the owner itself arrives.
	peerGrace = 50 * time.Millisecond
)

// errNoEligiblePlace means that no place may serve the request.
var errNoEligiblePlace = errors.New("no place may serve the request")

// route sends a request to the first place whose group admits it. While a group
// has no owner, or none that this entry knows or reaches, and no other place
// admits the request, it retries until less than twice ownerRetryDelay is left
// before the deadline.
func (e *Entry) route(ctx context.Context, req *port.Request) (*port.Response, error) {
	for {
		response, err := e.tryPlaces(ctx, req)
		if err == nil || verdict.Of(err) != verdict.NotRun || !errors.Is(err, errOwnerMissing) {
			return response, err
		}
		if e.remaining(req) < 2*ownerRetryDelay || !wait.For(ctx, ownerRetryDelay) {
			return nil, err
		}
	}
}

// tryPlaces tries the places in steering order until one runs the request. Only
// NotRun lets it try the next place, unless the request is idempotent;
// mayRetryElsewhere has the exceptions.
func (e *Entry) tryPlaces(ctx context.Context, req *port.Request) (*port.Response, error) {
	s, err := e.current()
	if err != nil {
		return nil, err
	}
	if err := e.checkDeadline(req); err != nil {
		return nil, err
	}
	choices := s.table.Rank(req.Service, req.Origin, view{e.members, e.clock.Now()})
	if len(choices) == 0 {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoEndpoint, e.emptyRankingError(s, req.Service))
	}
	steering.Spread(choices, rand.Uint64())
	var failure error
	ownerMissing := false
	for _, choice := range choices[:min(len(choices), maxPlacesTried)] {
		response, err := e.sendToOwner(ctx, req, groupKey{req.Service, choice.Place})
		if err == nil {
			return response, nil
		}
		failure = mergeFailures(failure, err)
		ownerMissing = ownerMissing || isOwnerMissing(err)
		if !e.mayRetryElsewhere(req, err) {
			return nil, failure
		}
	}
	if ownerMissing && verdict.Of(failure) == verdict.NotRun {
		failure = verdict.NewError(verdict.NotRun, verdict.ReasonOf(failure),
			fmt.Errorf("%w: %w", errOwnerMissing, failure))
	}
	return nil, failure
}

// emptyRankingError explains why no place may serve a request. Two causes are
// temporary and marked with errOwnerMissing: this entry has started too recently
// to know of every group or is fenced, or a group with endpoints has no owner.
// Otherwise there is no endpoint that could answer.
func (e *Entry) emptyRankingError(s *snapshot, service string) error {
	now := e.clock.Now()
	if !e.members.settled(now) {
		return fmt.Errorf("%w: %w", errOwnerMissing, errNoEligiblePlace)
	}
	def, _ := s.table.Service(service)
	for _, place := range def.Places {
		if e.members.ownerless(now, groupKey{service, place}) {
			return fmt.Errorf("%w: %w", errOwnerMissing, errNoEligiblePlace)
		}
	}
	return errNoEligiblePlace
}

// mayRetryElsewhere reports whether a failed request may be sent to another
// place before its deadline: when it did not run, or within the retry budget
// when it is idempotent. A request that was quarantined or canceled, or that
// lost its connection, is never sent to another place.
func (e *Entry) mayRetryElsewhere(req *port.Request, err error) bool {
	if e.remaining(req) <= 0 {
		return false
	}
	switch verdict.ReasonOf(err) {
	case verdict.ReasonQuarantined, verdict.ReasonCanceled:
		return false
	case verdict.ReasonConnection:
		// The request may have crashed the endpoint; only the owner may retry
		// it.
		return false
	}
	if verdict.Of(err) == verdict.NotRun {
		return true
	}
	return !req.OnceOnly && e.retries.withdraw(e.clock.Now())
}

// errOwnerMissing marks the failure of a request for which the owner of some
// group was unknown or unreachable.
var errOwnerMissing = errors.New("a group has no owner now")

func isOwnerMissing(err error) bool {
	return verdict.ReasonOf(err) == verdict.ReasonNoOwner || errors.Is(err, port.ErrPeerUnreachable)
}

// sendToOwner sends the request to the owner of a group, which is this entry or
// another one.
func (e *Entry) sendToOwner(ctx context.Context, req *port.Request, key groupKey) (*port.Response, error) {
	now := e.clock.Now()
	if e.members.ownsSelf(now, key) {
		return e.serveOwned(ctx, req, key)
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
		return e.forward(ctx, address.peer, newOwnerForward(req, key, false))
	}
	return e.forwardHedged(ctx, address.peer, req, key)
}

// newOwnerForward gives each attempt an ID of its own, by which the owner
// deduplicates it.
func newOwnerForward(req *port.Request, key groupKey, newConnection bool) port.Forward {
	attempt := *req
	attempt.ID = cryptorand.Text()
	return port.Forward{Hop: port.HopOwner, Place: key.place, Request: &attempt, NewConnection: newConnection}
}

// forwardHedgeFactor is the number of hedge delays that the forwarding entry
// waits before it hedges, so that the owner tries a second endpoint first.
const forwardHedgeFactor = 2

// forwardHedged forwards an idempotent request. When its answer is late it
// forwards it again over a new connection, since the first one may be
// unresponsive.
func (e *Entry) forwardHedged(ctx context.Context, address string, req *port.Request, key groupKey) (*port.Response, error) {
	g := e.groups.get(key, e.admissionConfig)
	start := e.clock.Now()
	first := e.startForward(ctx, address, newOwnerForward(req, key, false))
	late := time.NewTimer(forwardHedgeFactor * g.hedgeDelay())
	defer late.Stop()
	var answer port.Answer
	select {
	case answer = <-first.answer:
	case <-late.C:
		if !e.retries.withdraw(e.clock.Now()) {
			answer = <-first.answer
			break
		}
		second := e.startForward(ctx, address, newOwnerForward(req, key, true))
		answer = firstSuccess(first, second)
	}
	if answer.Err == nil {
		g.recordLatency(e.clock.Now().Sub(start))
		e.retries.deposit()
	}
	return answer.Response, answer.Err
}

// startForward starts an attempt that forwards in the background.
func (e *Entry) startForward(ctx context.Context, address string, f port.Forward) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{answer: make(chan port.Answer, 1), cancel: cancel}
	go func() {
		response, err := e.forward(ctx, address, f)
		a.answer <- port.Answer{Response: response, Err: err}
	}()
	return a
}

// forward sends a request to another entry and waits for its answer until
// peerGrace after the deadline.
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

// withGrace returns a context that ends at deadline, or when ctx is canceled,
// but not when the deadline of ctx passes.
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
