// Package endpointhttp sends requests to endpoints over HTTP/1.1 (RFC 9112). For
// every failure it decides whether the request may have run on the endpoint
// (package verdict).
//
// The package manages its own connections; net/http only writes requests and
// parses responses. http.Transport is not used: when a reused connection closes
// before the response, it silently retries requests with an idempotent method or an
// Idempotency-Key header. Here, a call writes its request at most once.
//
// A connection carries one request at a time. It is closed after a cancellation,
// a timeout, a protocol error or unexpected bytes. Responses must echo the ID of
// the request. Together these rules prevent a response from reaching another
// caller.
//
// Terms: a once-only request is one that must not run twice. An incarnation is one
// run of an endpoint's process. The verdict NotRun means that the endpoint did not
// start the request; MayHaveRun means that this is unknown. An endpoint sheds a
// request when it refuses the request without running it.
package endpointhttp
