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
	out, err := n.recordLift(ctx, lift)
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

func (n *Node) recordLift(ctx context.Context, lift port.Lift) (port.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	proposal := register.LiftProposal{Lift: lift, Time: n.clock.Now()}
	out, proposed, err := n.propose(ctx, func(v *register.Value) (*register.Value, port.Outcome, error) {
		return register.ApplyLift(v, proposal)
	})
	if err != nil && proposed {
		return n.unknown(lift.ID), nil
	}
	return out, err
}
