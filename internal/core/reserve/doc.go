// Package reserve decides which endpoints a gateway uses by itself while no
// dispatcher grants slots: all controllers restart, or it is cut off from them.
//
// The gateway goes on with what the dispatchers granted it just before: the same
// endpoints, an object at the endpoint that served it last, and no more requests at
// once than it had slots. Each gateway keeps to its own share, so that all together
// use about the slots that were in use before. Endpoints that are cold, or named a
// limit, get nothing: what they take counts over all gateways. An endpoint is used
// only soon after its last grant, since the gateway doesn't learn of its leaving.
//
// The package does no I/O, starts no goroutine and reads no clock.
package reserve
