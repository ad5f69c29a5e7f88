package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"sassafrasreach/internal/port"
)

// probeWait is how long a connection must stay open for a probe to succeed.
const probeWait = 50 * time.Millisecond

// Probe opens a new connection to the endpoint and closes it. Its error wraps
// port.ErrConnectionRefused if nothing listens at the address. A connection that is
// closed within probeWait counts as refused too, because an intermediary may accept
// connections for an endpoint that doesn't listen.
func (c *Caller) Probe(ctx context.Context, to port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, "tcp", to.Address)
	if err != nil {
		return fmt.Errorf("probe %s: %w", to.Address, wrapRefused(err))
	}
	defer func() { _ = raw.Close() }()
	if err := raw.SetReadDeadline(time.Now().Add(probeWait)); err != nil {
		return fmt.Errorf("probe %s: %w", to.Address, err)
	}
	_, err = raw.Read(make([]byte, 1))
	if ConnectionReset(err) {
		return fmt.Errorf("%w: %w", port.ErrConnectionRefused, err)
	}
	return nil
}

// wrapRefused wraps port.ErrConnectionRefused if nothing listens at the address; it
// returns other errors unchanged.
func wrapRefused(err error) error {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return fmt.Errorf("%w: %w", port.ErrConnectionRefused, err)
}

// wrapConnectionLost wraps port.ErrConnectionLost if the endpoint's side closed or
// reset the connection; it returns other errors unchanged.
func wrapConnectionLost(err error) error {
	if !ConnectionReset(err) {
		return err
	}
	return fmt.Errorf("%w: %w", port.ErrConnectionLost, err)
}
