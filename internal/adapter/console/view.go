package console

import (
	"reflect"
	"strings"

	"sassafrasreach/internal/core/document"
)

// listView is a list of the document on the page.
type listView struct {
	// Path and Label name the list.
	Path, Label string
	// Faults are those of the list itself.
	Faults []string
	// Elements are what it holds.
	Elements []elementView
}

// elementView is an element of a list on the page.
type elementView struct {
	// Path names the element, Title shows what identifies it.
	Path, Title string
	// Faults are those of the element itself.
	Faults []string
	// Bad says that there is a fault in the element or below it.
	Bad bool
	// Fields are its fields, Lists the lists below it.
	Fields []fieldView
	Lists  []listView
}

// fieldView is a field on the page.
type fieldView struct {
	// Name is the name of the input, Label the field's name in the document.
	Name, Label string
	// Value is the text.
	Value string
	// Choices is the ID of the list of known values; empty for none.
	Choices string
	// Faults are those of the field.
	Faults []string
}

// choices maps fields to the list of names that they choose from.
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

// viewer makes the views of a form's values.
type viewer struct {
	values values
	faults map[string][]string
}

// newViewer puts each fault at the nearest path that the form has.
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

// shown says whether the page has a spot for the path's faults.
func (w *viewer) shown(path string) bool {
	if _, ok := w.values[path]; ok {
		return true
	}
	_, list := blank[path[strings.LastIndexByte(path, '.')+1:]]
	return list
}

// lists returns the lists of a struct's type at a path.
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
