// Package port defines the interfaces and messages between the decisions in
// internal/core, the wiring in internal/app and the adapters around them.
//
// Two deployments share it. In one, entries carry requests to endpoints, and
// control VMs hold the document, the operators' configuration. In the other,
// gateways carry the requests, and controllers hold the configuration and
// dispatch the requests of regions.
package port
