package console_test

import (
	"html"
	"io"
	"log/slog"
	"net/http"
	"net/http/cookiejar"
	"net/http/httptest"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/port/porttest"
)

const token = "demo-token"

// browser is a test client of a control VM's console. Like a web browser, it takes
// the form's fields from the page and submits them with a button's action.
type browser struct {
	t      *testing.T
	store  *porttest.Store
	url    string
	client *http.Client
	status int
	page   string
	form   url.Values
	action string
}

func newBrowser(t *testing.T) *browser {
	is := is.New(t)
	b := &browser{t: t, store: &porttest.Store{}}
	server := httptest.NewServer(operatorhttp.New(operatorhttp.Options{Store: b.store, Logger: slog.New(slog.DiscardHandler)}))
	t.Cleanup(server.Close)
	b.url = server.URL
	demo, err := os.ReadFile("../../../examples/demo.yaml")
	is.NoErr(err)
	b.apply("start", 0, string(demo))
	return b.window()
}

// window returns another browser, with its own session, for the same control VM.
func (b *browser) window() *browser {
	jar, err := cookiejar.New(nil)
	is.New(b.t).NoErr(err)
	return &browser{t: b.t, store: b.store, url: b.url, client: &http.Client{Jar: jar}}
}

// apply changes the document without the console.
func (b *browser) apply(id string, base uint64, text string) {
	outcome, err := b.store.Submit(b.t.Context(), port.Change{ID: id, Operator: "other", BaseVersion: base, Document: []byte(text)})
	is := is.New(b.t)
	is.NoErr(err)
	is.Equal(outcome.State, port.ChangeAccepted)
}

func (b *browser) current() (uint64, *document.Document) {
	is := is.New(b.t)
	config, err := b.store.Current(b.t.Context())
	is.NoErr(err)
	doc, err := document.ParseValid(config.Document)
	is.NoErr(err)
	return config.Version, doc
}

var inputs = regexp.MustCompile(`<input type="(?:hidden|text)" name="([^"]*)" value="([^"]*)"`)

// read reads a page and the fields of its form.
func (b *browser) read(resp *http.Response, err error) {
	is := is.New(b.t)
	is.NoErr(err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	b.status, b.page, b.form = resp.StatusCode, string(text), url.Values{}
	for _, m := range inputs.FindAllStringSubmatch(b.page, -1) {
		b.form.Set(html.UnescapeString(m[1]), html.UnescapeString(m[2]))
	}
}

func (b *browser) get(path string) { b.read(b.client.Get(b.url + path)) }

func (b *browser) signIn(token string) {
	b.read(b.client.PostForm(b.url+"/console/sign-in", url.Values{"token": {token}}))
}

// press sets some fields, given as pairs of path and text, and submits the page's
// form with a button's action.
func (b *browser) press(action string, typed ...string) {
	for i := 0; i+1 < len(typed); i += 2 {
		if !b.form.Has("d." + typed[i]) {
			b.t.Fatalf("the page has no field %s", typed[i])
		}
		b.form.Set("d."+typed[i], typed[i+1])
	}
	b.form.Set("action", action)
	b.read(b.client.PostForm(b.url+"/console/edit", b.form))
}

// sees checks the status and that the page contains the texts.
func (b *browser) sees(status int, texts ...string) {
	b.t.Helper()
	is.New(b.t).Equal(b.status, status)
	for _, text := range texts {
		if !strings.Contains(html.UnescapeString(b.page), text) {
			b.t.Fatalf("%q isn't on the page:\n%s", text, b.page)
		}
	}
}

// TestFormToAcceptedDocument edits the document with every kind of form, from sign-in to
// the accepted version. It guards against a form that loses or misplaces a field,
// an element or a list, and against unescaped text on a page.
func TestFormToAcceptedDocument(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t)
	b.get("/console/")
	b.sees(200, "Operator's token")
	b.signIn(token)
	b.sees(200, "editing version 1", `value="belt-control"`)

	b.press("add services")
	b.press("add drains", "services[2].name", "grade-stamp", "services[2].places", "norte-a  norte-b",
		"services[2].workers", "6", "services[2].slots", "3", "services[2].connections", "650")
	b.press("add rules", "drains[0].place", "norte-a", "drains[0].service", "lot-ledger", "drains[0].reason", `repair <b>"1"</b>`)
	b.press("add rules[2].shares", "rules[2].name", "stamps", "rules[2].service", "grade-stamp",
		"rules[2].from", "norte-a", "rules[2].to", "norte-b", "rules[2].requests_per_s", "20")
	b.press("add rules[2].shares", "rules[2].shares[0].entry", "norte-b-1", "rules[2].shares[0].percent", "100")
	b.press("remove rules[2].shares[1]")
	b.press("remove rules[1]")
	b.press("review")
	b.sees(200, "Differences from version 1", "services[grade-stamp]", "lot-ledger leaves norte-a: about 6 slots", "a-to-b", "200")
	is.True(!strings.Contains(b.page, "<b>"))
	b.press("edit")
	b.press("review")
	b.press("submit")
	b.sees(200, "Accepted as version 2")

	version, doc := b.current()
	is.Equal(version, uint64(2))
	is.Equal(doc.Drains, []document.Drain{{Place: "norte-a", Service: "lot-ledger", Reason: `repair <b>"1"</b>`}})
	is.Equal(doc.ServiceByName("grade-stamp").Places, []string{"norte-a", "norte-b"})
	is.Equal([]string{doc.Rules[0].Name, doc.Rules[1].Name}, []string{"a-to-b", "stamps"})
	is.Equal(doc.Rules[1].Shares, []document.Share{{Entry: "norte-b-1", Percent: 100}})
	records, err := b.store.Audit(t.Context())
	is.NoErr(err)
	is.Equal(records[1].Operator, "trial")
	b.get("/console/status")
	b.sees(200, "norte-a-1", "no report received")
}

