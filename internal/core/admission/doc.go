// Package admission decides what happens to a request at the owner of a group:
// the endpoints of one service in one place.
//
// A Group is a state machine. It learns of endpoints from their announcements
// and from what their requests show, and it answers each offered request at
// once: granted to an endpoint, queued, or refused. It never grants more
// requests to an endpoint than the endpoint has slots, gives no work to an
// endpoint that leaves, and never grants a request after it was cancelled.
// What endpoints report of themselves is a hint; the requests in flight, their
// latency and their failures decide.
//
// A Group does no I/O and reads no clock. It is not safe for concurrent use.
package admission
