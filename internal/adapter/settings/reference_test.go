package settings_test

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/settings"
)

var rowPattern = regexp.MustCompile("(?m)^\\| `([^`]+)` \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| ([^|]*) \\| .+ \\|$")

// TestReferenceMatchesTypes guards against a reference page of the settings that
// differs from the code: each field must have one row, in the order of the Go type,
// with its type and default.
func TestReferenceMatchesTypes(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/reference/settings.md")
	is.NoErr(err)
	c, err := settings.LoadControl(write(t, control))
	is.NoErr(err)
	e, err := settings.LoadEntry(write(t, entry))
	is.NoErr(err)
	_, rest, _ := strings.Cut(string(page), "## Control VM")
	controlRows, entryRows, _ := strings.Cut(rest, "## Entry VM")
	compare(t, controlRows, fields("", reflect.ValueOf(c)))
	compare(t, entryRows, fields("", reflect.ValueOf(e)))
	for _, want := range []string{fmt.Sprintf("| `drain_limit` | duration | time | %v | %v to %v |",
		settings.DefaultDrainLimit, settings.MinDrainLimit, settings.MaxDrainLimit), strings.Join(settings.LogLevels(), ", ")} {
		is.True(strings.Contains(entryRows, want)) // want
	}
	for _, rows := range []string{controlRows, entryRows} {
		for name, bounds := range map[string][3]int64{
			"memory_bytes":    {settings.DefaultMemoryBytes, settings.MinMemoryBytes, settings.MaxMemoryBytes},
			"max_descriptors": {settings.DefaultMaxDescriptors, settings.MinMaxDescriptors, settings.MaxMaxDescriptors},
		} {
			row := fmt.Sprintf("| `%s` | integer | ", name)
			is.True(strings.Contains(rows, row))                                                               // name
			is.True(strings.Contains(rows, fmt.Sprintf("| %d | %d to %d |", bounds[0], bounds[1], bounds[2]))) // bounds
		}
	}
}

// field is a settings field as the reference page must show it.
type field struct{ path, kind, value string }

// fields lists the fields of a struct. The fields of a list of members are taken
// from its first element.
func fields(path string, v reflect.Value) []field {
	var out []field
	for i := range v.NumField() {
		at := path + v.Type().Field(i).Tag.Get("yaml")
		f := v.Field(i)
		switch value := f.Interface().(type) {
		case []settings.Member:
			out = append(out, fields(at+"[].", f.Index(0))...)
		case []string:
			out = append(out, field{at, "list of texts", ""})
		case settings.Duration:
			out = append(out, field{at, "duration", value.Std().String()})
		case int64:
			out = append(out, field{at, "integer", strconv.FormatInt(value, 10)})
		case string:
			out = append(out, field{at, "text", value})
		default:
			out = append(out, field{at, "unknown to this test", ""})
		}
	}
	return out
}

// compare checks the rows of one table of the page against the fields. It doesn't
// compare the default where the page says that the field is needed or empty.
func compare(t *testing.T, rows string, want []field) {
	t.Helper()
	is := is.New(t)
	got := rowPattern.FindAllStringSubmatch(rows, -1)
	is.Equal(len(got), len(want))
	for i, m := range got {
		is.Equal(m[1], want[i].path)
		is.Equal(m[2], want[i].kind)
		def, _, _ := strings.Cut(m[4], ":")
		if def != "needed" && def != "empty" {
			is.Equal(def, want[i].value)
		}
	}
}
