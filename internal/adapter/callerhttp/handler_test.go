package callerhttp_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/callerhttp"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const validKey = "north-a-1.1f.693158f0.filing-7"

// fakeEntry is a port.Entry with fixed results that records the requests it serves.
type fakeEntry struct {
	served   *port.Request
	left     time.Duration
	response *port.Response
	err      error
	stopping bool
	// retain means that Serve retains the body until release is called.
	retain  bool
	release func()
}

func (f *fakeEntry) Lookup(q port.LookupQuery) (port.LookupAnswer, error) {
	if q.Service != "desk" {
		return port.LookupAnswer{}, verdict.NewError(verdict.NotRun, verdict.ReasonUnknownService, nil)
	}
	return port.LookupAnswer{Place: q.Place, Version: 7}, nil
}

func (f *fakeEntry) Terms(service, method string) (port.ServiceTerms, error) {
	if service != "desk" {
		return port.ServiceTerms{}, verdict.NewError(verdict.NotRun, verdict.ReasonUnknownService, nil)
	}
	return port.ServiceTerms{
		Deadline:       time.Minute,
		MaxBodyBytes:   8,
		MaxAnswerBytes: 100,
		OnceOnly:       method != http.MethodGet && method != http.MethodHead,
	}, nil
}

func (f *fakeEntry) OriginOf(place string, _ netip.Addr) (string, error) {
	if place == "nowhere" {
		return "", verdict.NewError(verdict.NotRun, verdict.ReasonUnknownPlace, nil)
	}
	return "north-a", nil
}

func (f *fakeEntry) Serve(ctx context.Context, req *port.Request) (*port.Response, error) {
	f.served = req
	if f.retain {
		f.release = req.RetainBody()
	}
	deadline, _ := ctx.Deadline()
	f.left = time.Until(deadline)
	if req.OnceOnly && req.Key == "" {
		return nil, verdict.NewError(verdict.NotRun, verdict.ReasonNoKey, nil)
	}
	return f.response, f.err
}

func (f *fakeEntry) Announce(_ context.Context, _ port.Announcement) (port.AnnounceAnswer, error) {
	return port.AnnounceAnswer{IntervalMillis: 1000}, f.err
}

func (f *fakeEntry) Ready() (bool, string) { return f.err == nil, "no document" }

func newServer(t *testing.T, f *fakeEntry) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(callerhttp.New(callerhttp.Options{
		Entry:    f,
		Name:     "north-a-1",
		Clock:    port.ClockFunc(time.Now),
		Stopping: func() bool { return f.stopping },
	}))
	t.Cleanup(server.Close)
	return server
}

type testRequest struct {
	method, path, body string
	header             map[string]string
}

