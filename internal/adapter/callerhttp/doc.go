// Package callerhttp is the HTTP interface of an entry: look-ups and requests
// of callers, and announcements of endpoints.
//
//	GET /v1/lookup?service=S[&place=P]   which entries to use
//	PUT /v1/endpoints/{id}               an endpoint reports itself
//	*   /s/{service}/...                 a request for an endpoint
//	GET /healthz, /readyz                liveness and readiness
//	GET /v1/metrics                      metrics as JSON
//
// Every failure is a problem document (RFC 9457) that carries the verdict.
package callerhttp
