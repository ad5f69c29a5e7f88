package callerhttp

// Header fields of the callers' interface.
const (
	// HeaderTimeout is the remaining time for the request, in milliseconds.
	HeaderTimeout = "Sassafrasreach-Timeout-Ms"
	// HeaderKey is the key of a once-only request.
	HeaderKey = "Sassafrasreach-Key"
	// HeaderPlace names the caller's place, as its look-up gave it.
	HeaderPlace = "Sassafrasreach-Place"
	// HeaderRequestID identifies one attempt of a request.
	HeaderRequestID = "Sassafrasreach-Request-Id"
	// HeaderVerdict says whether the request may have run.
	HeaderVerdict = "Sassafrasreach-Verdict"
	// HeaderEntry names the entry that answered.
	HeaderEntry = "Sassafrasreach-Entry"
)
