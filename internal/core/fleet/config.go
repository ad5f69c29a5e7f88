package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Config is one version of the operators' configuration.
type Config struct {
	// Version increases with each accepted change.
	Version uint64  `json:"Version"`
	Routes  []Route `json:"Routes"`
	// Services are the services that endpoints may belong to.
	Services []Service `json:"Services"`
	Limits   Limits    `json:"Limits"`
	// Authenticate says that each request needs the key of one of Accounts, unless its
	// route is public.
	Authenticate bool      `json:"Authenticate,omitempty"`
	Accounts     []Account `json:"Accounts,omitempty"`
	// Decoder is the DecoderRelease that decoded the configuration from its source, 0 for
	// one before the first. A former release drops what it doesn't know, also when it
	// stores a state that a later one decoded.
	Decoder int `json:"Decoder,omitempty"`
}

// DecoderRelease is increased when the decoder of configurations keeps more than before, for
// instance the accounts (1).
const DecoderRelease = 1

// Complete reports whether nothing of the source is missing that this release knows.
func (c *Config) Complete() bool { return c.Decoder >= DecoderRelease }

// Account is a client account.
type Account struct {
	Name string `json:"Name"`
	// KeyDigests are the SHA-256 digests of its keys.
	KeyDigests [][]byte `json:"KeyDigests,omitempty"`
	// Priority replaces that of the routes; nil leaves it to them.
	Priority *int `json:"Priority,omitempty"`
	// RatePerSecond and Burst are its quota in requests per second and requests, over
	// all gateways together; a rate of 0 sets no quota.
	RatePerSecond float64 `json:"RatePerSecond,omitempty"`
	Burst         float64 `json:"Burst,omitempty"`
	// Regions holds the regions in which its requests may run; empty means all.
	Regions []string `json:"Regions,omitempty"`
}

// Service is a group of endpoints that do the same work.
type Service struct {
	Name string `json:"Name"`
	// HealthPath is the URL path of an endpoint's health check.
	HealthPath string `json:"HealthPath"`
	// Connections is the largest number of connections that an endpoint accepts.
	Connections int `json:"Connections"`
	// ColdPerSecond is the request rate that a cold endpoint can serve.
	ColdPerSecond float64 `json:"ColdPerSecond"`
	// ColdTime is how long an endpoint is cold after its start (slow start).
	ColdTime time.Duration `json:"ColdTime"`
}

// ServiceNames returns the names of the services.
func (c *Config) ServiceNames() []string {
	names := make([]string, len(c.Services))
	for i, s := range c.Services {
		names[i] = s.Name
	}
	return names
}

// Limits are the limits on the requests and connections of clients.
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
	// Prefix is a path prefix that begins and ends with a slash.
	Prefix string `json:"Prefix"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"Idempotent"`
	// Priority is the rank of the requests; 0 is the highest.
	Priority int `json:"Priority"`
	// Target is the target latency: an answer within it gets full credit.
	Target time.Duration `json:"Target"`
	// Timeout is the longest time until the client gets an answer.
	Timeout time.Duration `json:"Timeout"`
	// Attempts bounds the attempts of a request at endpoints. Those that couldn't
	// connect to the endpoint don't count.
	Attempts int `json:"Attempts"`
	// Sticky says that an endpoint serves an object faster if it served it recently
	// (cache affinity).
	Sticky bool `json:"Sticky"`
	// Parts divide the requests by weight; a single part gets all.
	Parts []Part `json:"Parts"`
	// Regions holds the regions in which a request may run; empty means all.
	Regions []string `json:"Homes"`
	// Public says that requests need no key.
	Public bool `json:"Public,omitempty"`
	// Download says that responses are large.
	Download bool `json:"Download,omitempty"`
}

// Part is the share of a route's requests that one service gets.
type Part struct {
	Service string  `json:"Service"`
	Weight  float64 `json:"Weight"`
}

// Table looks up the route of a request, and the account of its client. It is built once
// for each version of the configuration and is safe for concurrent use.
type Table struct {
	config   *Config
	byHost   map[string][]*Route
	services map[string]*Service
	accounts map[string]*Account
	keys     keyring
	// usualWeight is the weight of an account without a rate.
	usualWeight float64
}

// NewTable returns the table of a configuration, which must not be modified later. It
// finds no account by a key.
func NewTable(c *Config) *Table { return NewKeyedTable(c, nil) }

// NewKeyedTable returns the table of a configuration, which must not be modified later.
// The secret, random bytes of the process, protects the look-up of keys; without one, no
// account is found by a key.
func NewKeyedTable(c *Config, secret []byte) *Table {
	t := &Table{
		config: c, byHost: make(map[string][]*Route), services: make(map[string]*Service),
		accounts: make(map[string]*Account, len(c.Accounts)), usualWeight: usualWeight(c.Accounts),
	}
	for i := range c.Accounts {
		t.accounts[c.Accounts[i].Name] = &c.Accounts[i]
	}
	if len(secret) > 0 {
		t.keys = newKeyring(c.Accounts, secret)
	}
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

// Config returns the configuration that the table was built from.
func (t *Table) Config() *Config { return t.config }

// Route returns the route of the host with the longest prefix of path, or nil. It
// converts host to lower case, so the hosts of routes must be in lower case.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account with a name, or nil.
func (t *Table) Account(name string) *Account { return t.accounts[name] }

// AccountOfKey returns the account that a key belongs to, or nil.
func (t *Table) AccountOfKey(key string) *Account {
	if key == "" || len(t.keys.secret) == 0 {
		return nil
	}
	return t.keys.accounts[t.keys.index(KeyDigest(key))]
}

// Weight returns the share of short slots that is due to an account, relative to others:
// its rate, or the mean rate of the accounts that have one, or 1 if none has. No account,
// nil, weighs as much as one without a rate.
func (t *Table) Weight(a *Account) float64 {
	if a == nil || a.RatePerSecond <= 0 {
		return t.usualWeight
	}
	return a.RatePerSecond
}

func usualWeight(accounts []Account) float64 {
	mean, n := 0.0, 0
	for i := range accounts {
		if rate := accounts[i].RatePerSecond; rate > 0 {
			n++
			mean += (rate - mean) / float64(n) // a sum may overflow
		}
	}
	if n == 0 {
		return 1
	}
	return mean
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Pick selects a service by weight: point is a number in [0, 1) that is scaled to
// the sum of the weights. It returns "" if the sum is 0, unless there is only one
// part.
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
