// Package dispatch decides which endpoint serves each request of a region,
// which requests wait for a slot and which are refused.
//
// A region normally has one dispatcher at a time (see Pool.SetExclusive). It
// keeps a Pool of all slots of the region's endpoints; a slot is the right to
// run one request at an endpoint. A gateway sends a SlotRequest; the pool
// grants one, queues the slot request or refuses it. A grant lasts until it is
// released or expires. An object is what a request concerns, named by its
// affinity key. It is warm at an endpoint that still caches it, where a run is
// shorter, and cold elsewhere. An endpoint itself is cold for some time after
// its start, while it bears only a low rate of requests.
//
// The pool handles these conditions:
//
//   - Offered load above capacity: short queues by priority, and early
//     refusals.
//   - Objects that endpoints keep warm: cache affinity, with a learned limit
//     on the objects per endpoint.
//   - Clients in other regions than the endpoints: regions lend each other
//     whole endpoints.
//   - Endpoints that fail, refuse or lose a share of their requests: a
//     growing preference for other endpoints, without abandoning warm objects.
//   - Endpoints that return cold: a rate limit.
//   - Retry storms: a retry budget.
//   - Failed gateways: grants that expire.
//
// The package does no I/O, starts no goroutine and reads no clock.
package dispatch
