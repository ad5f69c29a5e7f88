// Package pipelinehttp serves clients that send further requests before the first one
// has been answered (HTTP pipelining, RFC 9112, section 9.3.2).
//
// Connections are served by http.Server as long as nothing arrives behind a request
// that is being served. When it does, the connection is taken over by http.Hijacker and
// served by a loop of this package: it reads ahead, runs requests that are safe to run
// together side by side, and writes the responses in the order of the requests.
package pipelinehttp
