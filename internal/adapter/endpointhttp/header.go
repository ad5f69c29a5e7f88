package endpointhttp

import (
	"net/http"
	"net/textproto"
	"strings"
)

const (
	// HeaderRequestID carries the ID of the exchange to the endpoint and back: the
	// request's own ID, a dot and a random part.
	HeaderRequestID = "Sassafrasreach-Request-Id"
	// HeaderTimeout carries the time that is left, in milliseconds.
	HeaderTimeout = "Sassafrasreach-Timeout-Ms"
	// HeaderShed is "true" on the answer of an endpoint that refuses a request
	// without running it; the status is 503.
	HeaderShed = "Sassafrasreach-Shed"

	headerPrefix = "Sassafrasreach-"
	shedValue    = "true"
)

// hopByHop lists the fields that belong to one connection (RFC 9110, section
// 7.6.1), and Expect, which this hop has answered already.
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

// endToEnd returns a copy of h without the fields of one connection and without
// the system's own.
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
