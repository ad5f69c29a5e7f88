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
	// forwardTimeout bounds the call that forwards an order to the
	// distinguished proposer.
	forwardTimeout = 2500 * time.Millisecond
	// readTimeout bounds the time in which a quorum confirms a read.
	readTimeout = 900 * time.Millisecond
)

// Configure implements port.OperatorService.
func (c *Controller) Configure(ctx context.Context, change fleet.Change) error {
	if err := change.Config.Validate(); err != nil {
		return err
	}
	err := c.order(ctx, fleet.Order{Change: &change})
	event.Log(ctx, c.ports.Logger, event.ConfigOrdered, slog.Uint64("version", change.Config.Version),
		slog.Uint64("base", change.Base), slog.Int("routes", len(change.Config.Routes)), outcomeAttr(err))
	return err
}

// Evacuate implements port.OperatorService.
func (c *Controller) Evacuate(ctx context.Context, zone string, evacuated bool) error {
	err := c.order(ctx, fleet.Order{Zone: zone, Evacuated: evacuated, Since: c.knownSequence()})
	event.Log(ctx, c.ports.Logger, event.EvacuationOrdered, slog.String("zone", zone),
		slog.Bool("evacuated", evacuated), outcomeAttr(err))
	return err
}

// knownSequence returns the sequence of the newest value known to be chosen; 0 if
// none is.
func (c *Controller) knownSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.chosen.Value == nil {
		return 0
	}
	return c.chosen.Value.Sequence
}

// outcomeAttr returns the log attribute of an operation's outcome.
func outcomeAttr(err error) slog.Attr {
	if err == nil {
		return slog.String("outcome", "accepted")
	}
	return slog.String("outcome", err.Error())
}

// order makes an order durable. An order that is in force already succeeds.
func (c *Controller) order(ctx context.Context, o fleet.Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	began := c.ports.Clock.Now()
	reply, err := c.submit(ctx, o)
	if err == nil && !errors.Is(reply.Refused, fleet.ErrNoChange) {
		err = reply.Refused
	}
	c.ports.Meter.RecordOrder(err == nil, c.ports.Clock.Now().Sub(began))
	return err
}

// submit forwards an order to the distinguished proposer, so that proposers
// don't collide. This controller makes the order durable itself when that call
// fails, when it is the distinguished proposer, or when there is none.
func (c *Controller) submit(ctx context.Context, o fleet.Order) (port.OrderReply, error) {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	address := c.distinguishedProposer(now)
	c.mu.Unlock()
	if address != "" && address != c.config.Address {
		reply, err := c.forwardOrder(ctx, address, o)
		if err == nil {
			return reply, c.learn(reply.Epoch, reply.Chosen)
		}
		event.Log(ctx, c.ports.Logger, event.OrderNotPassed, slog.String("controller", address), slog.Any("error", err))
	}
	return c.Order(ctx, o)
}

func (c *Controller) forwardOrder(ctx context.Context, address string, o fleet.Order) (port.OrderReply, error) {
	peer, err := c.linkTo(address)
	if err != nil {
		return port.OrderReply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	return peer.Order(ctx, o)
}

// Order implements port.ControllerPeer: it makes an order durable with
// proposals of this controller.
func (c *Controller) Order(ctx context.Context, o fleet.Order) (port.OrderReply, error) {
	value, epoch, err := c.propose(ctx, func(current *quorum.Value) (*quorum.Value, error) {
		return applyOrder(current, o)
	})
	reply := port.OrderReply{Epoch: epoch, Chosen: value}
	if errors.Is(err, fleet.ErrNoChange) || errors.Is(err, fleet.ErrConflict) || errors.Is(err, fleet.ErrSuperseded) {
		reply.Refused, err = err, nil
	}
	return reply, err
}

// applyOrder is the quorum.Decide function of an order.
func applyOrder(current *quorum.Value, o fleet.Order) (*quorum.Value, error) {
	next := &quorum.Value{Sequence: 1}
	state := &fleet.State{}
	if current != nil {
		var err error
		if state, err = fleet.Decode(current.State); err != nil {
			return nil, err
		}
		next.Sequence = current.Sequence + 1
	}
	state, err := state.Apply(o, next.Sequence)
	if err != nil {
		return nil, err
	}
	next.State, err = state.Encode()
	return next, err
}

// Current implements port.OperatorService. It returns a state that a quorum has
// confirmed since the call began.
func (c *Controller) Current(ctx context.Context) (*fleet.State, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := c.ports.Boot.SinceBoot()
	c.pollVoters(ctx)
	c.mu.Lock()
	at, confirmed := c.confirmed(c.ports.Boot.SinceBoot())
	state := c.state
	c.mu.Unlock()
	if confirmed && at >= began {
		return state, nil
	}
	reply, err := c.submit(ctx, fleet.Order{})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", port.ErrUnconfirmed, err)
	}
	if reply.Chosen.Value == nil {
		return &fleet.State{}, nil
	}
	return fleet.Decode(reply.Chosen.Value.State)
}