// TestFaultsAtTheirFields guards against a fault that is missing from the page
// or isn't next to its field, and against submitting a document with faults.
func TestFaultsAtTheirFields(t *testing.T) {
	cases := []struct {
		name   string
		typed  []string
		after  string
		faults string
	}{
		{"number", []string{"services[0].slots", "three"}, `name="d.services[0].slots" value="three"`, `must be a whole number, not "three"`},
		{"duration", []string{"services[1].deadline", "2"}, `name="d.services[1].deadline" value="2"`, "must be a duration such as"},
		{"unknown place", []string{"services[0].places", "norte-a sul"}, `name="d.services[0].places" value="norte-a sul"`, `no place is named "sul"`},
		{"entry", []string{"places[0].entries[1].peer", "here"}, `name="d.places[0].entries[1].peer" value="here"`, "isn't IP:port"},
		{"whole rule", []string{"rules[1].from", "norte-a", "rules[1].to", "norte-b"}, `name="d.rules[1]" value="1">`, "is a duplicate of rules[0]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBrowser(t)
			b.signIn(token)
			b.press("review", c.typed...)
			b.sees(422, "Faults found: 1. Nothing was changed.")
			_, rest, found := strings.Cut(html.UnescapeString(b.page), c.after)
			is.True(found)
			field, _, _ := strings.Cut(rest, "<label>")
			is.True(strings.Contains(field, c.faults)) // right after its field
			b.form.Set("change_id", "x")               // a button that the page doesn't have
			b.press("submit")
			b.sees(422)
			version, _ := b.current()
			is.Equal(version, uint64(1))
		})
	}
}

// TestRaceIsSeen guards against overwriting another operator's change that
// was accepted after the draft was opened, or after it was reviewed.
func TestRaceIsSeen(t *testing.T) {
	is := is.New(t)
	demo, err := os.ReadFile("../../../examples/demo.yaml")
	is.NoErr(err)
	theirs := strings.Replace(string(demo), "deadline: 2s", "deadline: 3s", 1)
	for _, action := range []string{"review", "submit"} {
		t.Run(action, func(t *testing.T) {
			is := is.New(t)
			b := newBrowser(t)
			b.signIn(token)
			b.press("review", "services[1].workers", "5")
			b.apply("theirs", 1, theirs)
			for range 2 {
				b.press(action)
				b.sees(409, "Version 2 was accepted after you opened version 1", "services[belt-control].deadline", "services[lot-ledger].workers")
			}
			version, doc := b.current()
			is.Equal(version, uint64(2))
			is.Equal(doc.ServiceByName("belt-control").Deadline.Std().String(), "3s")
		})
	}
}

