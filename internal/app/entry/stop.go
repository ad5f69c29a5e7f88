package entry

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// idlePoll is the time between checks for requests in flight, and for a
	// successor.
	idlePoll = 10 * time.Millisecond
	// successorWaitLimit bounds the wait for another entry that may own groups.
	// It is twice the time that a started entry needs until it may.
	successorWaitLimit = 5 * time.Second
)

// Stopping reports whether a planned stop has begun; the wait for a successor
// comes before it.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// plannedStop is a stop of the entry. Until acceptUntil every request is served;
// after that only one whose deadline is before end, when the rest is cut off.
type plannedStop struct{ acceptUntil, end time.Time }

// checkStop refuses a request that came late in a planned stop and could outlast it.
// Callers with an old look-up keep arriving.
func (e *Entry) checkStop(req *port.Request) error {
	s := e.plannedStop.Load()
	if s == nil || e.clock.Now().Before(s.acceptUntil) || req.Deadline.Before(s.end) {
		return nil
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonStopping, nil)
}

// Drain takes the entry out of service without interrupting a request. It waits
// for a successor, removes the entry from look-ups, and keeps serving until
// cached look-ups that name it have expired and its requests have ended. Then it
// hands its claims over to the other entries of its place, and waits for requests
// that came meanwhile. When ctx ends, it skips the rest of the waiting. It returns
// the number of requests that are then still in flight, 0 if ctx hasn't ended.
func (e *Entry) Drain(ctx context.Context) int64 {
	start := e.clock.Now()
	e.awaitSuccessor(ctx)
	if end, limited := ctx.Deadline(); limited {
		e.plannedStop.Store(&plannedStop{e.clock.Now().Add(lookupTTL), end})
	}
	e.stopping.Store(true)
	event.Log(ctx, e.logger, event.StopBegun)
	e.members.with(func(t *membership.Table) { t.Leave(e.clock.Now()) })
	e.wakeHeartbeat()
	if wait.For(ctx, lookupTTL) {
		e.awaitIdle(ctx)
	}
	e.claims.seal()
	e.handOver(ctx)
	left := e.awaitIdle(ctx)
	e.meter.RecordDrain(e.clock.Now().Sub(start))
	return left
}

// awaitSuccessor waits until another entry of the place may own groups, if
// one could come to do so. Until then no other entry can own the groups of the
// place, so this one stays ready and in look-ups as if no stop had been
// requested.
func (e *Entry) awaitSuccessor(ctx context.Context) {
	if e.mayLeave() {
		return
	}
	event.Log(ctx, e.logger, event.StopWaits)
	ctx, cancel := context.WithTimeout(ctx, successorWait(ctx))
	defer cancel()
	for !e.mayLeave() && wait.For(ctx, idlePoll) {
	}
}

// successorWait returns how long a stop may wait for a successor:
// successorWaitLimit, but at most half the time left to ctx, so that the entry
// can still drain.
func successorWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return successorWaitLimit
	}
	return min(successorWaitLimit, time.Until(deadline)/2)
}

func (e *Entry) mayLeave() bool { return e.members.mayLeave(e.clock.Now()) }

// awaitIdle waits until no request is in flight or ctx ends, and returns the number
// of those in flight.
func (e *Entry) awaitIdle(ctx context.Context) int64 {
	for {
		n := e.inFlight.Load()
		if n == 0 || !wait.For(ctx, idlePoll) {
			return n
		}
	}
}

// handOver sends the claims to every live entry of the place. From then on
// these entries answer resends with this incarnation's keys.
func (e *Entry) handOver(ctx context.Context) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	now := e.clock.Now()
	handOvers := e.claims.handOvers(now)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	handed := 0
	for _, member := range e.members.live(now, e.config.Place) {
		address, ok := s.entries[member.Name]
		if !ok || member.Name == e.config.Name {
			continue
		}
		if e.sendHandOvers(ctx, address.peer, handOvers) {
			handed++
		}
	}
	if handed == 0 {
		event.Log(ctx, e.logger, event.HandOverFailed, slog.Int("homes", len(handOvers)))
		return
	}
	event.Log(ctx, e.logger, event.HandOverDone, slog.Int("peers", handed))
}

// handOverTimeout bounds the hand-over of all claims to all entries.
const handOverTimeout = 5 * time.Second

func (e *Entry) sendHandOvers(ctx context.Context, address string, handOvers []claims.HandOver) bool {
	for _, h := range handOvers {
		if err := e.peers.HandOver(ctx, address, h); err != nil {
			return false
		}
	}
	return true
}
