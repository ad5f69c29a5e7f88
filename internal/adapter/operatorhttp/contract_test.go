package operatorhttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/port/porttest"
)

const token = "demo-token"

// crashFingerprint is the fingerprint that the tests lift from quarantine.
var crashFingerprint = document.Digest([]byte("crashing request"))

// demoText returns the text of the demo document.
func demoText(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/demo.yaml")
	is.New(t).NoErr(err)
	return string(text)
}

func newHandler(store port.ConfigStore) http.Handler {
	return operatorhttp.New(operatorhttp.Options{
		Store:                store,
		BootstrapTokenSHA256: document.Digest([]byte("first")),
		Logger:               slog.New(slog.DiscardHandler),
	})
}

// call sends one request and returns the recorded response.
func call(h http.Handler, method, target, token, id, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, target, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	if id != "" {
		r.Header.Set(operatorhttp.HeaderChangeID, id)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// startWithDemo returns a store with the demo document as version 1, and a
// handler that serves it.
func startWithDemo(t *testing.T) (*porttest.Store, http.Handler) {
	t.Helper()
	store := &porttest.Store{}
	h := newHandler(store)
	w := call(h, "PUT", "/v1/document?base=0", "first", "start", demoText(t))
	is.New(t).Equal(w.Code, http.StatusOK)
	return store, h
}

func code(t *testing.T, w *httptest.ResponseRecorder) operatorhttp.Code {
	t.Helper()
	is := is.New(t)
	is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
	var p operatorhttp.Problem
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
	is.Equal(p.Status, w.Code)
	is.True(strings.HasSuffix(p.Type, string(p.Code)))
	return p.Code
}

// TestContractAccepted checks the status and body of each route when it succeeds.
func TestContractAccepted(t *testing.T) {
	drain := `{"place":"norte-a","reason":"repair"}`
	cases := []struct {
		name, method, target, id, body string
		status                         int
		contains                       string
	}{
		{"health", "GET", "/healthz", "", "", 200, "true"},
		{"readiness", "GET", "/readyz", "", "", 200, "true"},
		{"status", "GET", "/v1/status", "", "", 200, `"version":1`},
		{"document", "GET", "/v1/document", "", "", 200, "belt-control"},
		{"replace", "PUT", "/v1/document?base=1", "x", "DEMO", 200, `"state":"accepted","version":2`},
		{"resend", "PUT", "/v1/document?base=0", "start", "DEMO", 200, `"state":"accepted","version":1`},
		{"validate", "POST", "/v1/validate", "", "DEMO", 200, `"entries":4`},
		{"diff", "POST", "/v1/diff", "", "DEMO", 200, `"differences":[]`},
		{"audit", "GET", "/v1/audit", "", "", 200, `"operator":"bootstrap"`},
		{"drain", "POST", "/v1/drains", "x", drain, 200, `"version":2`},
		{"lift", "DELETE", "/v1/quarantine/" + crashFingerprint, "", "", 204, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, h := startWithDemo(t)
			w := call(h, c.method, c.target, token, c.id, strings.Replace(c.body, "DEMO", demoText(t), 1))
			is.Equal(w.Code, c.status)
			is.True(strings.Contains(w.Body.String(), c.contains)) // w.Body
		})
	}
}

// TestContractRefused checks the status and code of each kind of failure: operators'
// tools rely on both.
func TestContractRefused(t *testing.T) {
	drain := `{"place":"norte-a","reason":"repair"}`
	noQuorum := func(s *porttest.Store) { s.NoQuorum = true }
	lost := func(s *porttest.Store) { s.LoseResponses = 1 }
	fails := func(err error) func(*porttest.Store) {
		return func(s *porttest.Store) { s.SubmitErr = err }
	}
	cases := []struct {
		name, method, target, id, body string
		fault                          func(*porttest.Store)
		status                         int
		code                           operatorhttp.Code
	}{
		{"no such path", "GET", "/v2/document", "", "", nil, 404, operatorhttp.CodeNotFound},
		{"no such method", "PATCH", "/v1/document", "", "", nil, 405, operatorhttp.CodeMethod},
		{"no base", "PUT", "/v1/document", "x", "DEMO", nil, 400, operatorhttp.CodeBadRequest},
		{"no change ID", "PUT", "/v1/document?base=1", "", "DEMO", nil, 400, operatorhttp.CodeBadRequest},
		{"bad change ID", "PUT", "/v1/document?base=1", "a b", "DEMO", nil, 400, operatorhttp.CodeBadRequest},
		{"older base", "PUT", "/v1/document?base=0", "x", "DEMO", nil, 409, operatorhttp.CodeConflict},
		{"base newer than the register", "PUT", "/v1/document?base=2", "x", "DEMO", nil, 409, operatorhttp.CodeConflict},
		{"faults", "PUT", "/v1/document?base=1", "x", "regions: []\n", nil, 422, operatorhttp.CodeInvalid},
		{"not YAML", "PUT", "/v1/document?base=1", "x", "{", nil, 422, operatorhttp.CodeInvalid},
		{"too large", "PUT", "/v1/document?base=1", "x", strings.Repeat("#", document.MaxTextBytes+1), nil, 413, operatorhttp.CodeTooLarge},
		{"no quorum", "PUT", "/v1/document?base=1", "x", "DEMO", noQuorum, 503, operatorhttp.CodeNoQuorum},
		{"response lost", "PUT", "/v1/document?base=1", "x", "DEMO", lost, 504, operatorhttp.CodeUnknown},
		{"quorum lost at the decision", "PUT", "/v1/document?base=1", "x", "DEMO", fails(port.ErrNoQuorum), 503, operatorhttp.CodeNoQuorum},
		{"ID of another change", "PUT", "/v1/document?base=1", "x", "DEMO", fails(register.ErrChangeIDReused), 409, operatorhttp.CodeIDReused},
		{"decision fails", "PUT", "/v1/document?base=1", "x", "DEMO", fails(errors.New("torn")), 504, operatorhttp.CodeUnknown},
		{"decision times out", "PUT", "/v1/document?base=1", "x", "DEMO", fails(context.DeadlineExceeded), 504, operatorhttp.CodeUnknown},
		{"not ready", "GET", "/readyz", "", "", noQuorum, 503, operatorhttp.CodeNoQuorum},
		{"read without quorum", "GET", "/v1/document", "", "", noQuorum, 503, operatorhttp.CodeNoQuorum},
		{"validate faults", "POST", "/v1/validate", "", "regions: []\n", nil, 422, operatorhttp.CodeInvalid},
		{"diff of no YAML", "POST", "/v1/diff", "", "{", nil, 422, operatorhttp.CodeInvalid},
		{"drain of no place", "POST", "/v1/drains", "x", `{"place":"norte-z","reason":"r"}`, nil, 422, operatorhttp.CodeInvalid},
		{"drain without reason", "POST", "/v1/drains", "x", `{"place":"norte-a"}`, nil, 422, operatorhttp.CodeInvalid},
		{"drain with more", "POST", "/v1/drains", "x", `{"place":"norte-a","until":"8"}`, nil, 400, operatorhttp.CodeBadRequest},
		{"drain with a byte that isn't UTF-8", "POST", "/v1/drains", "x", "{\"place\":\"norte-a\",\"reason\":\"b\xfcro\"}", nil, 400, operatorhttp.CodeBadRequest},
		{"drain with a key in another case", "POST", "/v1/drains", "x", `{"Place":"norte-a","reason":"r"}`, nil, 400, operatorhttp.CodeBadRequest},
		{"drain with a key twice", "POST", "/v1/drains", "x", `{"place":"norte-z","place":"norte-a","reason":"r"}`, nil, 400, operatorhttp.CodeBadRequest},
		{"two drains", "POST", "/v1/drains", "x", drain + drain, nil, 400, operatorhttp.CodeBadRequest},
		{"no drain", "DELETE", "/v1/drains?place=norte-a", "x", "", nil, 404, operatorhttp.CodeNotFound},
		{"lift without quorum", "DELETE", "/v1/quarantine/" + crashFingerprint, "", "", noQuorum, 503, operatorhttp.CodeNoQuorum},
		{"lift of no fingerprint", "DELETE", "/v1/quarantine/abc", "", "", nil, 400, operatorhttp.CodeBadRequest},
		{"lift whose response is lost", "DELETE", "/v1/quarantine/" + crashFingerprint, "x", "", lost, 504, operatorhttp.CodeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			store, h := startWithDemo(t)
			if c.fault != nil {
				c.fault(store)
			}
			w := call(h, c.method, c.target, token, c.id, strings.Replace(c.body, "DEMO", demoText(t), 1))
			is.Equal(w.Code, c.status)
			is.Equal(code(t, w), c.code)
		})
	}
}