// TestSentTwice guards against a draft that becomes two versions:
// its response is lost and the form is sent again, twice.
func TestSentTwice(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t)
	b.signIn(token)
	b.press("review", "services[1].workers", "5")
	form := b.form
	b.store.LoseResponses = 1
	b.press("submit")
	b.sees(504, "may have been accepted", "Send again")
	b.press("submit")
	b.sees(200, "Accepted as version 2")
	b.form = form
	b.press("submit")
	b.sees(200, "Accepted as version 2")
	version, _ := b.current()
	is.Equal(version, uint64(2))

	// A draft that is edited after its response was lost is another change.
	b.signIn(token)
	b.press("review", "services[1].workers", "6")
	b.store.LoseResponses = 1
	first := b.form.Get("change_id")
	b.press("submit")
	b.sees(504)
	is.Equal(b.form.Get("change_id"), first)
	b.press("edit")
	b.press("review", "services[1].workers", "7")
	b.sees(409, "Version 3 was accepted after you opened version 2")
	_, doc := b.current()
	is.Equal(doc.ServiceByName("lot-ledger").Workers, 6)
	b.get("/console/")
	b.press("review")
	first = b.form.Get("change_id")
	b.press("edit")
	b.press("review", "services[1].workers", "7")
	is.True(b.form.Get("change_id") != first)
}

// TestNothingWithoutSession guards against a change by a form that is sent
// without a session or a quorum, by a removed operator, from another site, with a
// wrong form token, without a required field, or with an unknown action.
func TestNothingWithoutSession(t *testing.T) {
	cases := []struct {
		name   string
		status int
		spoil  func(b *browser)
	}{
		{"no session", 401, func(b *browser) { b.client = &http.Client{} }},
		{"no form token", 403, func(b *browser) { b.form.Del("form_token") }},
		{"another session's form token", 403, func(b *browser) {
			other := b.window()
			other.signIn(token)
			b.form.Set("form_token", other.form.Get("form_token"))
		}},
		{"another site", 403, func(b *browser) { b.client.Transport = crossSite{} }},
		{"signed out", 401, func(b *browser) {
			form := b.form
			u, err := url.Parse(b.url + "/console/")
			is.New(b.t).NoErr(err)
			kept := b.client.Jar.Cookies(u)
			b.read(b.client.PostForm(b.url+"/console/sign-out", form))
			is.New(b.t).Equal(len(b.client.Jar.Cookies(u)), 0)
			b.client.Jar.SetCookies(u, kept) // a copied cookie must not restore the session
			b.form = form
		}},
		{"operator removed", 401, func(b *browser) {
			_, doc := b.current()
			doc.Operators[0].TokenSHA256 = document.Digest([]byte("new"))
			text, err := document.Marshal(doc)
			is.New(b.t).NoErr(err)
			b.apply("remove", 1, string(text))
		}},
		{"no quorum", 503, func(b *browser) { b.store.NoQuorum = true }},
		{"no version", 400, func(b *browser) { b.form.Del("base") }},
		{"no change ID", 400, func(b *browser) { b.form.Del("change_id") }},
		{"no such button", 400, func(b *browser) { b.action = "overwrite" }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBrowser(t)
			b.signIn(token)
			b.press("review", "services[1].workers", "5")
			b.action = "submit"
			c.spoil(b)
			before := b.version()
			b.press(b.action)
			b.sees(c.status)
			b.store.NoQuorum = false
			is.Equal(b.version(), before)
		})
	}
}

func (b *browser) version() uint64 {
	status, err := b.store.Status(b.t.Context())
	is.New(b.t).NoErr(err)
	return status.Version
}

// crossSite sends requests with the header that a browser adds to a request from
// another site's page.
type crossSite struct{}

func (crossSite) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Sec-Fetch-Site", "cross-site")
	return http.DefaultTransport.RoundTrip(r)
}

// TestSignInRefusesWrongTokens guards against a session for somebody who has no
// operator's token; a token's hash is in the document and must not suffice.
func TestSignInRefusesWrongTokens(t *testing.T) {
	is := is.New(t)
	b := newBrowser(t)
	for _, wrong := range []string{"", "other", document.Digest([]byte(token))} {
		b.signIn(wrong)
		b.sees(401, "the token doesn't belong to an operator")
	}
	b.get("/console/status")
	b.sees(401, "Sign in first")
	u, err := url.Parse(b.url + "/console/")
	is.NoErr(err)
	is.Equal(len(b.client.Jar.Cookies(u)), 0)
}

// TestTooLargeDocumentPointsToCtl guards against a form with more fields than
// net/http reads, which couldn't be submitted.
func TestTooLargeDocumentPointsToCtl(t *testing.T) {
	b := newBrowser(t)
	_, doc := b.current()
	for i := range 1000 {
		s := document.NewService()
		s.Name, s.Places, s.Workers, s.Slots, s.Connections = "s"+strconv.Itoa(i), []string{"norte-a"}, 1, 1, 1
		doc.Services = append(doc.Services, s)
	}
	text, err := document.Marshal(doc)
	is.New(t).NoErr(err)
	b.apply("large", 1, string(text))
	b.signIn(token)
	b.sees(200, "more than the maximum of 9900 in a form")
}
