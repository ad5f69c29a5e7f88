package endpointhttp

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// HeaderRequestID carries the ID of the exchange to the endpoint and back: the
	// ID of the request, a dot and a random part. If the request's ID has a space or
	// a byte that isn't printable ASCII, only the random part is sent.
	HeaderRequestID = "Sassafrasreach-Request-Id"
	// HeaderTimeout carries the time until the deadline, in milliseconds.
	HeaderTimeout = "Sassafrasreach-Timeout-Ms"
	// HeaderShed is "true" in the response of an endpoint that refuses a request
	// without running it; the status is 503.
	HeaderShed = "Sassafrasreach-Shed"

	headerPrefix = "Sassafrasreach-"
	shedValue    = "true"
)

// hopByHop lists the header fields that apply to a single connection (RFC 9110,
// section 7.6.1), and Expect, which the entry VM has already handled.
var hopByHop = []string{
	"Connection",
	"Expect",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of h without the hop-by-hop fields and without the fields
// that start with headerPrefix.
func endToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	for name, values := range h {
		if !strings.HasPrefix(textproto.CanonicalMIMEHeaderKey(name), headerPrefix) {
			out[name] = values
		}
	}
	for _, named := range h["Connection"] {
		for name := range strings.SplitSeq(named, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}
