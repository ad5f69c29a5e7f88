// Package dispatch decides which endpoint a region's requests go to, who waits
// and who is refused.
//
// One dispatcher at a time knows all slots of a region's endpoints and grants
// them one by one. It answers offered work above capacity with a short queue by
// priority and early refusals, objects that endpoints keep warm with affinity,
// endpoints that fail a share of their requests with a growing preference for
// others, endpoints that come back cold with a rate, and a dead gateway with
// grants that end by themselves.
//
// The package has no I/O, goroutine or clock.
package dispatch
