package entry

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// checkQuarantine refuses a request that is known to crash endpoints.
func (e *Entry) checkQuarantine(req *port.Request) error {
	if !e.suspects.check(e.clock.Now(), fingerprintOf(req)) {
		return nil
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonQuarantined, errQuarantined)
}

// runNotStarted ends a run that was never sent.
func (e *Entry) runNotStarted(to port.Endpoint, o owned) {
	e.suspects.ended(e.clock.Now(), to, o, quarantine.NotStarted)
}

// runEnded records how a run ended. When its connection broke, the other
// entries are told before the caller is, so that no resend through another
// entry finds one that doesn't know.
func (e *Entry) runEnded(to port.Endpoint, o owned, err error) {
	end := quarantine.Lost
	switch verdict.Of(err) {
	case verdict.Ran:
		end = quarantine.Answered
	case verdict.NotRun:
		end = quarantine.NotStarted
	}
	if errors.Is(err, port.ErrConnectionLost) {
		end = quarantine.Reset
	}
	rows := e.noteChange(e.suspects.ended(e.clock.Now(), to, o, end))
	if errors.Is(err, port.ErrConnectionLost) {
		rows = append(rows, e.blame(to, o.req.Service)...)
	}
	if end == quarantine.Answered {
		e.spreadLater(rows) // a lift makes no caller wait
		return
	}
	e.spread(rows)
}

// blame checks whether the endpoint that broke a connection is gone.
func (e *Entry) blame(to port.Endpoint, service string) []port.QuarantineRow {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := e.endpoints.Probe(ctx, to); !errors.Is(err, port.ErrConnectionRefused) {
		return nil
	}
	return e.died(to.ID, to.Incarnation, service)
}

// endpointDied takes an endpoint out of use and tells the other entries of the
// requests that are blamed for it.
func (e *Entry) endpointDied(id string, incarnation uint64, service string) {
	e.spread(e.died(id, incarnation, service))
}

// died takes an endpoint out of use and blames what ran on it.
func (e *Entry) died(id string, incarnation uint64, service string) []port.QuarantineRow {
	now := e.clock.Now()
	for _, g := range e.groups.all() {
		if g.key.service == service {
			g.lost(now, id, incarnation)
		}
	}
	return e.blameFor(now, id, incarnation)
}

// takeForDead blames what ran on an endpoint that shows no life any more. It
// stays in use: admission judges by itself.
func (e *Entry) takeForDead(silent quarantine.Silent) {
	e.spread(e.blameFor(e.clock.Now(), silent.Endpoint, silent.Number))
}

// blameFor blames what ran on an endpoint for its death.
func (e *Entry) blameFor(now time.Time, id string, incarnation uint64) []port.QuarantineRow {
	event.Log(context.Background(), e.logger, event.EndpointDied,
		slog.String("endpoint", id), slog.Uint64("incarnation", incarnation))
	rows := e.noteChange(e.suspects.died(now, id, incarnation))
	for i := range rows {
		rows[i].Endpoint = id
		rows[i].Incarnation = incarnation
	}
	return rows
}

// noteChange logs a change and returns what the other entries are to know.
func (e *Entry) noteChange(n news) []port.QuarantineRow {
	if len(n.rows) > 0 {
		e.logChange(n.Change)
		e.meterQuarantined()
	}
	return n.rows
}

// meterQuarantined tells the meter how many fingerprints are in quarantine.
func (e *Entry) meterQuarantined() {
	e.meter.Quarantined(len(e.suspects.list(e.clock.Now())))
}

func (e *Entry) logChange(change quarantine.Change) {
	ctx := context.Background()
	for _, f := range change.Quarantined {
		event.Log(ctx, e.logger, event.Quarantined, slog.String("fingerprint", f.String()))
	}
	for _, f := range change.Lifted {
		event.Log(ctx, e.logger, event.QuarantineLift, slog.String("fingerprint", f.String()))
	}
}
