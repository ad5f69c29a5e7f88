package settings

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sassafrasreach/internal/core/strictyaml"
)

// Error describes the first problem of a settings file.
type Error struct {
	// File is the path of the file.
	File string
	// Line is the line in the file, counted from 1; 0 if it isn't known.
	Line int
	// Field is the path of the field, such as members[1].address; empty if the
	// problem isn't in one field.
	Field string
	// Message describes the problem and, where it is known, what is valid.
	Message string
}

// Error returns the message with the file, the line and the field, if known.
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
// *Error with the first problem.
func LoadControl(path string) (Control, error) {
	c := Control{LogLevel: DefaultLogLevel, MemoryBytes: DefaultMemoryBytes, MaxDescriptors: DefaultMaxDescriptors}
	if err := load(path, &c, c.Validate); err != nil {
		return Control{}, err
	}
	return c, nil
}

// LoadEntry reads and checks the settings of an entry VM. The error is an *Error
// with the first problem.
func LoadEntry(path string) (Entry, error) {
	e := Entry{
		LogLevel: DefaultLogLevel, DrainLimit: Duration(DefaultDrainLimit),
		MemoryBytes: DefaultMemoryBytes, MaxDescriptors: DefaultMaxDescriptors,
	}
	if err := load(path, &e, e.Validate); err != nil {
		return Entry{}, err
	}
	return e, nil
}

// UnknownPlace returns the error for an entry VM's settings whose place isn't in
// the document. This can be checked only once the entry VM has received its first
// document.
func UnknownPlace(path, place string) *Error {
	e := &Error{File: path, Field: "place", Message: fmt.Sprintf("unknown place %q; it must be one of the places in the document", place)}
	if text, err := read(path); err == nil {
		e.Line = strictyaml.NewIndex(text).Line(e.Field)
	}
	return e
}

// load reads the file into out and validates it. The error is an *Error.
func load(path string, out any, validate func() []Problem) error {
	text, err := read(path)
	if err != nil {
		return &Error{File: path, Message: err.Error()}
	}
	err = strictyaml.Decode(text, out)
	var invalid *strictyaml.Error
	if errors.As(err, &invalid) {
		p := invalid.Problems[0]
		return &Error{File: path, Line: p.Line, Field: p.Field, Message: p.Message}
	}
	if err != nil {
		return &Error{File: path, Message: err.Error()}
	}
	problems := validate()
	if len(problems) == 0 {
		return nil
	}
	first := problems[0]
	line := strictyaml.NewIndex(text).Line(first.Field)
	return &Error{File: path, Line: line, Field: first.Field, Message: first.Message}
}

// read returns the content of the file. It fails if that is longer than
// MaxFileBytes.
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
		return nil, fmt.Errorf("the file is longer than the maximum of %d bytes", MaxFileBytes)
	}
	return text, nil
}
