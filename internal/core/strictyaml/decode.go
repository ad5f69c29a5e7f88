package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Problem is one reason why a text can't be decoded.
type Problem struct {
	// Line is the line in the text, counted from 1; 0 means unknown.
	Line int
	// Field is the path of the field, such as services[1].slots. It is empty
	// when no field is known, for instance because the text isn't YAML.
	Field string
	// Message says what is wrong.
	Message string
}

// String returns the problem in one line.
func (p Problem) String() string {
	text := p.Message
	if p.Field != "" {
		text = p.Field + ": " + text
	}
	if p.Line > 0 {
		text = fmt.Sprintf("line %d: %s", p.Line, text)
	}
	return text
}

// MaxProblems bounds the number of problems in one Error.
const MaxProblems = 1000

// Error lists the problems of a text.
type Error struct {
	// Problems has 1 to MaxProblems elements.
	Problems []Problem
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "; ")
}

// Decode decodes a text of exactly one YAML document into out, a pointer to a
// struct. The error is an *Error.
func Decode(text []byte, out any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	err := decoder.Decode(out)
	if errors.Is(err, io.EOF) {
		return &Error{Problems: []Problem{{Line: 1, Message: "the text is empty; one YAML document is needed"}}}
	}
	if err != nil {
		return explain(text, err, reflect.TypeOf(out).Elem())
	}
	var rest yaml.Node
	err = decoder.Decode(&rest)
	if errors.Is(err, io.EOF) {
		return nil
	}
	if err != nil {
		return explain(text, err, reflect.TypeOf(out).Elem())
	}
	return &Error{Problems: []Problem{{Line: rest.Line, Message: "a second document begins here; only one is allowed"}}}
}

// Patterns of the messages of the YAML library.
var (
	linePrefix   = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
	duplicateKey = regexp.MustCompile(`^mapping key "(.*)" already defined`)
	// parserError matches the messages in which the library counts lines from 0
	// instead of 1.
	parserError = regexp.MustCompile(`^did not find expected (<.*>|node content|key|'-' indicator|',' or '.')$`)
	wrongType   = regexp.MustCompile("^cannot unmarshal !!(\\w+)(?: `(?s:(.*))`)? into (\\S+)$")
)

// explain converts an error of the YAML library into an *Error with paths. At most
// MaxProblems are kept.
func explain(text []byte, err error, target reflect.Type) *Error {
	messages := []string{err.Error()}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	messages = messages[:min(len(messages), MaxProblems)]
	index := newIndex(text, target)
	problems := make([]Problem, len(messages))
	for i, message := range messages {
		problems[i] = explainOne(index, message)
	}
	return &Error{Problems: problems}
}

// explainOne converts one message of the YAML library. An unrecognized message is
// kept, with the path of the first field on its line.
func explainOne(index *Index, message string) Problem {
	p := Problem{Message: strings.TrimPrefix(message, "yaml: ")}
	if m := linePrefix.FindStringSubmatch(message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = m[2]
	}
	if m := unknownField.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.keyPath(p.Line, m[1])
		p.Message = "unknown field"
		return p
	}
	if m := duplicateKey.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.keyPath(p.Line, m[1])
		return p
	}
	if m := wrongType.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.valuePath(p.Line, m[1], m[2], m[3])
		p.Message = fmt.Sprintf("%s is wanted, got %s", kindName(m[3]), yamlName(m[1]))
		if m[2] != "" {
			p.Message += fmt.Sprintf(" %q", m[2])
		}
		return p
	}
	if parserError.MatchString(p.Message) {
		p.Line = min(p.Line+1, index.lastLine)
	}
	p.Field = index.firstPath(p.Line)
	return p
}

// kindName describes the YAML values that a Go type accepts, for messages.
func kindName(goType string) string {
	switch {
	case strings.HasPrefix(goType, "[]"):
		return "a list"
	case strings.HasPrefix(goType, "int"), strings.HasPrefix(goType, "uint"):
		return "a whole number"
	case strings.HasSuffix(goType, ".Duration"):
		return "a duration such as 800ms"
	case goType == "string":
		return "text"
	case goType == "bool":
		return "true or false"
	case strings.Contains(goType, "."):
		return "a mapping"
	default:
		return goType
	}
}

// yamlName describes a YAML tag, given in short form without its "!!", for
// messages.
func yamlName(tag string) string {
	switch tag {
	case "str":
		return "text"
	case "seq":
		return "a list"
	case "map":
		return "a mapping"
	case "int", "float":
		return "the number"
	default:
		return tag
	}
}
