package document_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/core/document"
)

// examples is the folder of the example documents.
const examples = "../../../examples"

// TestExamplesAreValid guards against examples that this version rejects, and
// against Marshal losing a field of them.
func TestExamplesAreValid(t *testing.T) {
	cases := []struct {
		file                     string
		regions, places, entries int
	}{
		{"demo.yaml", 1, 2, 4},
		{"hanbit.yaml", 3, 6, 16},
		{"calibra.yaml", 3, 6, 16},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			is := is.New(t)
			text, err := os.ReadFile(filepath.Join(examples, c.file))
			is.NoErr(err)
			doc, err := document.ParseValid(text)
			is.NoErr(err)
			entries := 0
			for _, p := range doc.Places {
				entries += len(p.Entries)
			}
			is.Equal([]int{len(doc.Regions), len(doc.Places), entries}, []int{c.regions, c.places, c.entries})
			is.True(doc.OperatorByToken(document.Digest([]byte("demo-token"))) != nil)

			again, err := document.Marshal(doc)
			is.NoErr(err)
			same, err := document.ParseValid(again)
			is.NoErr(err)
			is.Equal(document.Diff(doc, same), nil)
		})
	}
}
