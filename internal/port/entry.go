package port

import (
	"context"
	"net/netip"
	"time"
)

// LookupQuery requests the entries to use for a service.
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
	// KeyPrefix begins the keys of once-only requests. It names one incarnation of
	// the first entry.
	KeyPrefix string `json:"home"`
}

// EndpointState is the state that an endpoint reports.
type EndpointState string

const (
	// EndpointStarting means that it isn't ready for requests yet.
	EndpointStarting EndpointState = "starting"
	// EndpointReady means that it accepts requests.
	EndpointReady EndpointState = "ready"
	// EndpointLeaving means that it accepts no new requests for the rest of
	// its incarnation.
	EndpointLeaving EndpointState = "leaving"
)

// Announcement is an endpoint's periodic report.
type Announcement struct {
	// ID identifies the endpoint; Incarnation changes at each of its starts.
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
	// Sequence orders the announcements of one incarnation.
	Sequence uint64 `json:"sequence"`
	// Service and Place identify the group that the endpoint belongs to.
	Service string `json:"service"`
	Place   string `json:"place"`
	// Address is the IP:port where it serves requests.
	Address string `json:"address"`
	// Slots is the number of requests that it runs at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that it accepts.
	Connections int `json:"connections"`
	// State says whether it accepts requests.
	State EndpointState `json:"state"`
	// Load is the utilization that it measures itself: 0 is idle, 1 is full.
	Load float64 `json:"load"`
}

// AnnounceAnswer says where and when an endpoint announces next.
type AnnounceAnswer struct {
	// Entries are the IP:port addresses of the entries of the endpoint's
	// place.
	Entries []string `json:"entries"`
	// IntervalMillis is the time until the next announcement.
	IntervalMillis int64 `json:"interval_ms"`
}

// ServiceTerms are the bounds that an entry applies to a service's requests.
type ServiceTerms struct {
	// Deadline is the default time that a request may take.
	Deadline time.Duration
	// MaxBodyBytes bounds the request body, MaxAnswerBytes the answer's.
	MaxBodyBytes   int64
	MaxAnswerBytes int64
	// OnceOnly means that a request with this method must not run twice.
	OnceOnly bool
}

// Entry is the service that an entry offers to callers and endpoints. Every
// error is a *verdict.Error.
type Entry interface {
	// Lookup ranks entries from local state alone.
	Lookup(q LookupQuery) (LookupAnswer, error)
	// Terms returns the bounds of a service for a method.
	Terms(service, method string) (ServiceTerms, error)
	// OriginOf returns the place of a caller: the named one, else the place of
	// the address, else the entry's own. An unknown named place is an error.
	OriginOf(place string, client netip.Addr) (string, error)
	// Serve carries a request to an endpoint and returns its answer.
	Serve(ctx context.Context, req *Request) (*Response, error)
	// Announce accepts an endpoint's announcement.
	Announce(ctx context.Context, a Announcement) (AnnounceAnswer, error)
	// Ready reports whether the entry serves requests, and if not, why.
	Ready() (ok bool, why string)
}
