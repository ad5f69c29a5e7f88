package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of what operators order.
type Config struct {
	// Version grows with each accepted change.
	Version uint64  `json:"Version"`
	Routes  []Route `json:"Routes"`
	// Services are the names of services that endpoints may belong to.
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string `json:"Name"`
	// HealthPath is where an endpoint tells its own health.
	HealthPath string `json:"HealthPath"`
	// Connections bounds the connections that an endpoint accepts.
	Connections int `json:"Connections"`
	// ColdPerSecond is the rate of requests that a cold endpoint bears.
	ColdPerSecond float64 `json:"ColdPerSecond"`
	// ColdTime is how long an endpoint is cold after its start.
	ColdTime time.Duration `json:"ColdTime"`
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int64         `json:"HeaderBytes"`
	BodyBytes     int64         `json:"BodyBytes"`
	HeaderTimeout time.Duration `json:"HeaderTimeout"`
	IdleTimeout   time.Duration `json:"IdleTimeout"`
}

// Route sends the requests of a host under a path prefix to services.
type Route struct {
	Name string `json:"Name"`
	Host string `json:"Host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"Prefix"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"Idempotent"`
	// Priority is the rank, 0 the highest.
	Priority int `json:"Priority"`
	// Target is the time within which an answer earns full credit.
	Target time.Duration `json:"Target"`
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration `json:"Timeout"`
	// Attempts bounds the endpoints that a request is sent to.
	Attempts int `json:"Attempts"`
	// Sticky says that an endpoint serves an object faster that it has served
	// lately.
	Sticky bool `json:"Sticky"`
	// Parts share the requests by their weights; one part takes all.
	Parts []Part `json:"Parts"`
	// Homes are the regions in which a request may run; empty means all.
	Homes []string `json:"Homes"`
}

// Part is one service's share of a route.
type Part struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Table finds the route of a request. It is built once for each version and
// safe for concurrent use.
type Table struct {
	config   *Config
	byHost   map[string][]*Route
	services map[string]*Service
}

// NewTable returns the table of a version, which must not be changed later.
func NewTable(c *Config) *Table {
	t := &Table{config: c, byHost: make(map[string][]*Route), services: make(map[string]*Service)}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	return t
}

// Config returns the version that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Route returns the route of the host with the longest prefix that begins the
// path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick returns the service for a point in [0, 1) of the weights' range; empty
// if no part has a weight.
func (r *Route) Pick(point float64) string {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	sum := 0.0
	for _, p := range r.Parts {
		sum += p.Weight
	}
	point *= sum
	for _, p := range r.Parts {
		if point -= p.Weight; point < 0 {
			return p.Service
		}
	}
	return ""
}
