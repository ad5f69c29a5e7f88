package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid means that a text is YAML but not a valid document.
var ErrInvalid = errors.New("invalid document")

// Fault is one error in a document.
type Fault struct {
	// Path names the field, such as services[1].places[0]. It is empty when no
	// field is known, as for a syntax error or a text that is too long.
	Path string `json:"path"`
	// Message says what is wrong and, for most faults, what is allowed.
	Message string `json:"message"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Faults lists the errors in a document, at most MaxFaults. It is an error that
// wraps ErrInvalid.
type Faults []Fault //nolint:errname // a list that is also an error

// Error implements error.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.String()
	}
	return fmt.Sprintf("%v: %s", ErrInvalid, strings.Join(lines, "; "))
}

// Unwrap returns ErrInvalid.
func (fs Faults) Unwrap() error { return ErrInvalid }
