package ctl_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/cli/ctl"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/port/porttest"
)

// bench is a test bench: a control VM with an in-memory store, and files and
// outputs of the client.
type bench struct {
	t          *testing.T
	store      *porttest.Store
	handler    http.Handler
	url        string
	dir        string
	file       string
	outs, errs bytes.Buffer
}

const entries = "norte-a-1 norte-a-2 norte-b-1 norte-b-2"

func newBench(t *testing.T) *bench {
	is := is.New(t)
	b := &bench{t: t, store: &porttest.Store{}, dir: t.TempDir()}
	b.handler = operatorhttp.New(operatorhttp.Options{
		Store:                b.store,
		BootstrapTokenSHA256: document.Digest([]byte("demo-token")),
		Logger:               slog.New(slog.DiscardHandler),
	})
	b.url = b.serve(b.handler)
	b.inForce(entries, 1000)
	b.write("token", "demo-token\n")
	b.write("other", "other\n")
	b.write("empty", "\n")
	b.write("faults.yaml", "regions: []\n")
	demo, err := os.ReadFile("../../../examples/demo.yaml")
	is.NoErr(err)
	b.file = b.write("demo.yaml", string(demo))
	is.Equal(b.run("apply", b.file), 0)
	return b
}

func (b *bench) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	b.t.Cleanup(server.Close)
	return server.URL
}

func (b *bench) write(name, text string) string {
	path := filepath.Join(b.dir, name)
	is.New(b.t).NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (b *bench) inForce(names string, version uint64) {
	var out []port.EntryStatus
	for name := range strings.FieldsSeq(names) {
		out = append(out, port.EntryStatus{Name: name, Version: version})
	}
	b.store.SetEntries(out)
}

// run runs the client. It replaces $URL and $DIR in the arguments with the bench's
// own; flags in the arguments override those that it sets.
func (b *bench) run(args ...string) int {
	b.outs.Reset()
	b.errs.Reset()
	all := []string{"-control", b.url, "-token-file", filepath.Join(b.dir, "token")}
	for _, a := range args {
		all = append(all, strings.NewReplacer("$URL", b.url, "$DIR", b.dir).Replace(a))
	}
	return ctl.Main(b.t.Context(), all, &b.outs, &b.errs)
}

func (b *bench) version() uint64 {
	config, err := b.store.Current(b.t.Context())
	is.New(b.t).NoErr(err)
	return config.Version
}

// TestCommands checks the exit code and output of each command when it succeeds
// and for each kind of failure: operators' scripts rely on the codes.
func TestCommands(t *testing.T) {
	const unreachable = "http://127.0.0.1:1"
	fingerprint := document.Digest([]byte("crashing request"))
	noQuorum := func(b *bench) { b.store.NoQuorum = true }
	drained := func(b *bench) { b.run("drain", "norte-a", "-reason", "repair") }
	late := func(b *bench) { b.inForce("norte-a-1 norte-a-2 norte-b-1", 1000) }
	cases := []struct {
		name     string
		before   func(*bench)
		args     string
		code     ctl.ExitCode
		contains string
	}{
		{"help", nil, "-help", 0, "Exit codes"},
		{"help of a command", nil, "apply -help", 0, "-change-id"},
		{"no command", nil, "", 2, "a command is needed"},
		{"unknown command", nil, "reload", 2, `no command "reload"`},
		{"unknown flag", nil, "get -quick", 2, "-quick"},
		{"unknown format", nil, "get -o xml", 2, "xml"},
		{"no file", nil, "apply", 2, "usage: ctl apply FILE"},
		{"missing file", nil, "apply $DIR/none", 2, "none"},
		{"bad URL", nil, "get -control 127.0.0.1:1", 2, "isn't a URL"},
		{"no URL", nil, "get -control ,", 2, "at least one URL"},
		{"bad base", nil, "apply $DIR/demo.yaml -base one", 2, "isn't a version"},
		{"no token file", nil, "get -token-file $DIR/none", 2, "none"},
		{"empty token file", nil, "get -token-file $DIR/empty", 2, "is empty"},
		{"wrong token", nil, "get -token-file $DIR/other", 1, "unauthorized"},
		{"get", nil, "get", 0, "# document version 1, digest"},
		{"get JSON", nil, "get -o json", 0, `"version": 1`},
		{"get from the second", nil, "get -control " + unreachable + ",$URL", 0, "belt-control"},
		{"get from none", nil, "get -control " + unreachable, 3, "no control VM gave a decision"},
		{"get without quorum", noQuorum, "get", 3, "no-quorum"},
		{"status", nil, "status", 0, "norte-b-2"},
		{"status without quorum", noQuorum, "status", 0, "quorum false"},
		{"validate", nil, "validate $DIR/demo.yaml", 0, "valid"},
		{"validate faults", nil, "validate $DIR/faults.yaml", 1, "services: at least one"},
		{"validate JSON", nil, "validate $DIR/faults.yaml -o json", 1, `"path": "places"`},
		{"diff", drained, "diff $DIR/demo.yaml", 0, `drains[norte-a]: {"place":"norte-a","reason":"repair"} -> (none)`},
		{"apply faults", nil, "apply $DIR/faults.yaml", 1, "faults.yaml: regions"},
		{"apply", nil, "apply $DIR/demo.yaml -base 1", 0, "in force at every entry"},
		{"apply from an older version", nil, "apply $DIR/demo.yaml", 1, "nothing was changed"},
		{"apply without quorum", noQuorum, "apply $DIR/demo.yaml -base 1", 3, "none proposed the change"},
		{"apply to none", nil, "apply $DIR/demo.yaml -base 1 -control " + unreachable, 3, "none proposed the change"},
		{"apply, one entry late", late, "apply $DIR/demo.yaml -base 1 -timeout 300ms", 4, "not in force at norte-b-2 (no report received)"},
		{"apply, not waiting", late, "apply $DIR/demo.yaml -base 1 -wait=false", 0, "accepted as version 2"},
		{"drain", nil, "drain norte-a -reason repair", 0, "accepted as version 2"},
		{"drain, one entry late", late, "drain norte-a -reason repair -timeout 300ms", 4, "not in force at norte-b-2"},
		{"drain of no place", nil, "drain norte-z -reason repair", 1, "no place is named"},
		{"undrain", drained, "undrain norte-a", 0, "accepted as version 3"},
		{"undrain of nothing", nil, "undrain norte-a", 1, "no such drain"},
		{"lift", nil, "lift " + fingerprint, 0, fingerprint + " is lifted"},
		{"lift of no fingerprint", nil, "lift abc", 1, "64 hex digits"},
		{"lift without quorum", noQuorum, "lift " + fingerprint, 3, "none proposed the change"},
		{"lift in the audit trail", func(b *bench) { b.run("lift", fingerprint) }, "audit", 0, "lifted    1     1   " + fingerprint},
		{"audit", drained, "audit", 0, "trial"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			if c.before != nil {
				c.before(b)
			}
			got := b.run(strings.Fields(c.args)...)
			is.Equal(ctl.ExitCode(got), c.code)
			text := b.outs.String() + b.errs.String()
			if !strings.Contains(text, c.contains) {
				t.Fatalf("%q isn't in the output:\n%s", c.contains, text)
			}
		})
	}
}

