// Package strictjson decodes JSON texts that have to mean the same to every reader.
//
// encoding/json repairs or passes over what another reader could read in another way:
// bytes that aren't UTF-8 and escapes of half a surrogate pair (it reads U+FFFD), a key that
// stands twice (the last value holds), a key that differs from a field's name in its case
// only (it sets the field), null where a value is due (the field keeps its zero value) and
// data after the value. Here each of them is an error.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Error says why a text isn't accepted.
type Error struct {
	// Path names the value, such as listeners[0].host; empty for the whole text.
	Path string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Path == "" {
		return e.Message
	}
	return e.Path + ": " + e.Message
}

// Decode decodes a text of exactly one JSON value into out, a pointer to a struct without
// embedded ones. Keys without a field are ignored. Null is accepted for lists, maps and
// pointers. The error is an *Error or one of encoding/json; its text holds no value of the
// text, which may be secret.
func Decode(source []byte, out any) error { return decode(source, out, false) }

// DecodeKnown is Decode that refuses keys without a field.
func DecodeKnown(source []byte, out any) error { return decode(source, out, true) }

func decode(source []byte, out any, knownOnly bool) error {
	if err := checkText(source); err != nil {
		return err
	}
	d := json.NewDecoder(bytes.NewReader(source))
	if err := d.Decode(out); err != nil {
		return withoutValue(source, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &Error{Message: "unexpected data after the JSON value"}
	}
	// The syntax is valid and the depth bounded from here on.
	c := checker{decoder: json.NewDecoder(bytes.NewReader(source)), knownOnly: knownOnly}
	c.decoder.UseNumber()
	return c.value(reflect.TypeOf(out).Elem(), "")
}

// withoutValue returns the error of a value that doesn't fit its field with the path of the
// value and its kind, but without the value. Other errors are returned unchanged.
func withoutValue(source []byte, err error) error {
	var mismatch *json.UnmarshalTypeError
	if !errors.As(err, &mismatch) {
		return err
	}
	kind, _, _ := strings.Cut(mismatch.Value, " ")
	return &Error{
		Path:    locate(source, max(0, mismatch.Offset-1)),
		Message: fmt.Sprintf("this %s isn't a value of type %v", kind, mismatch.Type),
	}
}

// checkText returns an error for bytes that aren't UTF-8 and for escapes of half a surrogate
// pair. The text needn't be JSON.
func checkText(source []byte) error {
	for i := 0; i < len(source); {
		r, size := utf8.DecodeRune(source[i:])
		switch {
		case r == utf8.RuneError && size == 1:
			return &Error{Path: locate(source, int64(i)), Message: fmt.Sprintf("byte %d of the text isn't UTF-8", i)}
		case r != '\\':
			i += size
			continue
		}
		unit, isUnit := codeUnit(source[i:])
		next, nextIsUnit := uint16(0), false
		if isUnit {
			next, nextIsUnit = codeUnit(source[i+escapeBytes:])
		}
		switch {
		case !isUnit:
			i += 2 // the escaped character may be a backslash
		case isHigh(unit) && nextIsUnit && isLow(next):
			i += 2 * escapeBytes
		case isHigh(unit) || isLow(unit):
			return &Error{Path: locate(source, int64(i)), Message: fmt.Sprintf("byte %d of the text begins half of a surrogate pair", i)}
		default:
			i += escapeBytes
		}
	}
	return nil
}

// escapeBytes is the length of an escape of a UTF-16 code unit, such as \u00fc.
const escapeBytes = 6

// codeUnit returns the UTF-16 code unit whose escape the text begins with; false if it
// begins with something else.
func codeUnit(text []byte) (uint16, bool) {
	if len(text) < escapeBytes || text[0] != '\\' || text[1] != 'u' {
		return 0, false
	}
	unit, err := strconv.ParseUint(string(text[2:escapeBytes]), 16, 16)
	return uint16(unit), err == nil
}

func isHigh(unit uint16) bool { return unit >= 0xD800 && unit < 0xDC00 }
func isLow(unit uint16) bool  { return unit >= 0xDC00 && unit < 0xE000 }

// checker compares the keys of a valid text with the fields of a type.
type checker struct {
	decoder   *json.Decoder
	knownOnly bool
}

// value checks the next value, which is decoded into the type; nil if nothing is.
func (c *checker) value(t reflect.Type, path string) error {
	token, err := c.decoder.Token()
	if err != nil {
		return err
	}
	for t != nil && t.Kind() == reflect.Pointer {
		if t = t.Elem(); token == nil {
			return nil
		}
	}
	switch token {
	case json.Delim('{'):
		return c.object(t, path)
	case json.Delim('['):
		return c.array(t, path)
	case nil:
		if t != nil && t.Kind() != reflect.Slice && t.Kind() != reflect.Map && t.Kind() != reflect.Interface {
			return &Error{Path: path, Message: "null stands where a value is due"}
		}
	}
	return nil
}

func (c *checker) array(t reflect.Type, path string) error {
	var element reflect.Type
	if t != nil && t.Kind() == reflect.Slice {
		element = t.Elem()
	}
	for i := 0; c.decoder.More(); i++ {
		if err := c.value(element, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

func (c *checker) object(t reflect.Type, path string) error {
	seen := make(map[string]bool)
	for c.decoder.More() {
		token, err := c.decoder.Token()
		if err != nil {
			return err
		}
		key := token.(string)
		inner := strings.TrimPrefix(path+"."+key, ".")
		if seen[key] {
			return &Error{Path: inner, Message: "the key stands twice"}
		}
		seen[key] = true
		field, err := c.field(t, key, inner)
		if err != nil {
			return err
		}
		if err := c.value(field, inner); err != nil {
			return err
		}
	}
	_, err := c.decoder.Token()
	return err
}

// field returns the type of the field that a key names; nil if it names none.
func (c *checker) field(t reflect.Type, key, path string) (reflect.Type, error) {
	if t == nil || t.Kind() != reflect.Struct {
		return nil, nil
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "" {
			name = t.Field(i).Name
		}
		switch {
		case name == key:
			return t.Field(i).Type, nil
		case strings.EqualFold(name, key):
			return nil, &Error{Path: path, Message: fmt.Sprintf("the key differs from %q in its case", name)}
		}
	}
	if c.knownOnly {
		return nil, &Error{Path: path, Message: "unknown key"}
	}
	return nil, nil
}
