package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sassafrasreach/internal/core/strictyaml"
)

// Error says what is wrong with a settings file.
type Error struct {
	// File is the path of the file.
	File string
	// Line is the line in the file, from 1; 0 when it isn't known.
	Line int
	// Field is the path of the field, such as members[1].address.
	Field string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Message
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Line > 0 {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, text)
	}
	return fmt.Sprintf("%s: %s", e.File, text)
}

// LoadControl reads and checks the settings of a control VM. The error is an
// *Error that tells the first fault.
func LoadControl(path string) (Control, error) {
	c := Control{LogLevel: DefaultLogLevel}
	if err := load(path, &c, c.Validate); err != nil {
		return Control{}, err
	}
	return c, nil
}

// LoadEntry reads and checks the settings of an entry VM. The error is an
// *Error that tells the first fault.
func LoadEntry(path string) (Entry, error) {
	e := Entry{LogLevel: DefaultLogLevel, DrainLimit: Duration(DefaultDrainLimit)}
	if err := load(path, &e, e.Validate); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// UnknownPlace is the fault of an entry's settings whose place isn't in the
// document. It can be told only when the first document has come.
func UnknownPlace(path, place string) *Error {
	fault := &Error{File: path, Field: "place", Message: fmt.Sprintf("unknown place %q", place)}
	if text, err := read(path); err == nil {
		fault.Line = strictyaml.NewIndex(text).Line(fault.Field)
	}
	return fault
}

func load(path string, out any, validate func() []Fault) error {
	text, err := read(path)
	if err != nil {
		return &Error{File: path, Message: err.Error()}
	}
	err = strictyaml.Decode(text, out)
	var unread *strictyaml.Error
	if errors.As(err, &unread) {
		p := unread.Problems[0]
		return &Error{File: path, Line: p.Line, Field: p.Field, Message: p.Message}
	}
	if err != nil {
		return &Error{File: path, Message: err.Error()}
	}
	faults := validate()
	if len(faults) == 0 {
		return nil
	}
	first := faults[0]
	line := strictyaml.NewIndex(text).Line(first.Field)
	return &Error{File: path, Line: line, Field: first.Field, Message: first.Message}
}

// read returns the whole file, unless it is longer than MaxFileBytes.
func read(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Unwrap(err)
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, MaxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(text) > MaxFileBytes {
		return nil, fmt.Errorf("the file has more than %d bytes", MaxFileBytes)
	}
	return text, nil
}
