// Package admission decides what happens to a request at the owner of a
// group. A group is the set of endpoints of one service in one place; its
// owner is the process that grants their slots. A slot is the right to run
// one request at an endpoint.
//
// A Group is a state machine. It is updated by the announcements of endpoints
// and by the results of their requests, and it answers each offered request
// at once: granted to an endpoint, queued, or refused. It never grants more
// requests to an endpoint than the endpoint has slots, grants nothing to an
// endpoint that leaves, and never grants a request after it was canceled. The
// load that an endpoint reports is only a hint; the requests in flight, their
// latency and their failures decide.
//
// Requests from the group's own place take precedence over spilled-in ones,
// which come from other places. A shed is an endpoint's refusal to run a
// request. An endpoint that fails repeatedly is ejected for a time, and a
// cold one starts slowly, with a part of its slots.
//
// A Group does no I/O and reads no clock. It is not safe for concurrent use.
package admission
