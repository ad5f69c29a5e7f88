package callerhttp

// Header fields of the callers' interface.
const (
	// HeaderTimeout carries the time until the request's deadline, in milliseconds.
	HeaderTimeout = "Sassafrasreach-Timeout-Ms"
	// HeaderKey carries the key of a once-only request.
	HeaderKey = "Sassafrasreach-Key"
	// HeaderPlace carries the caller's place, as returned by its look-up.
	HeaderPlace = "Sassafrasreach-Place"
	// HeaderRequestID carries the ID of one attempt of a request.
	HeaderRequestID = "Sassafrasreach-Request-Id"
	// HeaderVerdict states in a response whether the request may have run.
	HeaderVerdict = "Sassafrasreach-Verdict"
	// HeaderEntry carries the name of the entry VM that responded.
	HeaderEntry = "Sassafrasreach-Entry"
)
