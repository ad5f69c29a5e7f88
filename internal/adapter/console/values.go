package console

import (
	"fmt"
	"net/url"
	"reflect"
	"strconv"
	"strings"
	"time"

	"sassafrasreach/internal/core/document"
)

// values maps the path of a field in the document, such as services[1].slots, to
// its text in the form. A list has an element if the element's own path, such as
// services[1], is a key.
type values map[string]string

// present is the value at an element's own path.
const present = "1"

// valuesOf returns the values of a document.
func valuesOf(doc *document.Document) values {
	v := make(values)
	v.putStruct("", reflect.ValueOf(*doc))
	return v
}

func (v values) putStruct(path string, s reflect.Value) {
	for i := range s.NumField() {
		v.putField(join(path, fieldName(s.Type().Field(i))), s.Field(i))
	}
}

func (v values) putField(path string, f reflect.Value) {
	if isStructs(f.Type()) {
		for i := range f.Len() {
			v.putElement(path, i, f.Index(i))
		}
		return
	}
	switch value := f.Interface().(type) {
	case document.Duration:
		v[path] = value.Std().String()
	case []string:
		v[path] = strings.Join(value, " ")
	default:
		v[path] = fmt.Sprint(value)
	}
}

func (v values) putElement(list string, i int, element reflect.Value) {
	at := index(list, i)
	v[at] = present
	v.putStruct(at, element)
}

// document returns the document that the values describe, and a fault for each
// field whose text doesn't parse as the field's type; such a field stays zero.
func (v values) document() (*document.Document, document.Faults) {
	doc := &document.Document{}
	var faults document.Faults
	v.getStruct("", reflect.ValueOf(doc).Elem(), &faults)
	return doc, faults
}

func (v values) getStruct(path string, s reflect.Value, faults *document.Faults) {
	for i := range s.NumField() {
		v.getField(join(path, fieldName(s.Type().Field(i))), s.Field(i), faults)
	}
}

func (v values) getField(path string, f reflect.Value, faults *document.Faults) {
	if isStructs(f.Type()) {
		for i := range v.count(path) {
			element := reflect.New(f.Type().Elem()).Elem()
			v.getStruct(index(path, i), element, faults)
			f.Set(reflect.Append(f, element))
		}
		return
	}
	text := strings.TrimSpace(v[path])
	if message := setField(f, text); message != "" {
		*faults = append(*faults, document.Fault{Path: path, Message: message})
	}
}

// setField sets a field from its text. It returns a message when the text doesn't
// parse as the field's type, and an empty string otherwise.
func setField(f reflect.Value, text string) string {
	switch f.Interface().(type) {
	case document.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return fmt.Sprintf("must be a duration such as 800ms or 2s, not %q", text)
		}
		f.SetInt(int64(d))
	case []string:
		f.Set(reflect.ValueOf(strings.Fields(text)))
	case int, int64:
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Sprintf("must be a whole number, not %q", text)
		}
		f.SetInt(n)
	default:
		f.SetString(text)
	}
	return ""
}

// count returns the number of elements of a list.
func (v values) count(list string) int {
	n := 0
	for v[index(list, n)] != "" {
		n++
	}
	return n
}

// add appends an element with default values to a list. It does nothing for an
// unknown list.
func (v values) add(list string) {
	name := list[strings.LastIndexByte(list, '.')+1:]
	element, ok := newElements[name]
	if !ok {
		return
	}
	v.putElement(list, v.count(list), reflect.ValueOf(element))
}

// newElements holds a new element, with default values, for each list.
var newElements = map[string]any{
	"regions":   document.Region{ReservePercent: document.DefaultReservePercent},
	"places":    document.Place{},
	"entries":   document.Entry{},
	"links":     document.Link{FillPercent: document.DefaultFillPercent},
	"services":  document.NewService(),
	"rules":     document.Rule{Ramp: document.Duration(document.DefaultRamp)},
	"shares":    document.Share{},
	"drains":    document.Drain{},
	"operators": document.Operator{},
}

// remove deletes an element from its list and renumbers the later ones.
func (v values) remove(element string) {
	open := strings.LastIndexByte(element, '[')
	if open < 0 || v[element] == "" {
		return
	}
	list := element[:open]
	i, err := strconv.Atoi(strings.TrimSuffix(element[open+1:], "]"))
	if err != nil {
		return
	}
	v.deleteElement(element)
	for v[index(list, i+1)] != "" {
		v.renameElement(index(list, i+1), index(list, i))
		i++
	}
}

// deleteElement deletes an element and everything in it.
func (v values) deleteElement(element string) {
	for path := range v {
		if within(path, element) {
			delete(v, path)
		}
	}
}

// renameElement changes the path of an element and of everything in it.
func (v values) renameElement(from, to string) {
	moved := make(values)
	for path, text := range v {
		if within(path, from) {
			moved[to+strings.TrimPrefix(path, from)] = text
			delete(v, path)
		}
	}
	for path, text := range moved {
		v[path] = text
	}
}

// fieldPrefix starts the names of the form's inputs that belong to the document.
const fieldPrefix = "d."

// valuesFrom returns the document's fields in a submitted form.
func valuesFrom(form url.Values) values {
	v := make(values)
	for name, texts := range form {
		if path, ok := strings.CutPrefix(name, fieldPrefix); ok {
			v[path] = texts[0]
		}
	}
	return v
}

// within reports whether a path is that of the element or of something in it.
func within(path, element string) bool {
	return path == element || strings.HasPrefix(path, element+".")
}

func isStructs(t reflect.Type) bool {
	return t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct
}

func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
	return name
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func index(list string, i int) string { return list + "[" + strconv.Itoa(i) + "]" }
