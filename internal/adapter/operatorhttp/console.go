package operatorhttp

import (
	"context"
	"fmt"

	"sassafrasreach/internal/adapter/console"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// consoleBackend implements console.Backend with the handler's own checks, so
// that the console and the HTTP interface decide alike.
type consoleBackend struct {
	h *handler
}

// Open implements console.Backend.
func (b consoleBackend) Open(ctx context.Context, token string) (console.Opened, error) {
	s, problem := b.h.authenticate(ctx, token)
	if problem != nil {
		return console.Opened{}, consoleError(problem)
	}
	return console.Opened{Operator: s.operator, Config: s.config, Document: s.document}, nil
}

// Submit implements console.Backend.
func (b consoleBackend) Submit(ctx context.Context, change port.Change) (port.Outcome, document.Faults, error) {
	outcome, problem := b.h.validateAndSubmit(ctx, change)
	switch {
	case problem == nil:
		return outcome, nil, nil
	case problem.Outcome != nil:
		return *problem.Outcome, problem.Faults, nil
	case problem.Code == CodeInvalid:
		return port.Outcome{ChangeID: change.ID, State: port.ChangeInvalid}, problem.Faults, nil
	default:
		return port.Outcome{}, nil, consoleError(problem)
	}
}

// Status implements console.Backend.
func (b consoleBackend) Status(ctx context.Context) (port.ControlStatus, error) {
	return b.h.Store.Status(ctx)
}

// consoleError converts a problem to an error that the console distinguishes.
func consoleError(p *Problem) error {
	switch p.Code {
	case CodeUnauthorized:
		return console.ErrUnauthorized
	case CodeNoQuorum:
		return fmt.Errorf("%w: %s", port.ErrNoQuorum, p.Detail)
	default:
		return p
	}
}
