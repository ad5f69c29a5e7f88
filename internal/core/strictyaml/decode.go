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

// Problem is one reason why a text can't be read.
type Problem struct {
	// Line is the line in the text, from 1; 0 when it isn't known.
	Line int
	// Field is the path of the field, such as services[1].slots; it is empty
	// when the text isn't YAML at all.
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

// MaxProblems bounds the problems that one error holds.
const MaxProblems = 1000

// Error holds the problems that were found in a text.
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

// Decode reads one YAML document into out, a pointer to a struct. The error is
// an *Error.
func Decode(text []byte, out any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	decoder.KnownFields(true)
	err := decoder.Decode(out)
	if errors.Is(err, io.EOF) {
		return &Error{Problems: []Problem{{Line: 1, Message: "the text is empty"}}}
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
	return &Error{Problems: []Problem{{Line: rest.Line, Message: "a second document follows the first"}}}
}

var (
	linePrefix   = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
	doubleKey    = regexp.MustCompile(`^mapping key "(.*)" already defined`)
	// parserError matches the errors for which the library counts lines from 0.
	parserError = regexp.MustCompile(`^did not find expected (<.*>|node content|key|'-' indicator|',' or '.')$`)
	wrongType   = regexp.MustCompile("^cannot unmarshal !!(\\w+)(?: `(?s:(.*))`)? into (\\S+)$")
)

// explain turns an error of the YAML library into an *Error with paths.
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

func explainOne(index *Index, message string) Problem {
	p := Problem{Message: strings.TrimPrefix(message, "yaml: ")}
	if m := linePrefix.FindStringSubmatch(message); m != nil {
		p.Line, _ = strconv.Atoi(m[1])
		p.Message = m[2]
	}
	if m := unknownField.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.key(p.Line, m[1])
		p.Message = "unknown field"
		return p
	}
	if m := doubleKey.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.key(p.Line, m[1])
		return p
	}
	if m := wrongType.FindStringSubmatch(p.Message); m != nil {
		p.Field = index.value(p.Line, m[1], m[2], m[3])
		p.Message = fmt.Sprintf("%s is wanted, got %s", kindName(m[3]), yamlName(m[1]))
		if m[2] != "" {
			p.Message += fmt.Sprintf(" %q", m[2])
		}
		return p
	}
	if parserError.MatchString(p.Message) {
		p.Line = min(p.Line+1, index.last)
	}
	p.Field = index.first(p.Line)
	return p
}

// kindName names a Go type in the words of YAML.
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

// yamlName names a short YAML tag.
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
