package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"time"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// document reads the document in force.
func (r *runner) document(ctx context.Context) (port.Config, error) {
	got, err := r.client.read(ctx, request{method: http.MethodGet, path: "/v1/document"})
	if err != nil {
		return port.Config{}, err
	}
	version, err := strconv.ParseUint(got.header.Get(operatorhttp.HeaderVersion), 10, 64)
	if err != nil {
		return port.Config{}, unreadable(err)
	}
	digest := document.Digest(got.body)
	if want := got.header.Get(operatorhttp.HeaderDigest); want != digest {
		return port.Config{}, failf(ExitUnknown, "the document was altered on its way: its digest is %s, not %s; get it from another control VM", digest, want)
	}
	return port.Config{Version: version, Digest: digest, Document: got.body}, nil
}

func (r *runner) get(ctx context.Context) error {
	config, err := r.document(ctx)
	if err != nil {
		return err
	}
	if !r.json() {
		_, err = r.stdout.Write(withHeader(config.Version, config.Digest, config.Document))
		return err
	}
	doc, err := document.Parse(config.Document)
	if err != nil {
		return failf(ExitUnknown, "the document in force can't be read: %w", err)
	}
	return r.printJSON(struct {
		Version  uint64             `json:"version"`
		Digest   string             `json:"digest"`
		Document *document.Document `json:"document"`
	}{config.Version, config.Digest, doc})
}

// file reads the document that the argument names, and its header's version.
func (r *runner) file() (uint64, []byte, error) {
	text, err := os.ReadFile(r.args[0])
	if err != nil {
		return 0, nil, &exitError{code: ExitUsage, err: err}
	}
	version, text := splitHeader(text)
	return version, text, nil
}

func (r *runner) diff(ctx context.Context) error {
	_, text, err := r.file()
	if err != nil {
		return err
	}
	got, err := r.client.read(ctx, request{method: http.MethodPost, path: "/v1/diff", body: text})
	if err != nil {
		return err
	}
	var comparison operatorhttp.Comparison
	if err := json.Unmarshal(got.body, &comparison); err != nil {
		return unreadable(err)
	}
	if r.json() {
		return r.printJSON(comparison)
	}
	sayf(r.stdout, "against version %d\n", comparison.Version)
	for _, d := range comparison.Differences {
		sayf(r.stdout, "%s: %s -> %s\n", d.Path, orNone(d.Before), orNone(d.After))
	}
	return nil
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

func (r *runner) validate(ctx context.Context) error {
	_, text, err := r.file()
	if err != nil {
		return err
	}
	faults := document.FaultsOf(text)
	if len(faults) == 0 && r.client != nil {
		if _, err := r.client.read(ctx, request{method: http.MethodPost, path: "/v1/validate", body: text}); err != nil {
			return err
		}
	}
	if r.json() {
		if faults == nil {
			faults = document.Faults{}
		}
		if err := r.printJSON(faults); err != nil {
			return err
		}
	}
	if len(faults) > 0 {
		return r.refused(faults)
	}
	if !r.json() {
		sayf(r.stdout, "valid, digest %s\n", document.Digest(text))
	}
	return nil
}

// refused is the error of a document with faults, one fault a line.
func (r *runner) refused(faults document.Faults) error {
	for _, f := range faults {
		sayf(r.stderr, "%s: %s\n", r.args[0], f)
	}
	return failf(ExitRefused, "%s has %d faults; mend the fields above", r.args[0], len(faults))
}

func (r *runner) audit(ctx context.Context) error {
	got, err := r.client.read(ctx, request{method: http.MethodGet, path: "/v1/audit"})
	if err != nil {
		return err
	}
	var records []port.AuditRecord
	if err := json.Unmarshal(got.body, &records); err != nil {
		return unreadable(err)
	}
	if err := r.printAudit(records); err != nil {
		return err
	}
	if err := r.options.VerifyAudit(records); err != nil {
		return failf(ExitRefused, "the audit trail was altered; keep a copy (-o json) and ask the other control VMs one by one: %w", err)
	}
	return nil
}

func (r *runner) printAudit(records []port.AuditRecord) error {
	if r.json() {
		return r.printJSON(records)
	}
	table := r.table()
	sayf(table, "%s\n", "TIME\tOPERATOR\tSTATE\tFROM\tTO\tDIGEST\tCHANGE")
	for _, a := range records {
		sayf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			a.Time.UTC().Format(time.RFC3339), a.Operator, a.State, a.From, a.To, shownDigest(a), a.ChangeID)
	}
	return table.Flush()
}

// shownDigest is the start of a document's digest, and the whole fingerprint of a
// lift, which nothing else shows any more.
func shownDigest(a port.AuditRecord) string {
	if a.State == port.ChangeLifted {
		return a.Digest
	}
	return fmt.Sprintf("%.12s", a.Digest)
}

func (r *runner) status(ctx context.Context) error {
	got, err := r.client.read(ctx, request{method: http.MethodGet, path: "/v1/status"})
	if err != nil {
		return err
	}
	var status port.ControlStatus
	if err := json.Unmarshal(got.body, &status); err != nil {
		return unreadable(err)
	}
	if r.json() {
		return r.printJSON(status)
	}
	sayf(r.stdout, "member %s, quorum %t, version %d, digest %.12s\n", status.Member, status.Quorum, status.Version, status.Digest)
	table := r.table()
	sayf(table, "%s\n", "ENTRY\tPLACE\tVERSION\tAGE\tQUARANTINED")
	for _, e := range status.Entries {
		sayf(table, "%s\t%s\t%d\t%v\t%d\n", e.Name, e.Place, e.Version, e.Age.Round(time.Millisecond), len(e.Quarantined))
	}
	return table.Flush()
}
