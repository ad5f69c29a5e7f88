package document

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid means that a document was read but has faults.
var ErrInvalid = errors.New("invalid document")

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Path names the field, such as services[1].places[0]; it is empty when
	// the text can't be read at all.
	Path string `json:"path"`
	// Message says what is wrong.
	Message string `json:"message"`
}

// String returns the fault in one line.
func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}
	return f.Path + ": " + f.Message
}

// Faults is all that is wrong with a document. It is an error that wraps
// ErrInvalid.
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
