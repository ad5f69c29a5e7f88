package operatorhttp_test

import (
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/go-chi/chi/v5"
	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/port/porttest"
)

// TestReferenceMatchesHandler fails when a route or a problem code is added,
// renamed or removed and the page operators-http.md isn't updated.
func TestReferenceMatchesHandler(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/reference/operators-http.md")
	is.NoErr(err)
	source, err := os.ReadFile("problem.go")
	is.NoErr(err)

	var routes []string
	err = chi.Walk(newHandler(&porttest.Store{}).(chi.Routes), func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if !strings.HasPrefix(route, "/console") {
			routes = append(routes, method+" "+route)
		}
		return nil
	})
	is.NoErr(err)
	slices.Sort(routes)
	is.Equal(sortedMatches(string(page), "(?m)^\\| `([A-Z]+ [^`]+)` \\|"), routes)
	codes := sortedMatches(string(source), `Code = "([a-z-]+)"`)
	is.True(slices.Contains(codes, string(operatorhttp.CodeConflict)))
	is.Equal(sortedMatches(string(page), "(?m)^\\| `([a-z-]+)` \\| [45]"), codes)
}

// sortedMatches returns the first group of each match of a pattern, sorted.
func sortedMatches(text, pattern string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return out
}