func do(t *testing.T, server *httptest.Server, r testRequest) (*http.Response, string) {
	t.Helper()
	request, err := http.NewRequest(r.method, server.URL+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range r.header {
		request.Header.Set(name, value)
	}
	response, err := server.Client().Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response, string(body)
}

// TestRejectedRequests guards against an invalid request being rejected without a
// problem document or with a wrong verdict.
func TestRejectedRequests(t *testing.T) {
	timeout := func(v string) map[string]string { return map[string]string{"Sassafrasreach-Timeout-Ms": v} }
	keyed := map[string]string{"Sassafrasreach-Key": validKey}
	cases := []struct {
		name    string
		send    testRequest
		status  int
		reason  verdict.Reason
		verdict string
	}{
		{"unknown service", testRequest{"GET", "/s/other/x", "", nil}, 404, verdict.ReasonUnknownService, "not-run"},
		{"unknown service, with key", testRequest{"POST", "/s/other/x", "", keyed}, 404, verdict.ReasonUnknownService, "may-have-run"},
		{"look-up of an unknown service", testRequest{"GET", "/v1/lookup?service=other", "", nil}, 404, verdict.ReasonUnknownService, "not-run"},
		{"unknown place", testRequest{"GET", "/s/desk/x", "", map[string]string{"Sassafrasreach-Place": "nowhere"}}, 404, verdict.ReasonUnknownPlace, "not-run"},
		{"timeout zero", testRequest{"GET", "/s/desk/x", "", timeout("0")}, 504, verdict.ReasonDeadline, "not-run"},
		{"timeout negative", testRequest{"GET", "/s/desk/x", "", timeout("-5")}, 504, verdict.ReasonDeadline, "not-run"},
		{"timeout not a number", testRequest{"GET", "/s/desk/x", "", timeout("soon")}, 400, verdict.ReasonBadRequest, "not-run"},
		{"timeout out of range", testRequest{"GET", "/s/desk/x", "", timeout("99999999999")}, 400, verdict.ReasonBadRequest, "not-run"},
		{"once-only without key", testRequest{"POST", "/s/desk/x", "a", nil}, 428, verdict.ReasonNoKey, "not-run"},
		{"body too large", testRequest{"GET", "/s/desk/x", "123456789", nil}, 413, verdict.ReasonTooLarge, "not-run"},
		{"body too large, with key", testRequest{"POST", "/s/desk/x", "123456789", keyed}, 413, verdict.ReasonTooLarge, "may-have-run"},
		{"announcement not JSON", testRequest{"PUT", "/v1/endpoints/e1", "{", nil}, 400, verdict.ReasonBadRequest, "not-run"},
		{"announcement with an unknown field", testRequest{"PUT", "/v1/endpoints/e1", `{"id":"e1","x":1}`, nil}, 400, verdict.ReasonBadRequest, "not-run"},
		{"announcement with a byte that isn't UTF-8", testRequest{"PUT", "/v1/endpoints/%EF%BF%BD", "{\"id\":\"\xff\"}", nil}, 400, verdict.ReasonBadRequest, "not-run"},
		{"announcement with a key twice", testRequest{"PUT", "/v1/endpoints/e1", `{"id":"e2","id":"e1"}`, nil}, 400, verdict.ReasonBadRequest, "not-run"},
		{"announcement with data after it", testRequest{"PUT", "/v1/endpoints/e1", `{"id":"e1"}{"id":"e2"}`, nil}, 400, verdict.ReasonBadRequest, "not-run"},
		{"announcement with another ID", testRequest{"PUT", "/v1/endpoints/e1", `{"id":"e2"}`, nil}, 400, verdict.ReasonBadRequest, "not-run"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			server := newServer(t, &fakeEntry{response: &port.Response{Status: 200}})
			response, body := do(t, server, c.send)
			var problem callerhttp.Problem
			is.NoErr(json.Unmarshal([]byte(body), &problem))
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Content-Type"), "application/problem+json")
			is.Equal(problem.Title, string(c.reason))
			is.Equal(problem.Verdict, c.verdict)
			is.Equal(response.Header.Get("Sassafrasreach-Verdict"), c.verdict)
		})
	}
}

// TestErrorStatus guards against an error being reported with a wrong status or
// without its verdict.
func TestErrorStatus(t *testing.T) {
	cases := []struct {
		reason verdict.Reason
		v      verdict.Verdict
		status int
	}{
		{verdict.ReasonOverload, verdict.NotRun, 503},
		{verdict.ReasonCap, verdict.NotRun, 503},
		{verdict.ReasonNoDocument, verdict.NotRun, 503},
		{verdict.ReasonDeadline, verdict.MayHaveRun, 504},
		{verdict.ReasonQuarantined, verdict.NotRun, 422},
		{verdict.ReasonKeyReused, verdict.MayHaveRun, 409},
		{verdict.ReasonBadAnswer, verdict.MayHaveRun, 502},
	}
	for _, c := range cases {
		t.Run(string(c.reason), func(t *testing.T) {
			is := is.New(t)
			err := fmt.Errorf("place: %w", verdict.NewError(c.v, c.reason, nil))
			response, _ := do(t, newServer(t, &fakeEntry{err: err}), testRequest{"GET", "/s/desk/x", "", nil})
			is.Equal(response.StatusCode, c.status)
			is.Equal(response.Header.Get("Sassafrasreach-Verdict"), c.v.String())
		})
	}
	is := is.New(t)
	response, _ := do(t, newServer(t, &fakeEntry{err: errors.New("lost")}), testRequest{"GET", "/s/desk/x", "", nil})
	is.Equal(response.StatusCode, 500)
	is.Equal(response.Header.Get("Sassafrasreach-Verdict"), "may-have-run") // without a verdict, it is unknown whether the request ran
}

