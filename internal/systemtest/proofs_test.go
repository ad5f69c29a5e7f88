package systemtest

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// testName matches a test name in docs/PROOFS.md: its package, its function and,
// for rows of the matrix, the row and the flow.
var testName = regexp.MustCompile("`([a-z/]+)\\.(Test[A-Za-z0-9]+)((?:/[A-Za-z]+)*)`")

// TestProofsNameTests guards against references in docs/PROOFS.md to tests that
// were renamed or removed.
func TestProofsNameTests(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/PROOFS.md")
	is.NoErr(err)
	named := testName.FindAllStringSubmatch(string(page), -1)
	is.True(len(named) > 50)
	rows := make(map[string]bool)
	for _, r := range matrixRows() {
		rows[r.name] = true
	}
	for _, m := range named {
		if !hasTest(t, m[1], m[2]) {
			t.Errorf("docs/PROOFS.md names %s.%s, which doesn't exist", m[1], m[2])
		}
		parts := strings.Split(m[3], "/")
		if m[2] == "TestMatrix" && len(parts) > 1 && !rows[parts[1]] {
			t.Errorf("docs/PROOFS.md names the row %s, which doesn't exist", parts[1])
		}
	}
}

// hasTest reports whether a package under internal, or package platform, has a
// test function of the given name.
func hasTest(t *testing.T, pkg, name string) bool {
	t.Helper()
	folder := filepath.Join("..", pkg)
	if pkg == "platform" {
		folder = filepath.Join("..", "..", pkg)
	}
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "func "+name+"(") {
			return true
		}
	}
	return false
}
