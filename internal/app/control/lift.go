package control

import (
	"context"

	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
)

// LiftQuarantine implements port.ConfigStore: it records the lift in the
// register, so that none takes effect without its record, and then tells the
// members in reach, which tell the entries that ask them.
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
		take: func(struct{}) bool { return false },
	}.run(ctx, n)
	return out, n.failure()
}
