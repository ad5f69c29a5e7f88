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

// document reads the document in force and checks its digest.
func (r *runner) document(ctx context.Context) (port.Config, error) {
	got, err := r.client.read(ctx, request{method: http.MethodGet, path: "/v1/document"})
	if err != nil {
		return port.Config{}, err
	}
	version, err := strconv.ParseUint(got.header.Get(operatorhttp.HeaderVersion), 10, 64)
	if err != nil {
		return port.Config{}, unreadableReply(err)
	}
	digest := document.Digest(got.body)
	if want := got.header.Get(operatorhttp.HeaderDigest); want != digest {
		return port.Config{}, failf(ExitUnknown, "the document was altered in transit: its digest is %s, not %s; get it from another control VM", digest, want)
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
		return failf(ExitUnknown, "the document in force can't be parsed: %w", err)
	}
	return r.printJSON(struct {
		Version  uint64             `json:"version"`
		Digest   string             `json:"digest"`
		Document *document.Document `json:"document"`
	}{config.Version, config.Digest, doc})
}

// file reads the file that the argument names. It returns the version in its header
// line, or 0, and the text below that line.
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
		return unreadableReply(err)
	}
	if r.json() {
		return r.printJSON(comparison)
	}
	printf(r.stdout, "compared with version %d\n", comparison.Version)
	for _, d := range comparison.Differences {
		printf(r.stdout, "%s: %s -> %s\n", d.Path, orNone(d.Before), orNone(d.After))
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
		return r.faultsError(faults)
	}
	if !r.json() {
		printf(r.stdout, "valid, digest %s\n", document.Digest(text))
	}
	return nil
}

// faultsError prints the faults of a document, one per line, and returns the error.
func (r *runner) faultsError(faults document.Faults) error {
	for _, f := range faults {
		printf(r.stderr, "%s: %s\n", r.args[0], f)
	}
	return failf(ExitRefused, "%s has %d faults; correct the fields listed above", r.args[0], len(faults))
}

func (r *runner) audit(ctx context.Context) error {
	got, err := r.client.read(ctx, request{method: http.MethodGet, path: "/v1/audit"})
	if err != nil {
		return err
	}
	var records []port.AuditRecord
	if err := json.Unmarshal(got.body, &records); err != nil {
		return unreadableReply(err)
	}
	if err := r.printAudit(records); err != nil {
		return err
	}
	if err := r.options.VerifyAudit(records); err != nil {
		return failf(ExitRefused, "the audit trail was altered; keep a copy of it (-o json) and run ctl audit against each other control VM: %w", err)
	}
	return nil
}

func (r *runner) printAudit(records []port.AuditRecord) error {
	if r.json() {
		return r.printJSON(records)
	}
	table := r.table()
	printf(table, "%s\n", "TIME\tOPERATOR\tSTATE\tFROM\tTO\tDIGEST\tCHANGE")
	for _, a := range records {
		printf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\n",
			a.Time.UTC().Format(time.RFC3339), a.Operator, a.State, a.From, a.To, shownDigest(a), a.ChangeID)
	}
	return table.Flush()
}

// shownDigest returns the first 12 digits of a document's digest, or the whole
// fingerprint of a lift, since a lifted fingerprint isn't in the status any more.
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
		return unreadableReply(err)
	}
	if r.json() {
		return r.printJSON(status)
	}
	printf(r.stdout, "member %s, quorum %t, version %d, digest %.12s\n", status.Member, status.Quorum, status.Version, status.Digest)
	table := r.table()
	printf(table, "%s\n", "ENTRY\tPLACE\tVERSION\tAGE\tQUARANTINED")
	for _, e := range status.Entries {
		printf(table, "%s\t%s\t%d\t%v\t%d\n", e.Name, e.Place, e.Version, e.Age.Round(time.Millisecond), len(e.Quarantined))
	}
	return table.Flush()
}
