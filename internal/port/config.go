package port

import (
	"context"
	"errors"
	"time"
)

// Config is one accepted version of the document.
type Config struct {
	// Version counts accepted documents from 1; 0 means none yet.
	Version uint64
	// Digest is the hex SHA-256 of Document.
	Digest string
	// Document is the accepted YAML text.
	Document []byte
}

// Change is an operator's request to replace the document.
type Change struct {
	// ID identifies the change; a retry has the same ID.
	ID string
	// Operator names the operator that submitted the change.
	Operator string
	// BaseVersion is the version that the change was made from.
	BaseVersion uint64
	// Document is the new YAML text.
	Document []byte
}

// ChangeState is the result of a change.
type ChangeState string

const (
	// ChangeAccepted means that the change was accepted as a new version.
	ChangeAccepted ChangeState = "accepted"
	// ChangeConflict means that another change was accepted on the same base
	// version.
	ChangeConflict ChangeState = "conflict"
	// ChangeInvalid means that the document is invalid.
	ChangeInvalid ChangeState = "invalid"
	// ChangeUnknown means that the change may have been accepted; the operator
	// retries it with the same ID to find out.
	ChangeUnknown ChangeState = "may-have-been-accepted"
	// ChangeLifted means that a quarantine was lifted; the document is
	// unchanged.
	ChangeLifted ChangeState = "lifted"
)

// Lift is an operator's request to take a request's fingerprint out of
// quarantine.
type Lift struct {
	// ID identifies the lift; a retry has the same ID.
	ID string
	// Operator names the operator that submitted the lift.
	Operator string
	// Fingerprint is the fingerprint of the quarantined request.
	Fingerprint string
}

// Outcome is the result of a change or lift.
type Outcome struct {
	// ChangeID is the ID of the change or lift.
	ChangeID string `json:"change_id"`
	// State is the result.
	State ChangeState `json:"state"`
	// Version and Digest are of the document in the register: the change's own
	// when accepted, the conflicting one's on a conflict.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Operator names the operator whose change made that version.
	Operator string `json:"operator"`
}

// AuditRecord is one entry of the audit trail.
type AuditRecord struct {
	// Time is when the change was decided, by the deciding VM's clock.
	Time time.Time `json:"time"`
	// Operator, ChangeID, From, To, Digest and State describe the change; the
	// Digest of a lift is the request's fingerprint.
	Operator string      `json:"operator"`
	ChangeID string      `json:"change_id"`
	From     uint64      `json:"from_version"`
	To       uint64      `json:"to_version"`
	Digest   string      `json:"digest"`
	State    ChangeState `json:"state"`
	// Previous and Hash chain the records: Hash is the hex SHA-256 of the
	// record's other fields, Previous the Hash of the record before it.
	Previous string `json:"previous"`
	Hash     string `json:"hash"`
}

// EntryStatus is the last report of an entry.
type EntryStatus struct {
	// Name and Place identify the entry.
	Name  string `json:"name"`
	Place string `json:"place"`
	// Version is the version of the document in force at the entry.
	Version uint64 `json:"version"`
	// Age is the time since the entry's last report, in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Quarantined lists the fingerprints that the entry refuses.
	Quarantined []string `json:"quarantined,omitempty"`
}

// ControlStatus is the system as one control VM knows it.
type ControlStatus struct {
	// Member is the control VM's name.
	Member string `json:"member"`
	// Quorum reports whether a quorum of control VMs has answered this call.
	Quorum bool `json:"quorum"`
	// Version and Digest are of the newest document that this control VM
	// knows.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Entries are the last reports of the entries, one for each.
	Entries []EntryStatus `json:"entries"`
}

// ErrNoQuorum means that too few control VMs answered to read or decide.
var ErrNoQuorum = errors.New("no quorum of control VMs")

// ConfigStore is the replicated register that holds the document, as operators
// use it.
type ConfigStore interface {
	// Current reads the newest accepted version through a quorum. It returns
	// ErrNoQuorum when too few control VMs answer.
	Current(ctx context.Context) (Config, error)
	// Submit proposes a change. The outcome's state is the result; the error
	// is ErrNoQuorum when nothing was proposed.
	Submit(ctx context.Context, change Change) (Outcome, error)
	// Audit returns the audit trail, oldest first.
	Audit(ctx context.Context) ([]AuditRecord, error)
	// Status returns the status from this control VM's local state and the
	// answers of the other control VMs.
	Status(ctx context.Context) (ControlStatus, error)
	// LiftQuarantine adds a lift to the audit trail and then sends it to the
	// control VMs, from which the entries fetch it. Outcome and error are as
	// of Submit; nothing is lifted unless the outcome's state is ChangeLifted.
	LiftQuarantine(ctx context.Context, lift Lift) (Outcome, error)
}
