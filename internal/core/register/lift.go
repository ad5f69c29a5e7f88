package register

import (
	"time"

	"sassafrasreach/internal/port"
)

// LiftProposal proposes to record an operator's lift of a quarantine in the
// register.
type LiftProposal struct {
	port.Lift
	// Time is the time of the decision, for the audit trail.
	Time time.Time
}

// request returns what must be the same in a resend of the lift. There is no base
// version, so that a resend after other changes is still the same lift.
func (p LiftProposal) request() Request {
	return Request{Digest: p.Fingerprint, Operator: p.Operator}
}

// ApplyLift records a lift in the value v; nil is the empty register. As for a
// refused change, the document is unchanged, and a decision and an audit record
// are added. For a lift that is already recorded it returns v itself and the
// first outcome. The error is ErrNoChangeID or ErrChangeIDReused.
func ApplyLift(v *Value, p LiftProposal) (*Value, port.Outcome, error) {
	return applyOnce(v, p.ID, p.request(), func(v *Value) (*Value, port.Outcome) {
		next := &Value{Config: v.Config, Operator: v.Operator}
		return next, next.record(v, p.request(), port.AuditRecord{
			Time: p.Time, Operator: p.Operator, ChangeID: p.ID,
			From: v.Version, To: v.Version, Digest: p.Fingerprint, State: port.ChangeLifted,
		})
	})
}