// TestNothingWithoutToken guards against a protected route that
// accepts a request without a token, with a wrong token, with a token's hash, or
// with the bootstrap token after the first document was applied.
func TestNothingWithoutToken(t *testing.T) {
	requests := []struct{ method, target string }{
		{"GET", "/v1/document"}, {"PUT", "/v1/document?base=1"}, {"POST", "/v1/validate"},
		{"POST", "/v1/diff"}, {"GET", "/v1/audit"}, {"POST", "/v1/drains"},
		{"DELETE", "/v1/drains?place=norte-a"}, {"DELETE", "/v1/quarantine/" + crashFingerprint},
	}
	for _, r := range requests {
		for _, wrong := range []string{"", "other", "first", document.Digest([]byte(token))} {
			t.Run(r.method+r.target+wrong, func(t *testing.T) {
				is := is.New(t)
				store, h := startWithDemo(t)
				w := call(h, r.method, r.target, wrong, "x", demoText(t))
				is.Equal(w.Code, http.StatusUnauthorized)
				is.Equal(code(t, w), operatorhttp.CodeUnauthorized)
				config, err := store.Current(t.Context())
				is.NoErr(err)
				is.Equal(config.Version, uint64(1))
				is.Equal(len(store.Lifted), 0)
			})
		}
	}
}

