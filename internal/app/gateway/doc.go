// Package gateway implements a gateway: a VM that accepts clients'
// requests, finds their route, requests a slot of an endpoint from the dispatcher
// of a region and sends the request to that endpoint itself.
//
// A slot is the right to run one request at an endpoint. The dispatcher of a
// region is the controller that grants the slots of the region's endpoints; it
// holds the region's lease. A gateway watches controllers for the configuration
// and the leases: a watch call is held until something changes.
//
// Gateway.mu guards the tables; it is never held during a call.
package gateway
