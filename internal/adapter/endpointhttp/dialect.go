package endpointhttp

import (
	"net/http"
	"strconv"
	"time"

	"sassafrasreach/internal/port"
)

// Dialect names the headers by which requests and answers are told.
type Dialect struct {
	// IDHeader carries the ID of a request to the endpoint and back.
	IDHeader string
	// ExactID says that the ID goes out as the caller gave it.
	ExactID bool
	// TimeoutHeader carries the time that is left, in milliseconds.
	TimeoutHeader string
	// IncarnationHeader carries the ID of the endpoint that is meant; empty if
	// endpoints don't compare it.
	IncarnationHeader string
	// NotRun says whether an answer states that the request wasn't run.
	NotRun func(status int, h http.Header) bool
	// Check returns why an answer isn't the endpoint's own; nil accepts all.
	Check func(status int, h http.Header) error
}

// ownDialect is spoken by endpoints that announce themselves to entries.
func ownDialect() Dialect {
	return Dialect{IDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, NotRun: isShed}
}

// address adds the headers of the dialect to a request.
func (d Dialect) address(h http.Header, to port.Endpoint, req *port.Request) {
	id := req.ID
	if !d.ExactID {
		id = exchangeID(req.ID)
	}
	h.Set(d.IDHeader, id)
	if d.IncarnationHeader != "" {
		h.Set(d.IncarnationHeader, to.ID)
	}
	if !req.Deadline.IsZero() {
		left := max(time.Until(req.Deadline).Milliseconds(), 0)
		h.Set(d.TimeoutHeader, strconv.FormatInt(left, 10))
	}
}
