// Package quarantine keeps a request that crashes endpoints from crashing more
// than two of them.
//
// The death of an endpoint blames the requests that were in flight on it, or
// whose end was lost within Late before. An endpoint that lost a run and shows no
// life for Blame is taken for dead. Two deaths of distinct incarnations put a
// fingerprint into quarantine. Between the loss of a run and the news of a death
// the fingerprint is held back as well: until one run of it was answered, at most
// two runs may be under way or lost, and after a first death one. A run that was
// given up, as those of slow endpoints are, holds it back for Blame at most, and
// no more once its endpoint has answered a request that started well after.
//
// A death counts only while it is not part of a wider failure, in which several
// endpoints die at about the same time without the fingerprint. A fingerprint
// that was answered lately is proven: it may run as often as callers like, and
// endpoints that die together blame it once only.
//
// A Table isn't safe for concurrent use; its owner guards it.
package quarantine
