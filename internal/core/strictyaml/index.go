package strictyaml

import (
	"bytes"
	"reflect"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Index knows the line of each field of a text.
type Index struct {
	// spots holds the fields that begin on a line or whose value does.
	spots map[int][]spot
	// lines holds the line of each path, last the number of lines.
	lines map[string]int
	last  int
}

// spot is one field or list element.
type spot struct {
	keyLine, valueLine int
	key, value, path   string
	tag, goType        string
}

// NewIndex returns the index of a text. A text that isn't YAML has an empty one.
func NewIndex(text []byte) *Index { return newIndex(text, nil) }

// newIndex also knows the Go type of each field when the text's is given.
func newIndex(text []byte, target reflect.Type) *Index {
	index := &Index{spots: make(map[int][]spot), lines: make(map[string]int), last: 1}
	index.last += bytes.Count(bytes.TrimRight(text, "\n"), []byte("\n"))
	var root yaml.Node
	if yaml.Unmarshal(text, &root) != nil || len(root.Content) == 0 {
		return index
	}
	index.walk("", root.Content[0], target)
	return index
}

// Line returns the line of a field such as services[1].slots, that of its
// nearest parent when the field itself isn't in the text, and 1 otherwise.
func (x *Index) Line(path string) int {
	for path != "" {
		if line, ok := x.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}

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

func (x *Index) add(key, value *yaml.Node, path string, t reflect.Type) {
	s := spot{keyLine: key.Line, valueLine: value.Line, key: key.Value, value: value.Value, path: path, tag: value.ShortTag()}
	if t != nil {
		s.goType = t.String()
	}
	x.spots[s.keyLine] = append(x.spots[s.keyLine], s)
	if s.valueLine != s.keyLine {
		x.spots[s.valueLine] = append(x.spots[s.valueLine], s)
	}
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = key.Line
	}
	x.walk(path, value, t)
}

// fieldType returns the type of a struct's field by its name in YAML, or nil.
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

// elementType returns the type of a slice's elements, or nil.
func elementType(t reflect.Type) reflect.Type {
	if t == nil || t.Kind() != reflect.Slice {
		return nil
	}
	return t.Elem()
}

// key returns the path of the last field on the line that has the name.
func (x *Index) key(line int, name string) string {
	found := name
	for _, s := range x.spots[line] {
		if s.keyLine == line && s.key == name {
			found = s.path
		}
	}
	return found
}

// value returns the path of the field on the line that has the tag, the value
// as a message shows it, perhaps cut short with dots, and the Go type; without
// one, the line's first field.
func (x *Index) value(line int, tag, shown, goType string) string {
	prefix := strings.TrimSuffix(shown, "...")
	for _, s := range x.spots[line] {
		alike := s.tag == "!!"+tag && strings.HasPrefix(s.value, prefix) && strings.EqualFold(s.goType, goType)
		if s.valueLine == line && alike {
			return s.path
		}
	}
	return x.first(line)
}

// first returns the path of the first field that begins on the line.
func (x *Index) first(line int) string {
	for _, s := range x.spots[line] {
		if s.keyLine == line {
			return s.path
		}
	}
	return ""
}
