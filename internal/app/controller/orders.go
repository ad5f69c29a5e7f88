package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/fleet"
	"sassafrasreach/internal/core/quorum"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// orderTimeout bounds the time in which an order is made durable.
	orderTimeout = 4 * time.Second
	// readTimeout bounds the time in which a read is confirmed by a quorum.
	readTimeout = 900 * time.Millisecond
)

// Configure makes a change durable. The error wraps fleet.ErrInvalid,
// fleet.ErrConflict or port.ErrUnsure.
func (c *Controller) Configure(ctx context.Context, change fleet.Change) error {
	if err := change.Config.Validate(); err != nil {
		return err
	}
	err := c.order(ctx, func(s *fleet.State) (*fleet.State, error) { return s.Apply(change) })
	event.Log(ctx, c.ports.Logger, event.ConfigOrdered, slog.Uint64("version", change.Config.Version),
		slog.Uint64("base", change.Base), slog.Int("routes", len(change.Config.Routes)), errAttr(err))
	return err
}

// Evacuate makes it durable that a failure domain gets no requests, or gets
// them again. The error wraps port.ErrUnsure.
func (c *Controller) Evacuate(ctx context.Context, zone string, evacuated bool) error {
	err := c.order(ctx, func(s *fleet.State) (*fleet.State, error) { return s.Evacuate(zone, evacuated) })
	event.Log(ctx, c.ports.Logger, event.EvacuationOrdered, slog.String("zone", zone),
		slog.Bool("evacuated", evacuated), errAttr(err))
	return err
}

func errAttr(err error) slog.Attr {
	if err == nil {
		return slog.String("outcome", "accepted")
	}
	return slog.String("outcome", err.Error())
}

// order applies a change to the newest state. One that is in force already
// succeeds.
func (c *Controller) order(ctx context.Context, apply func(*fleet.State) (*fleet.State, error)) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := c.propose(ctx, func(current *quorum.Value) (*quorum.Value, error) {
		var state *fleet.State
		sequence := uint64(1)
		if current == nil {
			state = &fleet.State{}
		} else {
			var err error
			if state, err = fleet.Decode(current.State); err != nil {
				return nil, err
			}
			sequence = current.Sequence + 1
		}
		next, err := apply(state)
		if err != nil {
			return nil, err
		}
		encoded, err := next.Encode()
		return &quorum.Value{Sequence: sequence, State: encoded}, err
	})
	if errors.Is(err, fleet.ErrNoChange) {
		return nil
	}
	return err
}

// Current returns the newest state, confirmed by a quorum after the call began.
// The error wraps port.ErrUnsure.
func (c *Controller) Current(ctx context.Context) (*fleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	now := c.ports.Clock.Now()
	c.pollVoters(ctx)
	c.mu.Lock()
	confirmed, state := c.confirmed(c.ports.Clock.Now()), c.state
	c.mu.Unlock()
	if !confirmed.Before(now) {
		return state, nil
	}
	value, err := c.propose(ctx, keep)
	if errors.Is(err, errEmpty) {
		return &fleet.State{}, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrUnsure, err)
	}
	return fleet.Decode(value.Value.State)
}
