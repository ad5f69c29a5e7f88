// Package endpointhttp sends requests to endpoints over HTTP/1.1 (RFC 9112) and
// tells of every failure whether the request may have run.
//
// Connections are the package's own; net/http only writes requests and parses
// answers. http.Transport isn't used, because it sends a request again by itself
// when a reused connection closes without an answer, for idempotent methods and
// for any that carries an Idempotency-Key header, and doesn't tell. Here a call
// writes its request at most once.
//
// A connection carries one request at a time. It is closed after a cancellation,
// a timeout, a fault of the protocol or bytes that nobody asked for, and answers
// must echo the request's ID, so that no answer reaches another caller.
package endpointhttp