// TestFirstDocumentNeedsBootstrapToken guards against a first document that is
// applied with another token, or when no bootstrap token is set.
func TestFirstDocumentNeedsBootstrapToken(t *testing.T) {
	is := is.New(t)
	store := &porttest.Store{}
	w := call(newHandler(store), "PUT", "/v1/document?base=0", token, "x", demoText(t))
	is.Equal(w.Code, http.StatusUnauthorized)
	without := operatorhttp.New(operatorhttp.Options{Store: store, Logger: slog.New(slog.DiscardHandler)})
	w = call(without, "PUT", "/v1/document?base=0", "first", "x", demoText(t))
	is.Equal(w.Code, http.StatusUnauthorized)
	_, err := io.Copy(io.Discard, w.Body)
	is.NoErr(err)
}

// TestResendAfterLostResponse guards against a drain that is made twice: its
// response is lost, and it is resent with the same change ID, also after a later
// change has removed the drain.
func TestResendAfterLostResponse(t *testing.T) {
	is := is.New(t)
	store, h := startWithDemo(t)
	store.LoseResponses = 1
	drain := `{"place":"norte-a","reason":"repair"}`
	is.Equal(call(h, "POST", "/v1/drains", token, "d1", drain).Code, http.StatusGatewayTimeout)
	is.Equal(call(h, "POST", "/v1/drains", token, "d1", drain).Code, http.StatusOK)
	is.Equal(call(h, "DELETE", "/v1/drains?place=norte-a", token, "d2", "").Code, http.StatusOK)
	w := call(h, "POST", "/v1/drains", token, "d1", drain)
	is.Equal(w.Code, http.StatusOK)
	var outcome port.Outcome
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &outcome))
	is.Equal(outcome.Version, uint64(2))
	config, err := store.Current(t.Context())
	is.NoErr(err)
	is.Equal(config.Version, uint64(3))
}

// TestRemovedOperatorCantRace guards against a change by an operator
// whose token is replaced after it was checked and before the change is decided. A
// change based on a version that is still to come must be refused as well.
func TestRemovedOperatorCantRace(t *testing.T) {
	is := is.New(t)
	store, h := startWithDemo(t)
	store.BeforeSubmit = func() { t.Error("the change was submitted") }
	w := call(h, "PUT", "/v1/document?base=2", token, "x", demoText(t))
	is.Equal(w.Code, http.StatusConflict)

	removed := strings.Replace(demoText(t), document.Digest([]byte(token)), document.Digest([]byte("new")), 1)
	store.BeforeSubmit = func() {
		_, err := store.Submit(t.Context(), port.Change{ID: "remove", BaseVersion: 1, Document: []byte(removed)})
		is.NoErr(err)
	}
	w = call(h, "PUT", "/v1/document?base=1", token, "y", demoText(t))
	is.Equal(w.Code, http.StatusConflict)
	is.Equal(call(h, "GET", "/v1/document", token, "", "").Code, http.StatusUnauthorized)
}

// TestRefusedChangeIsRecorded guards against a change with faults that is missing
// from the audit trail. It stays refused when recording it fails.
func TestRefusedChangeIsRecorded(t *testing.T) {
	is := is.New(t)
	var refused []port.Change
	h := operatorhttp.New(operatorhttp.Options{
		Store:                &porttest.Store{},
		BootstrapTokenSHA256: document.Digest([]byte("first")),
		Logger:               slog.New(slog.DiscardHandler),
		RecordRefused: func(_ context.Context, change port.Change) error {
			refused = append(refused, change)
			return errors.New("no quorum")
		},
	})
	is.Equal(call(h, "PUT", "/v1/document?base=0", "first", "x", "regions: []\n").Code, http.StatusUnprocessableEntity)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].ID+refused[0].Operator, "xbootstrap")
}
