package registry

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"
)

// MaxIDBytes bounds the ID of an endpoint.
const MaxIDBytes = 256

// ErrInvalidID means that a text can't be the ID of an endpoint.
var ErrInvalidID = errors.New("invalid endpoint ID")

// CheckID returns an error for an ID that can't be passed on unchanged: it is empty,
// longer than MaxIDBytes, isn't UTF-8, holds a control character, or begins or ends with
// white space, which an HTTP header loses. The error wraps ErrInvalidID.
func CheckID(id string) error {
	switch {
	case id == "":
		return fmt.Errorf("%w: it is empty", ErrInvalidID)
	case len(id) > MaxIDBytes:
		return fmt.Errorf("%w: it has %d bytes, more than %d", ErrInvalidID, len(id), MaxIDBytes)
	case !utf8.ValidString(id):
		return fmt.Errorf("%w: %q isn't UTF-8", ErrInvalidID, id)
	case strings.ContainsFunc(id, unicode.IsControl):
		return fmt.Errorf("%w: %q holds a control character", ErrInvalidID, id)
	case strings.TrimSpace(id) != id:
		return fmt.Errorf("%w: %q begins or ends with white space", ErrInvalidID, id)
	default:
		return nil
	}
}

// Check returns an error for an announcement that can't be passed on to another VM: its
// ID is invalid, or another text isn't UTF-8.
func (e *Endpoint) Check() error {
	if err := CheckID(e.ID); err != nil {
		return err
	}
	for _, text := range []string{e.Address, e.Service, e.Zone} {
		if !utf8.ValidString(text) {
			return fmt.Errorf("announcement of endpoint %q: %q isn't UTF-8", e.ID, text)
		}
	}
	return nil
}
