package entry

import (
	"errors"
	"sync"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/port"
)

// remoteHold is how long other entries refuse a fingerprint: after a broken
// connection, after the first death attributed to it, and in quarantine.
var remoteHold = quarantine.DefaultConfig().Hold

var (
	// errQuarantined is reported to the caller of a request in quarantine.
	errQuarantined = errors.New("the request crashed endpoints before; an operator can lift the quarantine")
	// errSuspected means that the quarantine admitted no run of the request,
	// since runs of it crashed endpoints or may turn out to have done so.
	errSuspected = errors.New("the request is suspected of crashing endpoints")
)

// suspects guards the quarantine table and wakes the requests that wait for a
// change of it.
type suspects struct {
	mu      sync.Mutex
	table   *quarantine.Table
	changed chan struct{} // closed and replaced when a run ends, an endpoint dies, or rows or lifts are applied
}

func newSuspects() *suspects {
	return &suspects{
		table:   quarantine.NewTable(quarantine.DefaultConfig()),
		changed: make(chan struct{}),
	}
}

func fingerprintOf(req *port.Request) fingerprint.Fingerprint {
	return fingerprint.Of(req.Service, req.Method, req.Target, req.BodyParts()...)
}

// startRun requests admission of a run and records the run if it is admitted.
// For Wait the channel is closed when admission may be requested again.
func (s *suspects) startRun(now time.Time, to port.Endpoint, o ownedRequest) (quarantine.Admission, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	decision := s.table.StartRun(now, to.ID, to.Incarnation, o.fp, o.req.Service)
	return decision, s.changed
}

// quarantineUpdate is a change and the rows that report it to the other
// entries.
type quarantineUpdate struct {
	quarantine.Change
	rows []port.QuarantineRow
}

// endRun records the end of a run.
func (s *suspects) endRun(now time.Time, to port.Endpoint, o ownedRequest, end quarantine.End) quarantineUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.EndRun(now, to.ID, to.Incarnation, o.fp, end)
	s.wake()
	return s.newUpdate(now, change)
}

func (s *suspects) recordDeath(now time.Time, endpoint string, incarnation uint64) quarantineUpdate {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.RecordDeath(now, endpoint, incarnation)
	s.wake()
	return s.newUpdate(now, change)
}

// newUpdate gives each part of a change its version; must hold mu.
func (s *suspects) newUpdate(now time.Time, change quarantine.Change) quarantineUpdate {
	var rows []port.QuarantineRow
	for _, f := range change.Suspected {
		rows = append(rows, port.QuarantineRow{
			Fingerprint: f.String(), Remaining: remoteHold, Suspected: true, Version: s.table.NewChangeVersion(now, f),
		})
	}
	for _, f := range change.Quarantined {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Remaining: remoteHold, Version: s.table.NewChangeVersion(now, f)})
	}
	for _, f := range change.Lifted {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Lifted: true, Version: s.table.NewLiftVersion(now, f)})
	}
	return quarantineUpdate{change, rows}
}

// liftByOperator applies the lifts that operators ordered and returns the rows
// of those that were not applied before, for the other entries.
func (s *suspects) liftByOperator(now time.Time, wanted []string) []port.QuarantineRow {
	if len(wanted) == 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []port.QuarantineRow
	for _, text := range wanted {
		f, err := fingerprint.Parse(text)
		if err != nil {
			continue
		}
		if version, again := s.table.LiftByOperator(now, f); !again {
			rows = append(rows, port.QuarantineRow{Fingerprint: text, Lifted: true, Version: version})
		}
	}
	s.wake()
	return rows
}

// activeRows returns the fingerprints that another entry must refuse or hold
// back, maxQueuedRows at most.
func (s *suspects) activeRows(now time.Time) []port.QuarantineRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.table.ActiveEntries(now)
	rows := make([]port.QuarantineRow, 0, len(all))
	for _, entry := range all[:min(len(all), maxQueuedRows)] {
		rows = append(rows, port.QuarantineRow{
			Fingerprint: entry.Fingerprint.String(), Service: entry.Service, Remaining: entry.Remaining,
			Suspected: entry.Suspected, Version: entry.Version,
		})
	}
	return rows
}

// wake makes waiting requests request admission again; must hold mu.
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

// expire removes what has expired and returns the endpoints to presume dead.
func (s *suspects) expire(now time.Time) []quarantine.UnresponsiveEndpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Expire(now)
}

// recordAnnouncement records that an endpoint is alive. An endpoint that has
// announced that it is leaving is not presumed dead when its announcements stop.
func (s *suspects) recordAnnouncement(now time.Time, a port.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.State == port.EndpointLeaving {
		s.table.RecordLeaving(now, a.ID, a.Incarnation)
		return
	}
	s.table.RecordReport(now, a.ID, a.Incarnation)
}

// applyRows applies rows that another entry sent.
func (s *suspects) applyRows(now time.Time, rows []port.QuarantineRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range rows {
		f, err := fingerprint.Parse(row.Fingerprint)
		if err == nil {
			s.applyRow(now, f, row)
		}
	}
	s.wake()
}

// applyRow applies one row; must hold mu. Every entry counts every death, so
// that two deaths at different entries lead to quarantine.
func (s *suspects) applyRow(now time.Time, f fingerprint.Fingerprint, row port.QuarantineRow) {
	if row.Lifted {
		s.table.ApplyLift(now, f, row.Version)
		return
	}
	if !s.table.AcceptChange(f, row.Version) {
		return
	}
	if row.Endpoint != "" {
		s.table.RecordDeath(now, row.Endpoint, row.Incarnation, f)
	}
	if row.Suspected {
		s.table.Suspect(now, f, row.Remaining)
	} else {
		s.table.Add(now, f, row.Remaining)
	}
}

// HandleQuarantine implements port.PeerHandler.
func (e *Entry) HandleQuarantine(rows []port.QuarantineRow) []port.QuarantineRow {
	now := e.clock.Now()
	if len(rows) == 0 {
		return e.suspects.activeRows(now)
	}
	e.suspects.applyRows(now, rows)
	e.meterQuarantined()
	return nil
}
