// Package fleetgrpc carries messages between gateways and controllers, and
// among controllers, over gRPC. Moments travel as ages, since clocks of VMs
// differ.
package fleetgrpc
