package strictyaml

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Index maps the fields of a text to their lines.
type Index struct {
	// byLine holds the fields whose key or value begins on a line.
	byLine map[int][]position
	// lines maps each path to its line; lastLine is the number of lines.
	lines    map[string]int
	lastLine int
}

// position is one field or list element with its lines in the text.
type position struct {
	keyLine, valueLine int
	key, value, path   string
	tag, goType        string
}

// NewIndex returns the index of a text. It is empty for a text that isn't YAML.
func NewIndex(text []byte) *Index { return newIndex(text, nil) }

// newIndex also records the Go type of each field when target, the type of the
// whole text, isn't nil.
func newIndex(text []byte, target reflect.Type) *Index {
	index := &Index{byLine: make(map[int][]position), lines: make(map[string]int), lastLine: 1}
	index.lastLine += bytes.Count(bytes.TrimRight(text, "\n"), []byte("\n"))
	var root yaml.Node
	if yaml.Unmarshal(text, &root) != nil || len(root.Content) == 0 {
		return index
	}
	index.walk("", root.Content[0], target)
	return index
}

// Line returns the line of a field such as services[1].slots. For a field that
// isn't in the text it returns the line of the nearest parent that is, or else 1.
func (x *Index) Line(path string) int {
	for path != "" {
		if line, ok := x.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

// walk adds the children of a node. A nil type is unknown.
func (x *Index) walk(path string, n *yaml.Node, t reflect.Type) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			child := key.Value
			if path != "" {
				child = path + "." + child
			}
			x.add(key, n.Content[i+1], child, fieldType(t, key.Value))
		}
	case yaml.SequenceNode:
		for i, element := range n.Content {
			x.add(element, element, path+"["+strconv.Itoa(i)+"]", elementType(t))
		}
	}
}

// add adds a field or list element and its children.
func (x *Index) add(key, value *yaml.Node, path string, t reflect.Type) {
	s := position{keyLine: key.Line, valueLine: value.Line, key: key.Value, value: value.Value, path: path, tag: value.ShortTag()}
	if t != nil {
		s.goType = t.String()
	}
	x.byLine[s.keyLine] = append(x.byLine[s.keyLine], s)
	if s.valueLine != s.keyLine {
		x.byLine[s.valueLine] = append(x.byLine[s.valueLine], s)
	}
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = key.Line
	}
	x.walk(path, value, t)
}

// fieldType returns the type of the struct field with the YAML name, or nil.
func fieldType(t reflect.Type, name string) reflect.Type {
	if t == nil || t.Kind() != reflect.Struct {
		return nil
	}
	for f := range t.Fields() {
		tag, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if tag == name {
			return f.Type
		}
	}
	return nil
}

// elementType returns the type of the elements of a slice, or nil.
func elementType(t reflect.Type) reflect.Type {
	if t == nil || t.Kind() != reflect.Slice {
		return nil
	}
	return t.Elem()
}

// keyPath returns the path of the last field on the line that has the name, or the
// name itself.
func (x *Index) keyPath(line int, name string) string {
	found := name
	for _, s := range x.byLine[line] {
		if s.keyLine == line && s.key == name {
			found = s.path
		}
	}
	return found
}

// valuePath returns the path of the first field whose value is on the line and has
// the tag, the Go type and the value of a message, which the library may have
// truncated with dots. Without such a field it returns the path of the line's first
// field.
func (x *Index) valuePath(line int, tag, shownValue, goType string) string {
	prefix := strings.TrimSuffix(shownValue, "...")
	for _, s := range x.byLine[line] {
		matches := s.tag == "!!"+tag && strings.HasPrefix(s.value, prefix) && strings.EqualFold(s.goType, goType)
		if s.valueLine == line && matches {
			return s.path
		}
	}
	return x.firstPath(line)
}

// firstPath returns the path of the first field whose key is on the line, or an
// empty text.
func (x *Index) firstPath(line int) string {
	for _, s := range x.byLine[line] {
		if s.keyLine == line {
			return s.path
		}
	}
	return ""
}
