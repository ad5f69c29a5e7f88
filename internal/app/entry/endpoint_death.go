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

// checkQuarantine refuses a request whose fingerprint is in quarantine because
// it crashed endpoints.
func (e *Entry) checkQuarantine(req *port.Request) error {
	if !e.suspects.check(e.clock.Now(), fingerprintOf(req)) {
		return nil
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonQuarantined, errQuarantined)
}

// recordRunNotStarted ends a run whose request was never sent.
func (e *Entry) recordRunNotStarted(to port.Endpoint, o ownedRequest) {
	e.suspects.endRun(e.clock.Now(), to, o, quarantine.NotStarted)
}

// recordRunEnd records how a run ended. After a broken connection it returns
// only once the other live entries have acknowledged the change, or after
// broadcastTimeout. The caller receives the failure after that, so that a
// resend through another entry finds the request held back there.
func (e *Entry) recordRunEnd(to port.Endpoint, o ownedRequest, err error) {
	end := quarantine.Observation{
		Verdict: verdict.Of(err), ConnectionLost: errors.Is(err, port.ErrConnectionLost),
		ConnectionRefused: errors.Is(err, port.ErrConnectionRefused),
	}.End()
	rows := e.recordChange(e.suspects.endRun(e.clock.Now(), to, o, end))
	if end == quarantine.Reset {
		rows = append(rows, e.probeAfterReset(to, o.req.Service)...)
	}
	if end == quarantine.Answered {
		e.broadcastLater(rows) // an answer can only lift a suspicion, for which the caller need not wait
		return
	}
	e.broadcast(rows)
}

// probeAfterReset probes an endpoint that broke a connection and records its
// death if it refuses connections. It returns the rows to broadcast.
func (e *Entry) probeAfterReset(to port.Endpoint, service string) []port.QuarantineRow {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := e.endpoints.Probe(ctx, to); !errors.Is(err, port.ErrConnectionRefused) {
		return nil
	}
	return e.recordEndpointDeath(to.ID, to.Incarnation, service)
}

// removeDeadEndpoint takes an endpoint out of use and broadcasts the requests
// to which its death is attributed.
func (e *Entry) removeDeadEndpoint(id string, incarnation uint64, service string) {
	e.broadcast(e.recordEndpointDeath(id, incarnation, service))
}

// recordEndpointDeath takes an endpoint out of use and attributes its death to
// the requests that ran on it.
func (e *Entry) recordEndpointDeath(id string, incarnation uint64, service string) []port.QuarantineRow {
	now := e.clock.Now()
	for _, g := range e.groups.all() {
		if g.key.service == service {
			g.markEndpointLost(now, id, incarnation)
		}
	}
	return e.attributeDeath(now, id, incarnation)
}

// presumeDead attributes the presumed death of an endpoint, which broke a
// connection or became unresponsive, to the requests that ran on it. The
// endpoint stays in use: admission has its own failure detector.
func (e *Entry) presumeDead(endpoint quarantine.UnresponsiveEndpoint) {
	e.broadcast(e.attributeDeath(e.clock.Now(), endpoint.Endpoint, endpoint.Incarnation))
}

// attributeDeath attributes the death of an endpoint to the requests that ran
// on it and returns the rows to broadcast.
func (e *Entry) attributeDeath(now time.Time, id string, incarnation uint64) []port.QuarantineRow {
	event.Log(context.Background(), e.logger, event.EndpointDied,
		slog.String("endpoint", id), slog.Uint64("incarnation", incarnation))
	rows := e.recordChange(e.suspects.recordDeath(now, id, incarnation))
	for i := range rows {
		rows[i].Endpoint = id
		rows[i].Incarnation = incarnation
	}
	return rows
}

// recordChange logs and meters a change of the quarantine and returns the rows
// to broadcast.
func (e *Entry) recordChange(u quarantineUpdate) []port.QuarantineRow {
	if len(u.rows) > 0 {
		e.logQuarantineChange(u.Change)
		e.meterQuarantined()
	}
	return u.rows
}

// meterQuarantined reports the number of fingerprints in quarantine to the
// meter.
func (e *Entry) meterQuarantined() {
	e.meter.SetQuarantined(len(e.suspects.list(e.clock.Now())))
}

func (e *Entry) logQuarantineChange(change quarantine.Change) {
	ctx := context.Background()
	for _, f := range change.Quarantined {
		event.Log(ctx, e.logger, event.Quarantined, slog.String("fingerprint", f.String()))
	}
	for _, f := range change.Lifted {
		event.Log(ctx, e.logger, event.QuarantineLift, slog.String("fingerprint", f.String()))
	}
}
