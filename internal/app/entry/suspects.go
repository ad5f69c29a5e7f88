package entry

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// suspectHold is how long other entries hold a fingerprint back after its
// first death.
var suspectHold = quarantine.DefaultConfig().Hold

var (
	// errQuarantined tells a caller why its request is refused.
	errQuarantined = errors.New("the request crashed endpoints before; an operator can lift the quarantine")
	// errSuspected means that an endpoint died with the request on it.
	errSuspected = errors.New("the request is suspected of crashing endpoints")
)

// suspects guards the quarantine and wakes the requests that wait for it.
type suspects struct {
	mu      sync.Mutex
	table   *quarantine.Table
	changed chan struct{} // closed and replaced when a run ends
}

func newSuspects() *suspects {
	return &suspects{
		table:   quarantine.NewTable(quarantine.DefaultConfig()),
		changed: make(chan struct{}),
	}
}

func fingerprintOf(req *port.Request) fingerprint.Fingerprint {
	return fingerprint.Of(req.Service, req.Method, req.Target, req.Body)
}

// started asks for a run; for Wait the channel tells when to ask again.
func (s *suspects) started(now time.Time, to port.Endpoint, req *port.Request) (quarantine.Admission, <-chan struct{}) {
	f := fingerprintOf(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	leave := s.table.Started(now, to.ID, to.Incarnation, f, req.Service)
	return leave, s.changed
}

// ended records the end of a run.
func (s *suspects) ended(now time.Time, to port.Endpoint, req *port.Request, end quarantine.End) quarantine.Change {
	f := fingerprintOf(req)
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.Ended(now, to.ID, to.Incarnation, f, end)
	s.wake()
	return change
}

func (s *suspects) died(now time.Time, endpoint string, incarnation uint64) quarantine.Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.Died(now, endpoint, incarnation)
	s.wake()
	return change
}

// wake lets waiting requests ask again; must hold mu.
func (s *suspects) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *suspects) check(now time.Time, f fingerprint.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, quarantined := s.table.Check(now, f)
	return quarantined
}

func (s *suspects) list(now time.Time) []quarantine.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.List(now)
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Expire(now)
}

// take applies rows of another entry or of an operator.
func (s *suspects) take(now time.Time, rows []port.QuarantineRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		f, err := fingerprint.Parse(row.Fingerprint)
		if err == nil {
			s.takeRow(now, f, row)
		}
	}
	s.wake()
}

// takeRow applies one row; must hold mu. Every entry counts every death, so
// that two at different entries make a quarantine.
func (s *suspects) takeRow(now time.Time, f fingerprint.Fingerprint, row port.QuarantineRow) {
	if row.Endpoint != "" {
		s.table.Died(now, row.Endpoint, row.Incarnation, f)
	}
	switch {
	case row.Lifted:
		s.table.Lift(f)
	case row.Suspected:
		s.table.Suspect(now, f, row.Remaining)
	default:
		s.table.Add(now, f, row.Remaining)
	}
}

// checkQuarantine refuses a request that is known to crash endpoints.
func (e *Entry) checkQuarantine(req *port.Request) error {
	if !e.suspects.check(e.clock.Now(), fingerprintOf(req)) {
		return nil
	}
	return verdict.NewError(verdict.NotRun, verdict.ReasonQuarantined, errQuarantined)
}

// runNotStarted ends a run that was never sent.
func (e *Entry) runNotStarted(to port.Endpoint, req *port.Request) {
	e.suspects.ended(e.clock.Now(), to, req, quarantine.NotStarted)
}

// runEnded records how a run ended. When its connection broke, the other
// entries are told before the caller is, so that no resend through another
// entry finds one that doesn't know.
func (e *Entry) runEnded(to port.Endpoint, req *port.Request, err error) {
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
	rows := e.noteChange(e.suspects.ended(e.clock.Now(), to, req, end))
	if errors.Is(err, port.ErrConnectionLost) {
		rows = append(rows, e.blame(to, req)...)
	}
	e.spread(rows)
}

// blame checks whether the endpoint that broke a connection is gone.
func (e *Entry) blame(to port.Endpoint, req *port.Request) []port.QuarantineRow {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	if err := e.endpoints.Probe(ctx, to); !errors.Is(err, port.ErrConnectionRefused) {
		return nil
	}
	return e.died(to.ID, to.Incarnation, req.Service)
}

// endpointDied takes an endpoint out of use and tells the other entries of the
// requests that are blamed for it.
func (e *Entry) endpointDied(id string, incarnation uint64, service string) {
	e.spread(e.died(id, incarnation, service))
}

// died takes an endpoint out of use and blames what ran on it.
func (e *Entry) died(id string, incarnation uint64, service string) []port.QuarantineRow {
	now := e.clock.Now()
	event.Log(context.Background(), e.logger, event.EndpointDied,
		slog.String("endpoint", id), slog.Uint64("incarnation", incarnation))
	for _, g := range e.groups.all() {
		if g.key.service == service {
			g.lost(now, id, incarnation)
		}
	}
	rows := e.noteChange(e.suspects.died(now, id, incarnation))
	for i := range rows {
		rows[i].Endpoint = id
		rows[i].Incarnation = incarnation
	}
	return rows
}

// noteChange logs a change and returns what the other entries are to know.
func (e *Entry) noteChange(change quarantine.Change) []port.QuarantineRow {
	rows := changeRows(change)
	if len(rows) > 0 {
		e.logChange(change)
		e.meter.Quarantined(len(e.suspects.list(e.clock.Now())))
	}
	return rows
}

// spread tells the other entries in reach, and waits for them for a while.
func (e *Entry) spread(rows []port.QuarantineRow) {
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var told sync.WaitGroup
	for _, address := range e.livePeers() {
		told.Go(func() { _ = e.peers.Quarantine(ctx, address, rows) })
	}
	told.Wait()
}

func changeRows(change quarantine.Change) []port.QuarantineRow {
	var rows []port.QuarantineRow
	for _, f := range change.Suspected {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Remaining: suspectHold, Suspected: true})
	}
	for _, f := range change.Quarantined {
		hold := quarantine.DefaultConfig().Hold
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Remaining: hold})
	}
	for _, f := range change.Lifted {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Lifted: true})
	}
	return rows
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

// livePeers returns the addresses of the other entries that are heard of.
func (e *Entry) livePeers() []string {
	s := e.snapshot.Load()
	if s == nil {
		return nil
	}
	now := e.clock.Now()
	var addresses []string
	for name, address := range s.entries {
		if name == e.config.Name {
			continue
		}
		if _, live := e.members.member(now, name); live {
			addresses = append(addresses, address.peer)
		}
	}
	return addresses
}

// HandleQuarantine implements port.PeerHandler.
func (e *Entry) HandleQuarantine(rows []port.QuarantineRow) {
	e.suspects.take(e.clock.Now(), rows)
	e.meter.Quarantined(len(e.suspects.list(e.clock.Now())))
}
