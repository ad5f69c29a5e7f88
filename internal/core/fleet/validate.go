package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"
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
	if fault := c.ValidateAccounts(); fault != nil {
		return fmt.Errorf("%w: %w", ErrInvalid, fault)
	}
	return nil
}

// NormalHost returns a host in the form in which Route.Host holds it: in lower case, an IPv6
// address without brackets. The error names a host that no request can have, such as one with
// a port, which doesn't count for routes.
func NormalHost(host string) (string, error) {
	plain := WithoutBrackets(host)
	address, errAddress := netip.ParseAddr(plain)
	switch {
	case host == "":
		return "", errors.New("no host")
	case !httpguts.ValidHostHeader(host):
		return "", fmt.Errorf("host %q holds a character that no host of a request has", host)
	case strings.ContainsAny(host, ":[]") && (errAddress != nil || !address.Is6()):
		return "", fmt.Errorf("host %q isn't a name or an address without a port", host)
	default:
		return strings.ToLower(plain), nil
	}
}

// WithoutBrackets returns a host without the brackets around an IPv6 address.
func WithoutBrackets(host string) string {
	if inner, ok := strings.CutPrefix(host, "["); ok && strings.HasSuffix(inner, "]") {
		return strings.TrimSuffix(inner, "]")
	}
	return host
}

// isEscapedPath reports whether a path is written as in a request.
func isEscapedPath(path string) bool {
	u, err := url.ParseRequestURI(path)
	return err == nil && u.EscapedPath() == path && u.RawQuery == "" && !u.ForceQuery
}

func (r *Route) validate(services map[string]bool) error {
	if host, err := NormalHost(r.Host); err != nil {
		return err
	} else if host != r.Host {
		return fmt.Errorf("host %q isn't in its normal form, %q", r.Host, host)
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q doesn't begin and end with a slash", r.Prefix)
	case !isEscapedPath(r.Prefix):
		return fmt.Errorf("prefix %q begins no path of a request: characters beyond those of a path have to be escaped", r.Prefix)
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
