package endpointhttp

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"sassafrasreach/internal/port"
)

// Probe opens a new connection to the endpoint and closes it. Its error wraps
// port.ErrConnectionRefused when nothing listens there.
func (c *Caller) Probe(ctx context.Context, to port.Endpoint) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.DialTimeout)
	defer cancel()
	raw, err := c.opts.Dial(ctx, "tcp", to.Address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return fmt.Errorf("%w: %w", port.ErrConnectionRefused, err)
	}
	if err != nil {
		return fmt.Errorf("probe %s: %w", to.Address, err)
	}
	return raw.Close()
}

// connectionLost marks an error of a connection that the endpoint's side ended.
func connectionLost(err error) error {
	if !ConnectionReset(err) {
		return err
	}
	return fmt.Errorf("%w: %w", port.ErrConnectionLost, err)
}
