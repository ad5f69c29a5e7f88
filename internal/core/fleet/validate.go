package fleet

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// maxTimeout is the longest timeout that a route may have.
const maxTimeout = 10 * time.Minute

// ErrInvalid means that a configuration is invalid, whatever the current one is.
var ErrInvalid = errors.New("invalid configuration")

// Validate checks the configuration. The error wraps ErrInvalid and describes the
// first fault found.
func (c *Config) Validate() error {
	services := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if s.Name == "" || services[s.Name] {
			return fmt.Errorf("%w: service %q has no name or is a duplicate", ErrInvalid, s.Name)
		}
		services[s.Name] = true
	}
	seen := make(map[[2]string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(services); err != nil {
			return fmt.Errorf("%w: route %q: %w", ErrInvalid, r.Name, err)
		}
		key := [2]string{r.Host, r.Prefix}
		if seen[key] {
			return fmt.Errorf("%w: route %q: another route has the same host and prefix", ErrInvalid, r.Name)
		}
		seen[key] = true
	}
	return nil
}

func (r *Route) validate(services map[string]bool) error {
	switch {
	case r.Host == "":
		return errors.New("no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q doesn't begin and end with a slash", r.Prefix)
	case r.Timeout <= 0 || r.Timeout > maxTimeout:
		return fmt.Errorf("timeout %v is out of range", r.Timeout)
	case r.Attempts < 1:
		return errors.New("number of attempts is below 1")
	case len(r.Parts) == 0:
		return errors.New("no services in the route")
	}
	sum := 0.0
	for _, p := range r.Parts {
		if !services[p.Service] {
			return fmt.Errorf("unknown service %q", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight of service %q is below 0", p.Service)
		}
		sum += p.Weight
	}
	if sum <= 0 {
		return errors.New("weights of the services are all 0")
	}
	return nil
}
