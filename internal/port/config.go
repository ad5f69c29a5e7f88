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
	// Document is the YAML text as it was accepted.
	Document []byte
}

// Change is an operator's wish to replace the document.
type Change struct {
	// ID identifies the change; a resend has the same ID.
	ID string
	// Operator names who asks.
	Operator string
	// BaseVersion is the version that the change was made from.
	BaseVersion uint64
	// Document is the new YAML text.
	Document []byte
}

// ChangeState says how a change ended.
type ChangeState string

const (
	// ChangeAccepted means that the change became a version.
	ChangeAccepted ChangeState = "accepted"
	// ChangeConflict means that another change took the version.
	ChangeConflict ChangeState = "conflict"
	// ChangeInvalid means that the document has faults.
	ChangeInvalid ChangeState = "invalid"
	// ChangeUnknown means that the change may have been accepted; the operator
	// resends it with the same ID to learn which.
	ChangeUnknown ChangeState = "may-have-been-accepted"
	// ChangeLifted means that a quarantine was lifted; the document stays.
	ChangeLifted ChangeState = "lifted"
)

// Lift is an operator's wish to take a request out of quarantine.
type Lift struct {
	// ID identifies the lift; a resend has the same ID.
	ID string
	// Operator names who asks.
	Operator string
	// Fingerprint is the request's.
	Fingerprint string
}

// Outcome is what became of a change.
type Outcome struct {
	// ChangeID is the change's ID.
	ChangeID string `json:"change_id"`
	// State says how the change ended.
	State ChangeState `json:"state"`
	// Version and Digest are of the document in the register: the change's own
	// when accepted, the winner's on a conflict.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Operator names who made that version.
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

// EntryStatus is what an entry last said of itself.
type EntryStatus struct {
	// Name and Place identify the entry.
	Name  string `json:"name"`
	Place string `json:"place"`
	// Version is the version of the document in force there.
	Version uint64 `json:"version"`
	// Age is the time since the entry was last heard of, in nanoseconds.
	Age time.Duration `json:"age_ns"`
	// Quarantined lists the fingerprints that the entry refuses.
	Quarantined []string `json:"quarantined,omitempty"`
}

// ControlStatus is what one control VM knows of the system.
type ControlStatus struct {
	// Member is the control VM's name.
	Member string `json:"member"`
	// Quorum says whether a quorum of control VMs answered just now.
	Quorum bool `json:"quorum"`
	// Version and Digest are of the newest document that the VM knows.
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Entries are the entries that were heard of.
	Entries []EntryStatus `json:"entries"`
}

// ErrNoQuorum means that too few control VMs answered to decide anything.
var ErrNoQuorum = errors.New("no quorum of control VMs")

// ConfigStore is the replicated register of the document, as operators use it.
type ConfigStore interface {
	// Current reads the newest accepted version through a quorum. It returns
	// ErrNoQuorum when too few control VMs answer.
	Current(ctx context.Context) (Config, error)
	// Submit proposes a change. The outcome's state tells how it ended; the
	// error is ErrNoQuorum when nothing was proposed at all.
	Submit(ctx context.Context, change Change) (Outcome, error)
	// Audit returns the audit trail, oldest first.
	Audit(ctx context.Context) ([]AuditRecord, error)
	// Status returns what this control VM knows, from local state and a probe
	// of its peers.
	Status(ctx context.Context) (ControlStatus, error)
	// LiftQuarantine puts a lift into the audit trail and then asks every entry
	// to forget the fingerprint. Outcome and error are as of Submit; nothing is
	// lifted unless the outcome's state is ChangeLifted.
	LiftQuarantine(ctx context.Context, lift Lift) (Outcome, error)
}
