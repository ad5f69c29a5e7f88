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

// TestReferenceIsAlike compares the page with the handler's routes and with the
// codes of the package.
func TestReferenceIsAlike(t *testing.T) {
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
	is.Equal(listed(string(page), "(?m)^\\| `([A-Z]+ [^`]+)` \\|"), routes)
	codes := listed(string(source), `Code = "([a-z-]+)"`)
	is.True(slices.Contains(codes, string(operatorhttp.CodeConflict)))
	is.Equal(listed(string(page), "(?m)^\\| `([a-z-]+)` \\| [45]"), codes)
}

// listed returns the sorted first groups of a pattern's matches.
func listed(text, pattern string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return out
}
