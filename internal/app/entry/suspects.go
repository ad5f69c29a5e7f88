package entry

import (
	"errors"
	"sync"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/port"
)

// suspectHold is how long other entries hold a fingerprint back, after its first
// death and in quarantine.
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
func (s *suspects) started(now time.Time, to port.Endpoint, o owned) (quarantine.Admission, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	leave := s.table.Started(now, to.ID, to.Incarnation, o.print, o.req.Service)
	return leave, s.changed
}

// news is a change and what the other entries are to know of it.
type news struct {
	quarantine.Change
	rows []port.QuarantineRow
}

// ended records the end of a run.
func (s *suspects) ended(now time.Time, to port.Endpoint, o owned, end quarantine.End) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.Ended(now, to.ID, to.Incarnation, o.print, end)
	s.wake()
	return s.newsOf(now, change)
}

func (s *suspects) died(now time.Time, endpoint string, incarnation uint64) news {
	s.mu.Lock()
	defer s.mu.Unlock()
	change := s.table.Died(now, endpoint, incarnation)
	s.wake()
	return s.newsOf(now, change)
}

// newsOf gives each part of a change its version; must hold mu.
func (s *suspects) newsOf(now time.Time, change quarantine.Change) news {
	var rows []port.QuarantineRow
	for _, f := range change.Suspected {
		rows = append(rows, port.QuarantineRow{
			Fingerprint: f.String(), Remaining: suspectHold, Suspected: true, Version: s.table.Changed(now, f),
		})
	}
	for _, f := range change.Quarantined {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Remaining: suspectHold, Version: s.table.Changed(now, f)})
	}
	for _, f := range change.Lifted {
		rows = append(rows, port.QuarantineRow{Fingerprint: f.String(), Lifted: true, Version: s.table.Lifted(now, f)})
	}
	return news{change, rows}
}

// liftByOrder lifts what operators want and returns what is new of it, for the
// other entries.
func (s *suspects) liftByOrder(now time.Time, wanted []string) []port.QuarantineRow {
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
		if version, again := s.table.LiftByOrder(now, f); !again {
			rows = append(rows, port.QuarantineRow{Fingerprint: text, Lifted: true, Version: version})
		}
	}
	s.wake()
	return rows
}

// held returns what another entry is to refuse.
func (s *suspects) held(now time.Time) []port.QuarantineRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.table.Held(now)
	rows := make([]port.QuarantineRow, 0, len(all))
	for _, entry := range all[:min(len(all), maxUntold)] {
		rows = append(rows, port.QuarantineRow{
			Fingerprint: entry.Fingerprint.String(), Service: entry.Service, Remaining: entry.Remaining,
			Suspected: entry.Suspected, Version: entry.Version,
		})
	}
	return rows
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

// expire returns the endpoints that are to be taken for dead.
func (s *suspects) expire(now time.Time) []quarantine.Silent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Expire(now)
}

// heard notes that an endpoint reported itself.
func (s *suspects) heard(now time.Time, a port.Announcement) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.State == port.EndpointLeaving {
		s.table.Left(a.ID, a.Incarnation)
		return
	}
	s.table.Heard(now, a.ID, a.Incarnation)
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
	if row.Lifted {
		s.table.TakeLift(now, f, row.Version)
		return
	}
	if !s.table.TakeChange(f, row.Version) {
		return
	}
	if row.Endpoint != "" {
		s.table.Died(now, row.Endpoint, row.Incarnation, f)
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
		return e.suspects.held(now)
	}
	e.suspects.take(now, rows)
	e.meterQuarantined()
	return nil
}
