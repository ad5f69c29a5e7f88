// Package httpstatus rejects HTTP responses whose status isn't valid. http.ReadResponse
// takes the statuses 000, 099 and +20 for the numbers 0, 99 and 20, and any number above.
package httpstatus

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrInvalid means that a status isn't three digits from 100 to 599 (RFC 9110, section
// 15). The request may have run.
var ErrInvalid = errors.New("invalid status")

// Check returns an error that wraps ErrInvalid if the status of a response that was read
// from a connection isn't valid.
func Check(r *http.Response) error {
	code, _, _ := strings.Cut(r.Status, " ")
	if len(code) != 3 || code[0] < '1' || code[0] > '5' || !isDigit(code[1]) || !isDigit(code[2]) {
		return fmt.Errorf("%w: %.80q isn't three digits from 100 to 599", ErrInvalid, r.Status)
	}
	return nil
}

func isDigit(b byte) bool { return b >= '0' && b <= '9' }

// Transport is a http.RoundTripper that fails if the status of a response isn't valid. It
// doesn't use the connection of such a response again.
type Transport struct {
	// Base sends the requests.
	Base *http.Transport
}

// NewClient returns a client that uses a Transport.
func NewClient(base *http.Transport) *http.Client { return &http.Client{Transport: Transport{base}} }

// RoundTrip implements http.RoundTripper. The error wraps ErrInvalid.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// Closes the connection if the body is unread; a connection without one is idle.
		_ = response.Body.Close()
		t.Base.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}
