package porttest

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// maxAudit bounds the audit trail of a Store.
const maxAudit = 1000

// Store is an in-memory port.ConfigStore with injectable faults. Its exported
// fields may be set between requests, before other goroutines use it.
type Store struct {
	// NoQuorum makes every method but Status fail with port.ErrNoQuorum;
	// Status reports that there is no quorum.
	NoQuorum bool
	// LoseResponses is the number of next calls whose outcome is lost: they
	// return port.ChangeUnknown. A change is decided all the same, a lift
	// isn't.
	LoseResponses int
	// SubmitErr is returned by Submit and LiftQuarantine, which then decide
	// nothing.
	SubmitErr error
	// BeforeSubmit runs once, before the next Submit; it may call Submit
	// itself.
	BeforeSubmit func()
	// Entries is the list of entries that Status reports.
	Entries []port.EntryStatus
	// Lifted lists the operator and the fingerprint of each lift.
	Lifted []string

	mu       sync.Mutex
	current  port.Config
	audit    []port.AuditRecord
	outcomes map[string]port.Outcome
}

var _ port.ConfigStore = (*Store)(nil)

// Current implements port.ConfigStore.
func (s *Store) Current(context.Context) (port.Config, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.NoQuorum {
		return port.Config{}, port.ErrNoQuorum
	}
	return s.current, nil
}

// Submit implements port.ConfigStore.
func (s *Store) Submit(_ context.Context, change port.Change) (port.Outcome, error) {
	if before := s.BeforeSubmit; before != nil {
		s.BeforeSubmit = nil
		before()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.NoQuorum {
		return port.Outcome{}, port.ErrNoQuorum
	}
	if s.SubmitErr != nil {
		return port.Outcome{}, s.SubmitErr
	}
	outcome, resent := s.outcomes[change.ID]
	if !resent {
		outcome = s.decide(change)
	}
	if s.LoseResponses > 0 {
		s.LoseResponses--
		return port.Outcome{ChangeID: change.ID, State: port.ChangeUnknown}, nil
	}
	return outcome, nil
}

// decide applies a change and records its outcome. The caller must hold mu.
func (s *Store) decide(change port.Change) port.Outcome {
	outcome := port.Outcome{ChangeID: change.ID, State: port.ChangeConflict}
	from := s.current.Version
	if change.BaseVersion == from {
		outcome.State = port.ChangeAccepted
		outcome.Operator = change.Operator
		s.current = port.Config{Version: from + 1, Digest: document.Digest(change.Document), Document: change.Document}
	} else if len(s.audit) > 0 {
		outcome.Operator = s.audit[len(s.audit)-1].Operator
	}
	outcome.Version = s.current.Version
	outcome.Digest = s.current.Digest
	s.audit = audit.Append(s.audit, port.AuditRecord{
		Time: time.Unix(int64(len(s.audit)), 0).UTC(), Operator: change.Operator, ChangeID: change.ID,
		From: change.BaseVersion, To: outcome.Version, Digest: outcome.Digest, State: outcome.State,
	}, maxAudit)
	if s.outcomes == nil {
		s.outcomes = make(map[string]port.Outcome)
	}
	s.outcomes[change.ID] = outcome
	return outcome
}

// Audit implements port.ConfigStore.
func (s *Store) Audit(context.Context) ([]port.AuditRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.NoQuorum {
		return nil, port.ErrNoQuorum
	}
	return append([]port.AuditRecord(nil), s.audit...), nil
}

// Status implements port.ConfigStore.
func (s *Store) Status(context.Context) (port.ControlStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return port.ControlStatus{
		Member: "c1", Quorum: !s.NoQuorum, Version: s.current.Version, Digest: s.current.Digest,
		Entries: append([]port.EntryStatus(nil), s.Entries...),
	}, nil
}

// LiftQuarantine implements port.ConfigStore.
func (s *Store) LiftQuarantine(_ context.Context, lift port.Lift) (port.Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.NoQuorum {
		return port.Outcome{}, port.ErrNoQuorum
	}
	if s.SubmitErr != nil {
		return port.Outcome{}, s.SubmitErr
	}
	outcome := port.Outcome{ChangeID: lift.ID, State: port.ChangeLifted, Version: s.current.Version, Digest: s.current.Digest}
	if s.LoseResponses > 0 {
		s.LoseResponses--
		outcome.State = port.ChangeUnknown
		return outcome, nil
	}
	s.Lifted = append(s.Lifted, lift.Operator+" "+lift.Fingerprint)
	s.audit = audit.Append(s.audit, port.AuditRecord{
		Time: time.Unix(int64(len(s.audit)), 0).UTC(), Operator: lift.Operator, ChangeID: lift.ID,
		From: s.current.Version, To: s.current.Version, Digest: lift.Fingerprint, State: outcome.State,
	}, maxAudit)
	return outcome, nil
}

// SetEntries replaces the entries that Status reports; it may be called at any
// time.
func (s *Store) SetEntries(entries []port.EntryStatus) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Entries = entries
}
