package entry

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/claims"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
)

const (
	// idlePoll is the time between looks for requests in flight, and for relief.
	idlePoll = 10 * time.Millisecond
	// reliefLimit bounds the wait for another entry that may own groups: twice
	// the time that a started entry needs to get there.
	reliefLimit = 5 * time.Second
)

// Stopping says whether a planned stop has begun.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// Drain leaves the system without cutting off a request: it waits for relief,
// look-ups stop naming this entry, it serves on while cached look-ups may still
// name it and until its requests have ended, and it hands its claims to the
// peers of its place. It returns the number of requests that were still in
// flight when ctx ended.
func (e *Entry) Drain(ctx context.Context) int64 {
	begun := e.clock.Now()
	e.awaitRelief(ctx)
	e.stopping.Store(true)
	event.Log(ctx, e.logger, event.StopBegun)
	e.members.with(func(t *membership.Table) { t.Leave(e.clock.Now()) })
	e.wakeBeat()
	if wait.For(ctx, lookupTTL) {
		e.awaitIdle(ctx)
	}
	e.claims.seal()
	e.handOver(ctx)
	e.meter.Drained(e.clock.Now().Sub(begun))
	return e.inFlight.Load()
}

// awaitRelief waits until another entry of the place may own groups, if there is
// one at all. Until then this entry is all that the place has: it goes on as if
// nothing had been said, named by look-ups and ready.
func (e *Entry) awaitRelief(ctx context.Context) {
	if e.relieved() {
		return
	}
	event.Log(ctx, e.logger, event.StopWaits)
	ctx, cancel := context.WithTimeout(ctx, reliefTime(ctx))
	defer cancel()
	for !e.relieved() && wait.For(ctx, idlePoll) {
	}
}

// reliefTime is how long a stop may wait for relief: half its time at most, so
// that it can still drain.
func reliefTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return reliefLimit
	}
	return min(reliefLimit, time.Until(deadline)/2)
}

func (e *Entry) relieved() bool { return e.members.relieved(e.clock.Now()) }

func (e *Entry) awaitIdle(ctx context.Context) {
	for e.inFlight.Load() > 0 {
		if !wait.For(ctx, idlePoll) {
			return
		}
	}
}

// handOver gives the claims to every live entry of the place; they answer the
// resends of this incarnation's keys from then on.
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
		if e.handTo(ctx, address.peer, handOvers) {
			handed++
		}
	}
	if handed == 0 {
		event.Log(ctx, e.logger, event.HandOverFailed, slog.Int("homes", len(handOvers)))
		return
	}
	event.Log(ctx, e.logger, event.HandOverDone, slog.Int("peers", handed))
}

// handOverTimeout bounds the hand-over of all claims.
const handOverTimeout = 5 * time.Second

func (e *Entry) handTo(ctx context.Context, address string, handOvers []claims.HandOver) bool {
	for _, h := range handOvers {
		if err := e.peers.HandOver(ctx, address, h); err != nil {
			return false
		}
	}
	return true
}
