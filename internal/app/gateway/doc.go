// Package gateway implements a gateway: a VM that accepts clients' requests,
// finds their route, requests a slot of an endpoint from the dispatcher of a
// region and sends the request to that endpoint itself.
//
// A slot is the right to run one request at an endpoint. The dispatcher of a
// region is the controller that grants the slots of the region's endpoints. It
// holds the region's lease, unless no controller can get a majority of the
// votes. A gateway watches controllers for the configuration and the leases:
// the controller holds a watch call until something changes or a short time has
// passed.
//
// Gateway.mu guards the tables; it is never held during a call.
package gateway
