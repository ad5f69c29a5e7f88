package control

import (
	"context"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// LiftQuarantine implements port.ConfigStore. It first records the lift in the
// register, so that no lift takes effect without its audit record. It then sends
// the lift to all members; entries receive it with their fetches. A member that
// can't be reached doesn't learn of the lift, and the call succeeds nevertheless.
func (n *Node) LiftQuarantine(ctx context.Context, lift port.Lift) (port.Outcome, error) {
	proposal := register.LiftProposal{Lift: lift, Time: n.clock.Now()}
	out, err := n.submit(ctx, lift.ID, func(v *register.Value) (*register.Value, port.Outcome, error) {
		return register.ApplyLift(v, proposal)
	})
	if err != nil || out.State != port.ChangeLifted {
		return out, err
	}
	n.Lift(lift.Operator, lift.Fingerprint)
	round[struct{}]{
		remote: func(ctx context.Context, to Remote) (struct{}, error) {
			return struct{}{}, to.Lift(ctx, lift.Operator, lift.Fingerprint)
		},
		handle: func(struct{}) bool { return false },
	}.run(ctx, n)
	return out, n.failure()
}
