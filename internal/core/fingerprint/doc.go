// Package fingerprint identifies the content of a request by a hash.
//
// Claims use it to detect that an idempotency key is reused for another request,
// and quarantine uses it to recognize a request that crashes endpoints.
package fingerprint
