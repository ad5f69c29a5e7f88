// Package quarantine keeps a request that crashes endpoints from crashing more
// than two of them.
//
// A run is one request on one endpoint incarnation. A run is lost when its
// outcome is unknown, because it was given up or its connection was reset.
//
// The death of an endpoint is attributed to the requests whose runs were in
// flight on it or were lost on it recently. A run that was given up counts as
// recent for AttributionTimeout at most, and as reset once nothing listens at its
// endpoint's address any more. An endpoint that lost a run and shows no evidence of
// liveness for DetectionTimeout is presumed dead; after a run that was given up, only if the
// endpoint had reported itself before. Two deaths of distinct incarnations put
// a fingerprint into quarantine.
//
// Between the loss of a run and the report of a death the fingerprint is held
// back as well: until one run of it was answered, at most two runs may be in
// flight or lost, and after a first death one. A run that was given up, as
// happens with slow endpoints, counts for DetectionTimeout at most, and no
// longer once its endpoint has answered a request that started LivenessMargin
// or more after the loss. A run whose connection was reset counts for
// DetectionTimeout at least, and then until its endpoint shows evidence of
// liveness or Hold is over.
//
// A death counts only while it is not part of a correlated failure, that is,
// of several deaths at about the same time that aren't attributed to the
// fingerprint. A fingerprint that was answered recently is proven: the number
// of its runs isn't limited, and its first death and those of runs that had
// started by then count as one.
//
// A Table isn't safe for concurrent use; its owner guards it.
package quarantine
