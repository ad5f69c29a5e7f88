package strictyaml

import (
	"bytes"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Index knows the line of each field of a text.
type Index struct {
	spots []spot
	lines map[string]int
	last  int
}

// spot is one field or list element.
type spot struct {
	keyLine, valueLine int
	key, value, path   string
}

// NewIndex returns the index of a text. A text that isn't YAML has an empty one.
func NewIndex(text []byte) *Index {
	index := &Index{lines: make(map[string]int), last: 1}
	index.last += bytes.Count(bytes.TrimRight(text, "\n"), []byte("\n"))
	var root yaml.Node
	if yaml.Unmarshal(text, &root) != nil || len(root.Content) == 0 {
		return index
	}
	index.walk("", root.Content[0])
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

func (x *Index) walk(path string, n *yaml.Node) {
	switch n.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(n.Content); i += 2 {
			key := n.Content[i]
			child := key.Value
			if path != "" {
				child = path + "." + child
			}
			x.add(key, n.Content[i+1], child)
		}
	case yaml.SequenceNode:
		for i, element := range n.Content {
			x.add(element, element, path+"["+strconv.Itoa(i)+"]")
		}
	}
}

func (x *Index) add(key, value *yaml.Node, path string) {
	x.spots = append(x.spots, spot{keyLine: key.Line, valueLine: value.Line, key: key.Value, value: value.Value, path: path})
	if _, ok := x.lines[path]; !ok {
		x.lines[path] = key.Line
	}
	x.walk(path, value)
}

// key returns the path of the last field on the line that has the name.
func (x *Index) key(line int, name string) string {
	found := name
	for _, s := range x.spots {
		if s.keyLine == line && s.key == name {
			found = s.path
		}
	}
	return found
}

// value returns the path of the field on the line whose value is shown in a
// message, perhaps cut short with dots; without one, the line's first field.
func (x *Index) value(line int, shown string) string {
	prefix := strings.TrimSuffix(shown, "...")
	first := ""
	for _, s := range x.spots {
		if s.valueLine != line {
			continue
		}
		if first == "" {
			first = s.path
		}
		if shown != "" && strings.HasPrefix(s.value, prefix) {
			return s.path
		}
	}
	return first
}
