package console

import (
	"reflect"
	"strings"

	"sassafrasreach/internal/core/document"
)

// listView is a list of the document, as shown on the page.
type listView struct {
	// Path is the path of the list in the document, Label its field name.
	Path, Label string
	// Faults are the faults of the list itself.
	Faults []string
	// Elements are the elements of the list.
	Elements []elementView
}

// elementView is an element of a list, as shown on the page.
type elementView struct {
	// Path is the path of the element in the document; Title identifies it among
	// the elements of its list.
	Path, Title string
	// Faults are the faults of the element itself.
	Faults []string
	// Bad is true when the element, or a field or list in it, has a fault.
	Bad bool
	// Fields are the fields of the element, Lists the lists in it.
	Fields []fieldView
	Lists  []listView
}

// fieldView is a field of an element, as shown on the page.
type fieldView struct {
	// Name is the name of the HTML input, Label the field's name in the document.
	Name, Label string
	// Value is the text of the field.
	Value string
	// Choices is the ID of the HTML datalist with the known values; empty for none.
	Choices string
	// Faults are the faults of the field.
	Faults []string
}

// choices maps a field, by list and field name, to the datalist that suggests its
// values.
var choices = map[string]string{
	"places.region":  "regions",
	"links.from":     "regions",
	"links.to":       "regions",
	"rules.from":     "ends",
	"rules.to":       "ends",
	"rules.service":  "services",
	"drains.place":   "places",
	"drains.service": "services",
	"shares.entry":   "entries",
}

// viewer builds the views of a draft's values and faults.
type viewer struct {
	values values
	faults map[string][]string
}

// newViewer returns a viewer that shows each fault at its path or, when the form
// doesn't show that path, at the nearest enclosing path that it shows.
func newViewer(v values, faults document.Faults) *viewer {
	w := &viewer{values: v, faults: make(map[string][]string)}
	for _, f := range faults {
		path := f.Path
		for path != "" && !w.shown(path) {
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
		message := f.Message
		if path == "" && f.Path != "" {
			message = f.String()
		}
		w.faults[path] = append(w.faults[path], message)
	}
	return w
}

// shown reports whether the page shows faults at the path.
func (w *viewer) shown(path string) bool {
	if _, ok := w.values[path]; ok {
		return true
	}
	_, list := newElements[path[strings.LastIndexByte(path, '.')+1:]]
	return list
}

// lists returns the views of the list fields of a struct type at a path.
func (w *viewer) lists(path string, t reflect.Type) []listView {
	var out []listView
	for f := range t.Fields() {
		if isStructs(f.Type) {
			out = append(out, w.list(join(path, fieldName(f)), fieldName(f), f.Type.Elem()))
		}
	}
	return out
}

func (w *viewer) list(path, label string, element reflect.Type) listView {
	out := listView{Path: path, Label: label, Faults: w.faults[path]}
	for i := range w.values.count(path) {
		out.Elements = append(out.Elements, w.element(index(path, i), label, element))
	}
	return out
}

func (w *viewer) element(path, list string, t reflect.Type) elementView {
	out := elementView{
		Path:   path,
		Title:  w.title(path),
		Faults: w.faults[path],
		Bad:    w.bad(path),
		Lists:  w.lists(path, t),
	}
	for f := range t.Fields() {
		if isStructs(f.Type) {
			continue
		}
		at := join(path, fieldName(f))
		out.Fields = append(out.Fields, fieldView{
			Name:    fieldPrefix + at,
			Label:   fieldName(f),
			Value:   w.values[at],
			Choices: choices[list+"."+fieldName(f)],
			Faults:  w.faults[at],
		})
	}
	return out
}

// title returns what identifies an element among its siblings.
func (w *viewer) title(path string) string {
	for _, names := range [][]string{{"name"}, {"entry"}, {"place", "service"}, {"from", "to"}} {
		var parts []string
		for _, name := range names {
			if text := w.values[path+"."+name]; text != "" {
				parts = append(parts, text)
			}
		}
		if len(parts) > 0 {
			return strings.Join(parts, " ")
		}
	}
	return "(new)"
}

func (w *viewer) bad(path string) bool {
	for at := range w.faults {
		if within(at, path) {
			return true
		}
	}
	return false
}
