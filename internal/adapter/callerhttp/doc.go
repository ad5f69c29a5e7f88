// Package callerhttp is the HTTP interface of an entry VM to callers and endpoints.
// It parses and validates requests, leaves the decision to port.Entry, and maps
// errors to statuses.
//
//	GET /v1/lookup?service=S[&place=P]   which entry VMs to use
//	PUT /v1/endpoints/{id}               announcement of an endpoint
//	*   /s/{service}/...                 request for an endpoint
//	GET /healthz, /readyz                liveness and readiness
//	GET /v1/metrics                      metrics as JSON
//
// Failures of the first three are problem documents (RFC 9457) with a verdict,
// which states whether the request may have run on an endpoint. Unknown paths and
// methods get the plain errors of the router.
//
// A once-only request is one that must not run twice. It carries a key; the
// entry VM named in the key (the key's coordinator) knows the outcome of the
// request's earlier attempts.
package callerhttp