// TestServe guards against requests and responses that are altered on their way to
// the entry and back, and against forwarded hop-by-hop headers.
func TestServe(t *testing.T) {
	is := is.New(t)
	header := http.Header{"X-Answer": {"1"}, "Sassafrasreach-Verdict": {"not-run"}}
	f := &fakeEntry{response: &port.Response{Status: 201, Header: header, Body: []byte("done")}}
	response, body := do(t, newServer(t, f), testRequest{"POST", "/s/desk/a%2Fb?q=1", "body", map[string]string{
		"Sassafrasreach-Key":        validKey,
		"Sassafrasreach-Timeout-Ms": "30000",
		"Idempotency-Key":           "caller's own",
		"Connection":                "X-Hop",
		"X-Hop":                     "1",
	}})
	is.Equal(response.StatusCode, 201)
	is.Equal(body, "done")
	is.Equal(response.Header.Get("Sassafrasreach-Verdict"), "ran") // the endpoint's own value is overwritten
	is.Equal(response.Header.Get("X-Answer"), "1")
	is.Equal(f.served.Target, "/a%2Fb?q=1")
	is.Equal(string(f.served.Body), "body")
	is.Equal(f.served.Key, validKey)
	is.Equal(f.served.Header.Get("Idempotency-Key"), "caller's own")
	is.Equal(f.served.Header.Get("X-Hop"), "")
	is.Equal(f.served.Header.Get("Sassafrasreach-Key"), "")
	is.True(f.left > 20*time.Second && f.left <= 30*time.Second) // the context has the deadline of the request
}

// TestDefaultDeadline guards against a request without a timeout header that gets
// another deadline than the service's default.
func TestDefaultDeadline(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{response: &port.Response{Status: 200}}
	do(t, newServer(t, f), testRequest{"GET", "/s/desk", "", nil})
	is.True(f.left > 54*time.Second && f.left <= time.Minute)
	is.Equal(f.served.Target, "/")
}

// failingBody is a streamed body whose Reader ends with an error.
type failingBody struct{ io.Reader }

func (failingBody) Close() error { return nil }

// TestTruncatedResponse guards against a truncated response that looks complete:
// when a streamed body fails, the caller's connection must be aborted.
func TestTruncatedResponse(t *testing.T) {
	is := is.New(t)
	rest := failingBody{io.MultiReader(strings.NewReader("more"), errorReader{})}
	f := &fakeEntry{response: &port.Response{Status: 200, Body: []byte("first"), Rest: rest}}
	server := newServer(t, f)
	response, err := server.Client().Get(server.URL + "/s/desk/x")
	if err == nil {
		_, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
	}
	is.True(err != nil)
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestStoppingClosesConnections guards against connections that stay open during a
// shutdown and are then closed while a request is on its way.
func TestStoppingClosesConnections(t *testing.T) {
	is := is.New(t)
	f := &fakeEntry{response: &port.Response{Status: 200}, stopping: true}
	response, _ := do(t, newServer(t, f), testRequest{"GET", "/s/desk/x", "", nil})
	is.True(response.Close)
}

// TestHealth guards against a process that isn't ready being reported as ready or as
// not alive.
func TestHealth(t *testing.T) {
	is := is.New(t)
	server := newServer(t, &fakeEntry{err: errors.New("not ready")})
	live, _ := do(t, server, testRequest{"GET", "/healthz", "", nil})
	ready, _ := do(t, server, testRequest{"GET", "/readyz", "", nil})
	is.Equal(live.StatusCode, 204)
	is.Equal(ready.StatusCode, 503)
}

// TestRequestIDReplaced guards against a request ID that can't be sent to another entry.
func TestRequestIDReplaced(t *testing.T) {
	for name, id := range map[string]string{"printable": "a~1", "Latin-1": "b\xfcro", "UTF-8": "büro", "inner space": "a b", "long": strings.Repeat("a", 65)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			entry := &fakeEntry{response: &port.Response{Status: http.StatusOK}}
			r := httptest.NewRequest(http.MethodGet, "/s/desk/x", nil)
			r.Header.Set(callerhttp.HeaderRequestID, id)
			callerhttp.New(callerhttp.Options{Entry: entry, Clock: port.ClockFunc(time.Now)}).ServeHTTP(httptest.NewRecorder(), r)
			is.Equal(entry.served.ID == id, name == "printable")
			is.True(entry.served.ID != "")
		})
	}
}
