// Package quarantine keeps a request that crashes endpoints from crashing more
// than two of them.
//
// The death of an endpoint is attributed to the requests that were in flight on
// it, or that were lost on it recently: if given up, within AttributionTimeout
// before at most. A run is one request on one endpoint incarnation; a run is
// lost when its outcome is unknown, because it was given up or its connection
// was reset. An endpoint that lost a run and shows no evidence of liveness for
// DetectionTimeout is presumed dead; after a run that was given up, only if the
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
// A death counts only while it is not part of a correlated failure, in which
// several endpoints die at about the same time without the fingerprint. A
// fingerprint that was answered recently is proven: the number of its runs
// isn't limited, and endpoints that die together count as one death.
//
// A Table isn't safe for concurrent use; its owner guards it.
package quarantine