// TestResendKeepsTheChangeID guards against a change that becomes two versions: its
// connection is cut after the decision, or its outcome is lost, and it is resent.
func TestResendKeepsTheChangeID(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	cut := b.serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		b.handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	is.Equal(b.run("apply", b.file, "-base", "1", "-control", cut+","+b.url), 0)
	is.Equal(b.version(), uint64(2))

	b.store.LoseResponses = 2
	is.Equal(b.run("apply", b.file, "-base", "2"), 0)
	is.Equal(b.version(), uint64(3))

	b.store.LoseResponses = 1000
	is.Equal(b.run("apply", b.file, "-base", "3", "-change-id", "again", "-timeout", "2s"), int(ctl.ExitUnknown))
	is.True(strings.Contains(b.errs.String(), "-change-id again"))
	b.store.LoseResponses = 0
	is.Equal(b.run("apply", b.file, "-base", "3", "-change-id", "again"), 0)
	is.Equal(b.version(), uint64(4))
}

// TestRefusalAfterLostAnswer guards against reporting an accepted change as
// refused: one control VM accepts it but its response is lost, and another one
// refuses the resend without an outcome, here because the token isn't valid there.
func TestRefusalAfterLostAnswer(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.store.LoseResponses = 1
	unrelated := b.serve(operatorhttp.New(operatorhttp.Options{Store: &porttest.Store{}, Logger: slog.New(slog.DiscardHandler)}))
	code := b.run("apply", b.file, "-base", "1", "-control", b.url+","+unrelated, "-timeout", "250ms")
	is.Equal(code, int(ctl.ExitUnknown))
	is.Equal(b.version(), uint64(2))
}

