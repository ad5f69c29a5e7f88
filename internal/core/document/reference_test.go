package document_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
)

// row is a row of the tables of the reference page.
type row struct{ path, kind, unit, def, bound string }

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| .+ \\|$")

// reference returns the rows of the page by their paths.
func reference(t *testing.T) map[string]row {
	t.Helper()
	page, err := os.ReadFile("../../../docs/reference/document.md")
	is.New(t).NoErr(err)
	rows := make(map[string]row)
	for _, m := range rowPattern.FindAllStringSubmatch(string(page), -1) {
		if _, twice := rows[m[1]]; twice {
			t.Errorf("%s has two rows", m[1])
		}
		rows[m[1]] = row{m[1], m[2], m[3], m[4], m[5]}
	}
	return rows
}

// kinds maps the types of fields to their names on the page.
var kinds = map[reflect.Type]string{
	reflect.TypeFor[string]():            "text",
	reflect.TypeFor[int]():               "number",
	reflect.TypeFor[int64]():             "number",
	reflect.TypeFor[[]string]():          "list of texts",
	reflect.TypeFor[document.Duration](): "duration",
}

// TestReferencePageMatchesTypes guards against a reference page that is out of
// date: every field must have one row with its type and the default that Parse
// sets, and every row must be of a field.
func TestReferencePageMatchesTypes(t *testing.T) {
	rows := reference(t)
	blank, err := document.Parse([]byte("regions: [{}]\nplaces: [{entries: [{}]}]\nlinks: [{}]\nservices: [{}]\nrules: [{shares: [{}]}]\ndrains: [{}]\noperators: [{}]\n"))
	is.New(t).NoErr(err)
	var walk func(path string, v reflect.Value)
	walk = func(path string, v reflect.Value) {
		if v.Kind() == reflect.Slice && v.Type().Elem().Kind() == reflect.Struct {
			walk(path+"[].", v.Index(0))
			return
		}
		if v.Kind() == reflect.Struct {
			for i := range v.NumField() {
				name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
				walk(path+name, v.Field(i))
			}
			return
		}
		r, ok := rows[path]
		if !ok {
			t.Errorf("%s has no row", path)
			return
		}
		delete(rows, path)
		if kinds[v.Type()] != r.kind {
			t.Errorf("%s is a %s, the page says %s", path, kinds[v.Type()], r.kind)
		}
		def, _, _ := strings.Cut(r.def, ":")
		if v.IsZero() != (def == "needed" || def == "empty") {
			t.Errorf("%s has the default %v, the page says %s", path, v, r.def)
		}
		if !v.IsZero() && strings.Trim(fmt.Sprint(duration(v)), "[]") != def {
			t.Errorf("%s has the default %v, the page says %s", path, duration(v), r.def)
		}
	}
	walk("", reflect.ValueOf(*blank))
	for path := range rows {
		t.Errorf("%s has a row but isn't a field", path)
	}
}

// duration returns a Duration as a time.Duration and any other value unchanged.
func duration(v reflect.Value) any {
	if d, ok := v.Interface().(document.Duration); ok {
		return d.Std()
	}
	return v.Interface()
}

var boundPattern = regexp.MustCompile(`^(\S+) to (\S+)$`)

// TestReferenceBounds guards against bounds on the page that differ from those of
// the validation: it validates both ends of each bound and the values just beyond.
func TestReferenceBounds(t *testing.T) {
	text := strings.Replace(read(t, "hanbit.yaml"), "operators:", "  - {name: shared, from: honam, to: yeongnam, requests_per_s: 1, shares: [{entry: dalseo-b-1, percent: 100}]}\noperators:", 1)
	tried := 0
	for path, r := range reference(t) {
		m := boundPattern.FindStringSubmatch(r.bound)
		if m == nil {
			continue
		}
		tried++
		low, high := number(t, m[1]), number(t, m[2])
		for value, bad := range map[int64]bool{low - 1: true, low: false, high: false, high + 1: true} {
			doc, err := document.Parse([]byte(text))
			is.New(t).NoErr(err)
			at := set(reflect.ValueOf(doc).Elem(), path, value)
			reported := false
			for _, f := range doc.Validate() {
				reported = reported || f.Path == at && strings.Contains(f.Message, "isn't between")
			}
			if reported != bad {
				t.Errorf("%s = %d: reported as a fault: %t, the page says %s", at, value, reported, r.bound)
			}
		}
	}
	is.New(t).Equal(tried, 14)
}

// number parses an end of a bound; a duration is in nanoseconds.
func number(t *testing.T, text string) int64 {
	if d, err := time.ParseDuration(text); err == nil {
		return int64(d)
	}
	var n int64
	_, err := fmt.Sscan(text, &n)
	is.New(t).NoErr(err)
	return n
}

// set sets the field of a path such as rules[].ramp in the last element of each
// list, and returns the path with indices.
func set(v reflect.Value, path string, value int64) string {
	at := ""
	for name := range strings.SplitSeq(path, ".") {
		list, isList := strings.CutSuffix(name, "[]")
		for i := range v.NumField() {
			tag, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
			if tag == list {
				v = v.Field(i)
				break
			}
		}
		if !isList {
			v.SetInt(value)
			return at + name
		}
		last := v.Len() - 1
		at += fmt.Sprintf("%s[%d].", list, last)
		v = v.Index(last)
	}
	return at
}
