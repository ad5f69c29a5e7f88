// Package fingerprint identifies the content of a request.
//
// Claims use it to notice that a key came again with another request, and
// quarantine to recognise a request that crashes endpoints.
package fingerprint
