package controller

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// suspicions finds requests that crash endpoints, from the runs that this
// controller dispatches, from those that other controllers report, and from the
// announcements of endpoints that have started again. It implements
// dispatch.RunRecorder. Controller.mu guards it.
type suspicions struct {
	logger *slog.Logger
	table  *quarantine.Table
	// changes are those made by this controller. One that misses some of them
	// learns less about requests that crash endpoints, and counts their crashes
	// from then on.
	changes changeLog[port.Suspicion]
	// unsent is set when a reset was recorded of a request that was never answered:
	// the other controllers must know of it before they grant it a slot.
	unsent bool
	// changedAt is when a reset was last recorded, here or by another controller.
	changedAt time.Time
	// recorded counts the changes of the evidence. undurable holds the evidence recorded here that
	// isn't durable yet, and released is closed and replaced when some of it became so. wake has an
	// element when there is new evidence.
	recorded  uint64
	undurable map[fingerprint.Fingerprint][]undurable
	released  chan struct{}
	wake      chan struct{}
}

var _ dispatch.RunRecorder = (*suspicions)(nil)

func newSuspicions(logger *slog.Logger) *suspicions {
	return &suspicions{
		logger: logger, table: quarantine.NewTable(quarantine.DefaultConfig()),
		undurable: make(map[fingerprint.Fingerprint][]undurable), released: make(chan struct{}), wake: make(chan struct{}, 1),
	}
}

// MayStart implements dispatch.RunRecorder. A request that may have crashed an endpoint doesn't
// start again before that is durable.
func (s *suspicions) MayStart(now time.Time, f fingerprint.Fingerprint) bool {
	return s.table.MayStart(now, f) && !s.holds(f)
}

// Begin implements dispatch.RunRecorder.
func (s *suspicions) Begin(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint) {
	s.table.BeginRun(now, e.ID, uint64(e.StartedMillis), f, e.Service)
}

// End implements dispatch.RunRecorder. The other controllers get the resets, and the runs
// that were given up on an endpoint that turns out to be down; not all that were given up,
// of which there are too many under overload.
func (s *suspicions) End(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint, end quarantine.End) {
	change := s.table.EndRun(now, e.ID, uint64(e.StartedMillis), f, end)
	if end == quarantine.Reset || end == quarantine.Down {
		s.unsent = s.unsent || len(change.Suspected) > 0
	}
	switch end {
	case quarantine.Reset:
		// The death of the endpoint may have been recorded before the reset.
		s.log(s.table.RecordReset(now, e.ID, uint64(e.StartedMillis), f))
		s.shareReset(now, e, f)
		return
	case quarantine.Down:
		for _, g := range change.Suspected {
			s.shareReset(now, e, g)
		}
	}
	for _, f := range change.Lifted {
		s.changes.add(port.Suspicion{Fingerprint: f, Cleared: true, Version: s.table.NewLiftVersion(now, f)})
		s.recorded++
	}
	s.log(change)
}

// shareReset lets the other controllers know that a run on an endpoint ended with a reset
// connection, or may have crashed it.
func (s *suspicions) shareReset(now time.Time, e registry.Endpoint, f fingerprint.Fingerprint) {
	s.changedAt = now
	x := port.Suspicion{
		Fingerprint: f, Endpoint: e.ID, StartedMillis: e.StartedMillis, Version: s.table.NewChangeVersion(now, f),
	}
	s.changes.add(x)
	s.noteEvidence(now, x)
}

// recordAnnouncement records that an endpoint is alive. An endpoint that leaves
// isn't presumed dead when it starts again or its announcements end.
func (s *suspicions) recordAnnouncement(now time.Time, e registry.Endpoint) {
	if e.Leaving || e.Gone {
		s.table.RecordLeaving(now, e.ID, uint64(e.StartedMillis))
		return
	}
	s.table.RecordReport(now, e.ID, uint64(e.StartedMillis))
}

// recordDeath attributes the death of an endpoint to the requests whose runs it
// ended.
func (s *suspicions) recordDeath(now time.Time, e registry.Endpoint) {
	event.Log(context.Background(), s.logger, event.EndpointDied,
		slog.String("endpoint", e.ID), slog.Int64("incarnation", e.StartedMillis))
	givenUp := s.table.GivenUp(e.ID, uint64(e.StartedMillis))
	change := s.table.RecordDeath(now, e.ID, uint64(e.StartedMillis))
	for _, f := range givenUp {
		if slices.Contains(change.Suspected, f) || slices.Contains(change.Quarantined, f) {
			s.shareReset(now, e, f) // the others don't know of this run
			s.unsent = true
		}
	}
	s.log(change)
}

// apply applies a change that another controller made.
func (s *suspicions) apply(now time.Time, x port.Suspicion) {
	s.recorded++
	switch {
	case x.Fingerprint.IsZero():
	case x.Cleared:
		s.table.ApplyLift(now, x.Fingerprint, x.Version)
	case !s.table.AcceptChange(x.Fingerprint, x.Version):
	case x.Quarantined > 0:
		s.table.Add(now, x.Fingerprint, x.Quarantined)
	default:
		s.changedAt = now
		s.log(s.table.RecordReset(now, x.Endpoint, uint64(x.StartedMillis), x.Fingerprint))
	}
}

// learn records what a gateway saw of a request, as a change made here, unless it is
// known.
func (s *suspicions) learn(now time.Time, x port.Suspicion) {
	if _, stopped := s.table.Check(now, x.Fingerprint); stopped || x.Cleared || x.Fingerprint.IsZero() {
		return
	}
	switch {
	case x.Quarantined > 0:
		s.table.Add(now, x.Fingerprint, min(x.Quarantined, maxLearnedQuarantine))
	case s.table.KnowsReset(x.Endpoint, uint64(x.StartedMillis), x.Fingerprint):
		return
	default:
		s.log(s.table.RecordReset(now, x.Endpoint, uint64(x.StartedMillis), x.Fingerprint))
	}
	x.Version = s.table.NewChangeVersion(now, x.Fingerprint)
	s.changes.add(x)
	s.noteEvidence(now, x)
	s.unsent, s.changedAt = true, now
}

// maxLearnedQuarantine bounds the quarantine that a gateway's word can cause.
const maxLearnedQuarantine = time.Minute

// expire removes expired records.
func (s *suspicions) expire(now time.Time) { s.table.Expire(now) }

// all returns what holds against requests and the changes made by this controller, for a
// controller that has started.
func (s *suspicions) all(now time.Time) []port.Suspicion {
	return append(s.known(now), s.changes.made...)
}

func (s *suspicions) log(change quarantine.Change) {
	for _, f := range change.Quarantined {
		event.Log(context.Background(), s.logger, event.Quarantined, slog.String("fingerprint", f.String()))
	}
	for _, f := range change.Lifted {
		event.Log(context.Background(), s.logger, event.QuarantineLift, slog.String("fingerprint", f.String()))
	}
}
