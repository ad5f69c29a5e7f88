package register

import (
	"errors"
	"time"

	"sassafrasreach/internal/core/audit"
	"sassafrasreach/internal/port"
)

const (
	// MaxDecisions bounds the decisions that a value remembers.
	MaxDecisions = 256
	// MaxAudit bounds the records of a value's audit trail.
	MaxAudit = 1000
)

// ErrChangeIDReused means that a change ID came again with another document,
// base version or operator. Nothing was proposed.
var ErrChangeIDReused = errors.New("change ID was used for another change")

// ErrNoChangeID means that a change has no ID. Nothing was proposed.
var ErrNoChangeID = errors.New("change has no ID")

// Value is what the register holds. A Value that was proposed is never
// changed; members share it.
type Value struct {
	// Config is the newest accepted document.
	port.Config
	// Operator names who made it.
	Operator string
	// Decisions are the last changes and their outcomes, oldest first.
	Decisions []Decision
	// Audit is the end of the audit trail, oldest first.
	Audit []port.AuditRecord
}

// Decision is the outcome of a change, kept to answer a resend.
type Decision struct {
	port.Outcome
	// Request identifies the change that was decided.
	Request Request
}

// Request is the part of a change that must be the same in a resend.
type Request struct {
	// Digest is the hex SHA-256 of the change's document.
	Digest string
	// BaseVersion is the version that the change was made from.
	BaseVersion uint64
	// Operator names who asks.
	Operator string
}

// Proposal is a change on its way into the register.
type Proposal struct {
	Change port.Change
	// Digest is the hex SHA-256 of the change's document.
	Digest string
	// Invalid says that the document has faults.
	Invalid bool
	// Time is when the change is decided.
	Time time.Time
}

func (p Proposal) request() Request {
	return Request{Digest: p.Digest, BaseVersion: p.Change.BaseVersion, Operator: p.Change.Operator}
}

// Apply decides a proposal against the value v; nil is the empty register. It
// returns the value to accept and the outcome that holds once a quorum has
// accepted it. A refused change is a write too: it leaves the document and
// adds a decision and an audit record. For a change that is decided already
// the value is v itself and the outcome is the first one.
func Apply(v *Value, p Proposal) (*Value, port.Outcome, error) {
	return once(v, p.Change.ID, p.request(), func(v *Value) (*Value, port.Outcome) {
		if v.mayHaveForgotten(p.Change.BaseVersion) {
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

// once answers a write that is decided already with v itself and its first
// outcome, and lets any other be decided. A nil v is the empty register.
func once(v *Value, id string, r Request, decide func(v *Value) (*Value, port.Outcome)) (*Value, port.Outcome, error) {
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

// record adds a decision and its audit record to those of the value before, and
// returns the outcome.
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

// mayHaveForgotten says whether a change made from base could be a resend of
// one whose decision was dropped. Such a change was decided before the oldest
// decision that is kept, at a version no lower than its base.
func (v *Value) mayHaveForgotten(base uint64) bool {
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
