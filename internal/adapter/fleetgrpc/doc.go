// Package fleetgrpc carries the messages between gateways and controllers, and
// among controllers, over gRPC.
//
// A point in time is sent as its age in milliseconds, or as the time that is left
// until it, since the clocks of VMs differ. The receiver converts it to its own
// clock; the time that the message was on its way is not taken into account.
package fleetgrpc
