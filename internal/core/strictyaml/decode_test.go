package strictyaml_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/strictyaml"
)

type item struct {
	Name  string   `yaml:"name"`
	Count int      `yaml:"count"`
	Tags  []string `yaml:"tags"`
}

type sample struct {
	Items []item `yaml:"items"`
	On    bool   `yaml:"on"`
}

// TestDecodeRefuses guards against texts that are accepted although the types don't
// define them, and against problems without their line and path.
func TestDecodeRefuses(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "line 1: the text is empty; one YAML document is needed"},
		{"unknown field", "items:\n- name: a\n  colour: red\n", "line 3: items[0].colour: unknown field"},
		{"unknown field at the top", "extra: 1\n", "line 1: extra: unknown field"},
		{"number", "items:\n- name: a\n- {name: b, count: many}\n", `line 3: items[1].count: a whole number is wanted, got text "many"`},
		{"long value", "items:\n- count: a long text here\n", `line 2: items[0].count: a whole number is wanted, got text "a long ..."`},
		{"list", "items:\n- tags: x\n", `line 2: items[0].tags: a list is wanted, got text "x"`},
		{"mapping", "items:\n- 7\n", `line 2: items[0]: a mapping is wanted, got the number "7"`},
		{"list for a number", "items:\n- {tags: [x], count: [1], name: b}\n", "line 2: items[0].count: a whole number is wanted, got a list"},
		{"same value twice", "items:\n- {name: x, count: x}\n", `line 2: items[0].count: a whole number is wanted, got text "x"`},
		{"flag", "on: 3\n", `line 1: on: true or false is wanted, got the number "3"`},
		{"twice", "on: true\non: false\n", `line 2: on: mapping key "on" already defined at line 1`},
		{"second document", "on: true\n---\non: false\n", "line 2: a second document begins here; only one is allowed"},
		{"open list", "on: true\nitems: [\non: false\n", "line 2: did not find expected ',' or ']'"},
		{"open list on the first line", "items: [", "line 1: did not find expected node content"},
		{"bad character", "on: true\nitems: @\n", "line 2: found character that cannot start any token"},
		{"byte that isn't UTF-8", "items:\n- name: b\xfcro\n", "invalid leading UTF-8 octet"},
		{"half of a surrogate pair", "items:\n- name: \"\\ud800\"\n", "line 2: found invalid Unicode character escape code"},
		{"key in another case", "Items: []\n", "line 1: Items: unknown field"},
		{"two problems", "on: 3\nx: 1\n", `line 1: on: true or false is wanted, got the number "3"; line 2: x: unknown field`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := strictyaml.Decode([]byte(c.text), &sample{})
			var e *strictyaml.Error
			is.True(errors.As(err, &e))
			is.Equal(err.Error(), c.want)
		})
	}
}

// TestIndexLine checks the line of a field, and that of the nearest parent for a
// field that isn't in the text.
func TestIndexLine(t *testing.T) {
	is := is.New(t)
	index := strictyaml.NewIndex([]byte("on: true\nitems:\n- name: a\n- name: b\n"))
	is.Equal(index.Line("items[1].name"), 4)
	is.Equal(index.Line("items[1].count"), 4)
	is.Equal(index.Line("missing"), 1)
}

// TestManyProblems guards against an error that grows with the text: it decodes
// 5,000 lines with a problem each and expects the first MaxProblems.
func TestManyProblems(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	for i := range 5_000 {
		fmt.Fprintf(&text, "unknown%d: 1\n", i)
	}
	var e *strictyaml.Error
	is.True(errors.As(strictyaml.Decode([]byte(text.String()), &sample{}), &e))
	is.Equal(len(e.Problems), strictyaml.MaxProblems)
	is.Equal(e.Problems[999].String(), "line 1000: unknown999: unknown field")
}
