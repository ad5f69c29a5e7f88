package port

import (
	"context"
	"net/netip"
	"time"
)

// LookupQuery asks which entries to use for a service.
type LookupQuery struct {
	// Service names the service.
	Service string
	// Place names the caller's place; empty means to derive it from Client.
	Place string
	// Client is the caller's address.
	Client netip.Addr
}

// LookupEntry is one entry to use, best first.
type LookupEntry struct {
	Name    string `json:"name"`
	Place   string `json:"place"`
	Address string `json:"address"`
}

// LookupAnswer is the answer to a LookupQuery.
type LookupAnswer struct {
	// Entries are ranked, best first.
	Entries []LookupEntry `json:"entries"`
	// Place is the caller's place, to be sent with its requests.
	Place string `json:"place"`
	// TTLMillis bounds how long the answer may be cached.
	TTLMillis int64 `json:"ttl_ms"`
	// Version is the version of the document that the answer is from.
	Version uint64 `json:"version"`
	// Home begins the keys of once-only requests. It names one incarnation of
	// the first entry.
	Home string `json:"home"`
}

// EndpointState is what an endpoint says of itself.
type EndpointState string

const (
	// EndpointStarting is not ready for work yet.
	EndpointStarting EndpointState = "starting"
	// EndpointReady takes work.
	EndpointReady EndpointState = "ready"
	// EndpointLeaving takes no new work, for the rest of its incarnation.
	EndpointLeaving EndpointState = "leaving"
)

// Announcement is an endpoint's report of itself.
type Announcement struct {
	// ID identifies the endpoint; Incarnation changes at each of its starts.
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Service and Place say which group the endpoint belongs to.
	Service string `json:"service"`
	Place   string `json:"place"`
	// Address is the IP:port where it serves.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// State says whether it takes work.
	State EndpointState `json:"state"`
	// Load is its own measure of use: 0 is idle, 1 is full.
	Load float64 `json:"load"`
}

// AnnounceAnswer tells an endpoint where and when to announce next.
type AnnounceAnswer struct {
	// Entries are the IP:ports of the entries of the endpoint's place.
	Entries []string `json:"entries"`
	// IntervalMillis is the time until the next announcement.
	IntervalMillis int64 `json:"interval_ms"`
}

// ServiceTerms are the bounds that an entry applies to a service's requests.
type ServiceTerms struct {
	// Deadline is the default time that a request may take.
	Deadline time.Duration
	// MaxBodyBytes and MaxAnswerBytes bound the bodies.
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	// OnceOnly says whether the method must not run twice.
	OnceOnly bool
}

// Entry is what an entry offers to callers and endpoints. Every error is a
// *verdict.Error.
type Entry interface {
	// Lookup ranks entries from local state alone.
	Lookup(q LookupQuery) (LookupAnswer, error)
	// Terms returns the bounds of a service for a method.
	Terms(service, method string) (ServiceTerms, error)
	// OriginOf returns the place of a caller: the named one if it exists, else
	// the place of the address, else the entry's own.
	OriginOf(place string, client netip.Addr) (string, error)
	// Serve carries a request to an endpoint.
	Serve(ctx context.Context, req *Request) (*Response, error)
	// Announce takes an endpoint's report.
	Announce(ctx context.Context, a Announcement) (AnnounceAnswer, error)
	// Ready says whether the entry serves; the text says why not.
	Ready() (ok bool, why string)
}
