package document

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Difference is one field whose value differs between two documents.
type Difference struct {
	// Path names the field by its YAML names. Elements of lists are named by
	// their identity instead of their index, as in services[belt-control].slots.
	Path string `json:"path"`
	// Before and After are the values. An element that was added or removed is
	// shown as JSON in one of them, and the other is empty.
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the differences between two documents, field by field. Within a
// list, changed and added elements come first, in the order of the new document,
// and removed ones after them. A nil document counts as an empty one.
func Diff(old, new *Document) []Difference {
	if old == nil {
		old = &Document{}
	}
	if new == nil {
		new = &Document{}
	}
	var out []Difference
	diffStruct(&out, "", reflect.ValueOf(*old), reflect.ValueOf(*new))
	return out
}

// diffStruct compares two structs field by field. Paths use the yaml tags.
func diffStruct(out *[]Difference, path string, old, new reflect.Value) {
	for i := range old.NumField() {
		name, _, _ := strings.Cut(old.Type().Field(i).Tag.Get("yaml"), ",")
		if path != "" {
			name = path + "." + name
		}
		diffValue(out, name, old.Field(i), new.Field(i))
	}
}

// diffValue compares two values of a field. Lists other than of structs are
// compared as a whole.
func diffValue(out *[]Difference, path string, old, new reflect.Value) {
	if old.Kind() == reflect.Slice && old.Type().Elem().Kind() == reflect.Struct {
		diffList(out, path, old, new)
		return
	}
	before, after := show(old), show(new)
	if before != after {
		*out = append(*out, Difference{Path: path, Before: before, After: after})
	}
}

// diffList compares two lists, whose elements it matches by their identity.
func diffList(out *[]Difference, path string, old, new reflect.Value) {
	before := make(map[string]int, old.Len())
	for i := range old.Len() {
		before[identity(old.Index(i))] = i
	}
	for i := range new.Len() {
		id := identity(new.Index(i))
		at := fmt.Sprintf("%s[%s]", path, id)
		j, ok := before[id]
		if !ok {
			*out = append(*out, Difference{Path: at, After: show(new.Index(i))})
			continue
		}
		delete(before, id)
		diffStruct(out, at, old.Index(j), new.Index(i))
	}
	for i := range old.Len() {
		id := identity(old.Index(i))
		if j, ok := before[id]; ok && j == i {
			*out = append(*out, Difference{Path: fmt.Sprintf("%s[%s]", path, id), Before: show(old.Index(i))})
		}
	}
}

// identity returns the text that identifies an element within its list. It is the
// field Name for types that have one.
func identity(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Link:
		return e.From + " to " + e.To
	case Drain:
		return strings.TrimSpace(e.Place + " " + e.Service)
	case Share:
		return e.Entry
	default:
		return v.FieldByName("Name").String()
	}
}

// show returns a value as an operator reads it.
func show(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case string:
		return e
	case Duration:
		return e.Std().String()
	case []string:
		return strings.Join(e, " ")
	}
	text, err := json.Marshal(v.Interface())
	if err != nil {
		return err.Error()
	}
	return string(text)
}
