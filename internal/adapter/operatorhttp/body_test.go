package operatorhttp_test

import (
	"log/slog"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/memory"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/port/porttest"
)

// TestDocumentsBeyondMemory guards against a control VM that reads documents beyond its
// memory, and against one that refuses the demo document. Nothing is changed by a refusal.
func TestDocumentsBeyondMemory(t *testing.T) {
	many := "regions: [" + strings.Repeat("a,", 100_000) + "]"
	for _, c := range []struct {
		name, method, target, body string
		// others is what is held already of a budget of 16 MiB.
		others int64
		status int
		code   operatorhttp.Code
	}{
		{"many nodes", "PUT", "/v1/document?base=0", many, 0, http.StatusRequestEntityTooLarge, operatorhttp.CodeTooLarge},
		{"many nodes, validated", "POST", "/v1/validate", many, 0, http.StatusRequestEntityTooLarge, operatorhttp.CodeTooLarge},
		{"many nodes, compared", "POST", "/v1/diff", many, 0, http.StatusRequestEntityTooLarge, operatorhttp.CodeTooLarge},
		{"beside others", "PUT", "/v1/document?base=0", demoText(t), 16<<20 - 10_000, http.StatusServiceUnavailable, operatorhttp.CodeMemory},
		{"too long", "PUT", "/v1/document?base=0", strings.Repeat(" ", document.MaxTextBytes+1), 0, http.StatusRequestEntityTooLarge, operatorhttp.CodeTooLarge},
		{"drain too long", "POST", "/v1/drains", strings.Repeat(" ", 5000), 0, http.StatusRequestEntityTooLarge, operatorhttp.CodeTooLarge},
		{"demo", "PUT", "/v1/document?base=0", demoText(t), 0, http.StatusOK, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			budget, store := memory.NewBudget(16<<20), &porttest.Store{}
			h := operatorhttp.New(operatorhttp.Options{
				Store: store, BootstrapTokenSHA256: document.Digest([]byte("first")), Logger: slog.New(slog.DiscardHandler),
				Bodies: intake.New(budget, memory.Orders, port.ClockFunc(time.Now)),
			})
			is.True(budget.Open().Take(c.others))
			w := call(h, c.method, c.target, "first", "x", c.body)
			is.Equal(w.Code, c.status)
			if c.code != "" {
				is.Equal(code(t, w), c.code)
				is.Equal(w.Header().Get("Connection"), "close")
				is.Equal(w.Header().Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
				config, err := store.Current(t.Context())
				is.NoErr(err)
				is.Equal(config.Version, uint64(0))
			}
			is.Equal(budget.Held(), c.others)
		})
	}
}
