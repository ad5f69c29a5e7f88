// Package fleetgrpc carries the messages between gateways and controllers, and
// among controllers, over gRPC.
//
// A point in time is sent as its age in milliseconds, or as the time that is left
// until it, since the clocks of VMs differ. The receiver converts it to its own
// clock; it doesn't correct for the transit time of the message.
package fleetgrpc
