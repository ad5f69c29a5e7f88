// Package dispatch decides which endpoint a region's requests go to, who waits
// and who is refused.
//
// One dispatcher at a time knows all slots of a region's endpoints and grants
// them one by one. The loads that it answers, and with what:
//
//   - offered work above capacity: a short queue by priority, early refusals;
//   - objects that endpoints keep warm: affinity, with a learned limit;
//   - clients that aren't where the endpoints are: loans of whole endpoints
//     between regions;
//   - endpoints that fail, refuse or lose a share of their requests: a growing
//     preference for others, without leaving warm objects behind;
//   - endpoints that come back cold: a rate;
//   - second sends in a storm: a budget;
//   - a dead gateway: grants that end by themselves.
//
// The package has no I/O, goroutine or clock.
package dispatch
