// Package gateway is a gateway: a VM that takes clients' requests, finds their
// route, asks the dispatcher of a region for an endpoint's slot and sends the
// request there itself.
//
// Gateway.mu guards the tables; it is never held during a call.
package gateway
