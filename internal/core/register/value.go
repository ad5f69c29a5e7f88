package register

import (
	"errors"
	"time"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

const (
	// MaxDecisions is the largest number of decisions that a value keeps.
	MaxDecisions = 256
	// MaxAudit is the largest number of records in a value's audit trail.
	MaxAudit = 1000
)

// ErrChangeIDReused means that a change ID was used before for a change or lift
// with another document, base version or operator. Nothing was proposed.
var ErrChangeIDReused = errors.New("change ID was used for another change")

// ErrNoChangeID means that a change or lift has no ID. Nothing was proposed.
var ErrNoChangeID = errors.New("change has no ID")

// Value is the content of the register. A proposed Value is never modified, since
// members share it.
type Value struct {
	// Config is the newest accepted document with its version and digest.
	port.Config
	// Operator is the name of the operator whose change set Config.
	Operator string
	// Decisions holds the newest decisions on changes and lifts, oldest first.
	Decisions []Decision
	// Audit holds the newest records of the audit trail, oldest first.
	Audit []port.AuditRecord
}

// Decision is the outcome of a change or a lift, kept to answer a resend.
type Decision struct {
	port.Outcome
	// Request identifies the change or lift that was decided.
	Request Request
}

// Request is the part of a change or a lift that must be the same in a resend.
type Request struct {
	// Digest is the hex SHA-256 of the change's document, or the fingerprint of
	// a lift.
	Digest string
	// BaseVersion is the version that the change was made from; zero for a lift.
	BaseVersion uint64
	// Operator is the name of the requesting operator.
	Operator string
}

// Proposal proposes to apply a change to the register.
type Proposal struct {
	Change port.Change
	// Digest is the hex SHA-256 of the change's document.
	Digest string
	// Invalid says that the document failed validation.
	Invalid bool
	// Time is the time of the decision, for the audit trail.
	Time time.Time
}

func (p Proposal) request() Request {
	return Request{Digest: p.Digest, BaseVersion: p.Change.BaseVersion, Operator: p.Change.Operator}
}

// Apply decides a proposal against the value v; nil is the empty register. It
// returns the value to propose and the outcome that is valid once a quorum has
// accepted it. A refused change is a write too: it keeps the document and adds a
// decision and an audit record. For a change that is already decided it returns
// v itself and the first outcome; if that decision may have been dropped, v
// itself and port.ChangeUnknown. The error is ErrNoChangeID or ErrChangeIDReused.
func Apply(v *Value, p Proposal) (*Value, port.Outcome, error) {
	return applyOnce(v, p.Change.ID, p.request(), func(v *Value) (*Value, port.Outcome) {
		if v.mayHaveDropped(p.Change.BaseVersion) {
			return v, v.outcome(p.Change.ID, port.ChangeUnknown)
		}
		next := &Value{Config: v.Config, Operator: v.Operator}
		state := decide(v, p)
		if state == port.ChangeAccepted {
			next.Config = port.Config{Version: v.Version + 1, Digest: p.Digest, Document: p.Change.Document}
			next.Operator = p.Change.Operator
		}
		return next, next.record(v, p.request(), port.AuditRecord{
			Time: p.Time, Operator: p.Change.Operator, ChangeID: p.Change.ID,
			From: p.Change.BaseVersion, To: next.Version, Digest: p.Digest, State: state,
		})
	})
}

// applyOnce makes writes idempotent: for one that is already decided it returns v
// itself and the first outcome, and it calls decide for any other. A nil v is the
// empty register.
func applyOnce(v *Value, id string, r Request, decide func(v *Value) (*Value, port.Outcome)) (*Value, port.Outcome, error) {
	if id == "" {
		return nil, port.Outcome{}, ErrNoChangeID
	}
	if v == nil {
		v = &Value{}
	}
	if d, found := v.decision(id); found {
		if d.Request != r {
			return nil, port.Outcome{}, ErrChangeIDReused
		}
		return v, d.Outcome, nil
	}
	next, out := decide(v)
	return next, out, nil
}

// record sets the decisions and the audit trail of v to those of the value before,
// with a new decision and audit record added. It returns the outcome.
func (v *Value) record(before *Value, r Request, a port.AuditRecord) port.Outcome {
	out := v.outcome(a.ChangeID, a.State)
	v.Decisions = appendDecision(before.Decisions, Decision{Outcome: out, Request: r})
	v.Audit = audit.Append(before.Audit, a, MaxAudit)
	return out
}

func decide(v *Value, p Proposal) port.ChangeState {
	switch {
	case p.Invalid:
		return port.ChangeInvalid
	case p.Change.BaseVersion != v.Version:
		return port.ChangeConflict
	default:
		return port.ChangeAccepted
	}
}

func (v *Value) outcome(id string, state port.ChangeState) port.Outcome {
	return port.Outcome{ChangeID: id, State: state, Version: v.Version, Digest: v.Digest, Operator: v.Operator}
}

func (v *Value) decision(id string) (Decision, bool) {
	for i := len(v.Decisions) - 1; i >= 0; i-- {
		if v.Decisions[i].ChangeID == id {
			return v.Decisions[i], true
		}
	}
	return Decision{}, false
}

// mayHaveDropped says whether a change made from base may be a resend of an
// accepted one whose decision was dropped. Such a change raised the version above
// its base before the oldest kept decision was made, so its base is below the
// version of that decision. A resend is decided again if its refusal was dropped
// and its base isn't below that version.
func (v *Value) mayHaveDropped(base uint64) bool {
	return len(v.Decisions) == MaxDecisions && base < v.Decisions[0].Version
}

func appendDecision(decisions []Decision, d Decision) []Decision {
	if len(decisions) >= MaxDecisions {
		decisions = decisions[len(decisions)-MaxDecisions+1:]
	}
	next := make([]Decision, 0, len(decisions)+1)
	next = append(next, decisions...)
	return append(next, d)
}
