package endpointhttp

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

// HeaderConvention describes the headers of endpoints: the names of those that
// the Caller sets, and how it interprets responses.
type HeaderConvention struct {
	// IDHeader names the header with the ID of a request; a response must echo it.
	IDHeader string
	// ExactID means that the request ID is sent unchanged, without a random part.
	ExactID bool
	// TimeoutHeader names the header with the time until the deadline, in
	// milliseconds.
	TimeoutHeader string
	// EndpointIDHeader names the header with the ID of the intended endpoint
	// (port.Endpoint.ID), which endpoints compare with their own; empty if they
	// don't.
	EndpointIDHeader string
	// KeyHeader names the header with a client's key, and AccountHeader the one with the
	// name of its account; empty if endpoints know no accounts. See port.Request.Identify.
	KeyHeader, AccountHeader string
	// NotRun reports whether a response states that the request was not run.
	NotRun func(status int, h http.Header) bool
	// Check returns an error for a response that an endpoint wouldn't send, such as
	// one of an intermediary; the response is rejected. A nil func accepts all.
	Check func(status int, h http.Header) error
	// Signals decodes what the endpoint says about itself in a response that passed
	// the check. With a nil func it says nothing.
	Signals func(status int, h http.Header) registry.Signals
}

func (c HeaderConvention) signals(in *response) registry.Signals {
	if c.Signals == nil {
		return registry.Signals{}
	}
	return c.Signals(in.status, in.header)
}

// defaultHeaderConvention is the convention of endpoints that announce
// themselves to entry VMs.
func defaultHeaderConvention() HeaderConvention {
	return HeaderConvention{IDHeader: HeaderRequestID, TimeoutHeader: HeaderTimeout, NotRun: isShed}
}

// setHeaders adds the convention's headers to the headers of a request. It has to come after
// the removal of the headers that the client's Connection header names, which could
// otherwise remove those that are set here.
func (c HeaderConvention) setHeaders(h http.Header, to port.Endpoint, req *port.Request) {
	id := req.ID
	if !c.ExactID {
		id = exchangeID(req.ID)
	}
	h.Set(c.IDHeader, id)
	if c.EndpointIDHeader != "" {
		h.Set(c.EndpointIDHeader, to.ID)
	}
	if !req.Deadline.IsZero() {
		left := max(time.Until(req.Deadline).Milliseconds(), 0)
		h.Set(c.TimeoutHeader, strconv.FormatInt(left, 10))
	}
	if req.Identify {
		c.identify(h, req.Account)
	}
}

// identify replaces the client's key by the name of its account; an empty name means that
// there is none.
func (c HeaderConvention) identify(h http.Header, account string) {
	for name := range h {
		if strings.EqualFold(name, c.KeyHeader) || strings.EqualFold(name, c.AccountHeader) {
			delete(h, name)
		}
	}
	if account != "" && c.AccountHeader != "" {
		h.Set(c.AccountHeader, account)
	}
}
