package register

import (
	"time"

	"sassafrasreach/internal/port"
)

// LiftProposal is an operator's lift of a quarantine on its way into the
// register.
type LiftProposal struct {
	port.Lift
	// Time is when the lift is decided.
	Time time.Time
}

// request identifies the lift. It has no base version: a resend is the same lift
// after other changes too.
func (p LiftProposal) request() Request {
	return Request{Digest: p.Fingerprint, Operator: p.Operator}
}

// ApplyLift records a lift in the value v; nil is the empty register. The
// document stays; the decision and the audit record are new, as for a refused
// change. For a lift that is recorded already the value is v itself and the
// outcome is the first one.
func ApplyLift(v *Value, p LiftProposal) (*Value, port.Outcome, error) {
	return once(v, p.ID, p.request(), func(v *Value) (*Value, port.Outcome) {
		next := &Value{Config: v.Config, Operator: v.Operator}
		return next, next.record(v, p.request(), port.AuditRecord{
			Time: p.Time, Operator: p.Operator, ChangeID: p.ID,
			From: v.Version, To: v.Version, Digest: p.Fingerprint, State: port.ChangeLifted,
		})
	})
}