// TestUnproposedChangeIsSentOnce checks that a change that no control VM proposed
// is sent to each of them once. A further attempt could be accepted with its
// response lost, and leave the outcome unknown.
func TestUnproposedChangeIsSentOnce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.store.NoQuorum = true
	tries := 0
	counted := b.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tries++
		b.handler.ServeHTTP(w, r)
	}))
	is.Equal(b.run("undrain", "norte-a", "-control", counted+",http://127.0.0.1:1,"+counted), int(ctl.ExitUnknown))
	is.True(strings.Contains(b.errs.String(), "none proposed the change"))
	is.Equal(tries, 2)
}

// TestRace guards against overwriting another operator's change: two operators apply
// files that were made from the same version.
func TestRace(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.Equal(b.run("get"), 0)
	mine := b.write("mine.yaml", b.outs.String()+"# mine\n")
	theirs := b.write("theirs.yaml", b.outs.String()+"# theirs\n")
	is.Equal(b.run("apply", theirs), 0)
	is.Equal(b.run("apply", mine), int(ctl.ExitRefused))
	is.True(strings.Contains(b.errs.String(), "made by trial"))
	is.Equal(b.run("get"), 0)
	is.True(strings.HasSuffix(b.outs.String(), "# theirs\n"))
	is.Equal(strings.Count(b.outs.String(), "# document version"), 1)
}

// TestApplyWaitsUntilInForce guards against an apply that succeeds before its
// version is in force at the entry VMs.
func TestApplyWaitsUntilInForce(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.inForce(entries, 1)
	time.AfterFunc(50*time.Millisecond, func() { b.inForce(entries, 2) })
	is.Equal(b.run("apply", b.file, "-base", "1", "-o", "json"), 0)
	var result struct {
		Outcome port.Outcome `json:"outcome"`
		InForce bool         `json:"in_force"`
	}
	is.NoErr(json.Unmarshal(b.outs.Bytes(), &result))
	is.True(result.InForce)
	is.Equal(result.Outcome.Version, uint64(2))
}

// TestAlteredRepliesAreReported guards against accepting a document that doesn't
// match its digest, or an audit trail whose hash chain is broken.
func TestAlteredRepliesAreReported(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	altered := b.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/audit" {
			_, _ = w.Write([]byte(`[{"hash":"a"},{"previous":"b","hash":"c"}]`))
			return
		}
		w.Header().Set(operatorhttp.HeaderVersion, "1")
		w.Header().Set(operatorhttp.HeaderDigest, document.Digest([]byte("mine")))
		_, _ = w.Write([]byte("theirs"))
	}))
	is.Equal(b.run("get", "-control", altered), int(ctl.ExitUnknown))
	is.True(strings.Contains(b.errs.String(), "digest"))
	is.Equal(b.run("audit", "-control", altered), int(ctl.ExitRefused))
	is.True(strings.Contains(b.errs.String(), "was altered"))

	// Two records that are linked correctly, but whose hashes don't match them.
	linked := b.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`[{"hash":"a"},{"previous":"a","hash":"b"}]`))
	}))
	is.Equal(b.run("audit", "-control", linked), int(ctl.ExitRefused))
}

// TestInvalidStatus guards against a response with an invalid status that counts as a
// decision, or as a statement that nothing was proposed: the change may have been accepted.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			odd := b.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				recorder := httptest.NewRecorder()
				b.handler.ServeHTTP(recorder, r)
				body := recorder.Body.String()
				if status >= "600" {
					body = `{"code":"` + string(operatorhttp.CodeNoQuorum) + `"}`
				}
				c, _, err := w.(http.Hijacker).Hijack()
				is.NoErr(err)
				defer func() { _ = c.Close() }()
				_, _ = fmt.Fprintf(c, "HTTP/1.1 %s Status\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
			}))
			is.Equal(b.run("apply", b.file, "-base", "1", "-control", odd, "-timeout", "250ms"), int(ctl.ExitUnknown))
			is.True(strings.Contains(b.errs.String(), "may have been accepted"))
			is.Equal(b.version(), uint64(2))
		})
	}
}

// TestControlVMWithoutMemory guards against a change that is given up, or whose outcome is
// said to be unknown, because one control VM has no memory for it.
func TestControlVMWithoutMemory(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	full := b.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"code":"` + string(operatorhttp.CodeMemory) + `"}`))
	}))
	is.Equal(b.run("apply", b.file, "-base", "1", "-control", full, "-timeout", "250ms"), int(ctl.ExitUnknown))
	is.True(strings.Contains(b.errs.String(), "nothing was changed"))
	is.Equal(b.version(), uint64(1))
	is.Equal(b.run("apply", b.file, "-base", "1", "-control", full+","+b.serve(b.handler), "-timeout", "250ms"), int(ctl.ExitOK))
	is.Equal(b.version(), uint64(2))
}
