package document_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"sassafrasreach/internal/core/document"
)

// TestParseBytes guards against texts of many small nodes that are taken for cheap ones, and
// against a document of the design size that is taken for one that no control VM can read.
func TestParseBytes(t *testing.T) {
	const nodeBytes = 480 // at least
	for name, text := range map[string]string{
		"sequence":       strings.Repeat("- a\n", 1000),
		"flow":           "[" + strings.Repeat("a,", 1000) + "]",
		"flow of maps":   "[" + strings.Repeat("{a: b},", 1000) + "]",
		"empty maps":     "[" + strings.Repeat("{},", 1000) + "]",
		"maps":           strings.Repeat("- {a: b, c: [d]}\n", 1000),
		"nested":         strings.Repeat("[", 1000) + strings.Repeat("]", 1000),
		"keys":           strings.Repeat("- a:\n    b: c\n", 1000),
		"comments":       strings.Repeat("# a, b: c\n- a # {\n", 1000),
		"quoted keys":    "[" + strings.Repeat(`{"a":b},`, 1000) + "]",
		"complex keys":   strings.Repeat("- ? a\n  : b\n", 1000),
		"tabs":           strings.Repeat("- a:\tb\n", 1000),
		"line ends":      strings.Repeat("- a: b\r\n", 1000),
		"implicit nulls": strings.Repeat("- a:\r\n", 1000),
		"bare pairs":     "[" + strings.Repeat("a: b,", 1000) + "]",
		"old line ends":  strings.Repeat("- a:\r", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var root yaml.Node
			is.NoErr(yaml.Unmarshal([]byte(text), &root))
			is.True(document.ParseBytes([]byte(text)) >= nodeBytes*int64(nodes(&root)))
		})
	}
	is := is.New(t)
	text, err := document.Marshal(fullSize())
	is.NoErr(err)
	is.True(document.ParseBytes(text) < 128<<20)
}

func nodes(n *yaml.Node) int {
	total := 1
	for _, child := range n.Content {
		total += nodes(child)
	}
	return total
}
