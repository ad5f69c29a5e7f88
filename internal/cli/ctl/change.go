package ctl

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"sassafrasreach/internal/adapter/operatorhttp"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// changeID returns the ID in -change-id, or a new one.
func (r *runner) changeID() string {
	if r.flags.changeID != "" {
		return r.flags.changeID
	}
	return rand.Text()
}

// base returns the version that the file was made from: that of -base or, without
// the flag, that of the file's header line.
func (r *runner) base(header uint64) (uint64, error) {
	if r.flags.base == "" {
		return header, nil
	}
	base, err := strconv.ParseUint(r.flags.base, 10, 64)
	if err != nil {
		return 0, failf(ExitUsage, "-base %q isn't a version number; ctl get prints the version of the document in force", r.flags.base)
	}
	return base, nil
}

func (r *runner) apply(ctx context.Context) error {
	header, text, err := r.file()
	if err != nil {
		return err
	}
	base, err := r.base(header)
	if err != nil {
		return err
	}
	doc, err := document.ParseValid(text)
	if err != nil {
		return r.faultsError(document.FaultsOf(text))
	}
	outcome, err := r.submit(ctx, request{
		method: http.MethodPut,
		path:   "/v1/document",
		query:  url.Values{operatorhttp.QueryBase: {strconv.FormatUint(base, 10)}},
		body:   text,
	})
	if err != nil {
		return err
	}
	return r.finish(ctx, outcome, doc.EntryNames())
}

func (r *runner) drain(ctx context.Context) error {
	body, err := json.Marshal(operatorhttp.DrainRequest{Place: r.args[0], Service: r.flags.service, Reason: r.flags.reason})
	if err != nil {
		return err
	}
	return r.edit(ctx, request{method: http.MethodPost, path: "/v1/drains", body: body})
}

func (r *runner) undrain(ctx context.Context) error {
	query := url.Values{operatorhttp.QueryPlace: {r.args[0]}, operatorhttp.QueryService: {r.flags.service}}
	return r.edit(ctx, request{method: http.MethodDelete, path: "/v1/drains", query: query})
}

// edit submits a change of the document in force and waits until it is in force at
// every entry VM.
func (r *runner) edit(ctx context.Context, req request) error {
	outcome, err := r.submit(ctx, req)
	if err != nil {
		return err
	}
	entries, err := r.entries(ctx)
	if err != nil {
		return failf(ExitNotInForce, "version %d was accepted, but reading its list of entry VMs failed; ctl status shows at which entry VMs it is in force: %w", outcome.Version, err)
	}
	return r.finish(ctx, outcome, entries)
}

// entries returns the names of the entry VMs in the document in force.
func (r *runner) entries(ctx context.Context) ([]string, error) {
	config, err := r.document(ctx)
	if err != nil {
		return nil, err
	}
	doc, err := document.Parse(config.Document)
	if err != nil {
		return nil, err
	}
	return doc.EntryNames(), nil
}

// submit sends a change and returns its outcome. The change was accepted when the
// error is nil.
func (r *runner) submit(ctx context.Context, req request) (port.Outcome, error) {
	req.changeID = r.changeID()
	got, err := r.client.change(ctx, req)
	if err != nil {
		return port.Outcome{}, r.explainConflict(err, got.problem)
	}
	var outcome port.Outcome
	if err := json.Unmarshal(got.body, &outcome); err != nil {
		return port.Outcome{}, failf(ExitUnknown, "the change may have been accepted, but the response can't be parsed; resend it with -change-id %s to learn its outcome: %w", req.changeID, err)
	}
	return outcome, nil
}

// explainConflict adds to the error of a conflict what the operator can do.
func (r *runner) explainConflict(err error, problem *operatorhttp.Problem) error {
	if problem == nil || problem.Code != operatorhttp.CodeConflict || problem.Outcome == nil {
		return err
	}
	return failf(ExitRefused, "%w\nnothing was changed; get the document in force with ctl get, make the change in it and apply it", err)
}

func (r *runner) lift(ctx context.Context) error {
	target := request{method: http.MethodDelete, path: "/v1/quarantine/" + url.PathEscape(r.args[0]), changeID: r.changeID()}
	if _, err := r.client.change(ctx, target); err != nil {
		return err
	}
	if r.json() {
		return r.printJSON(struct {
			Lifted string `json:"lifted"`
		}{r.args[0]})
	}
	printf(r.stdout, "%s is lifted from quarantine\n", r.args[0])
	return nil
}

// finish waits, unless -wait is false, until a change is in force at every entry VM
// and prints the result.
func (r *runner) finish(ctx context.Context, outcome port.Outcome, entries []string) error {
	result := result{Outcome: outcome}
	if r.flags.wait {
		result.NotInForce = r.waitInForce(ctx, outcome.Version, entries)
		result.InForce = len(result.NotInForce) == 0
	}
	if err := r.printResult(result); err != nil {
		return err
	}
	if !r.flags.wait || result.InForce {
		return nil
	}
	return &exitError{code: ExitNotInForce, err: errors.New("the change was accepted but is not yet in force at every entry VM; it stays accepted, and ctl status shows where it is in force")}
}

// result is the result of a change, as -o json prints it.
type result struct {
	// Outcome is the decision on the change.
	Outcome port.Outcome `json:"outcome"`
	// InForce is true when the version is in force at every entry VM. It is always
	// false with -wait=false.
	InForce bool `json:"in_force"`
	// NotInForce lists the entry VMs where the version isn't in force.
	NotInForce []entryBehind `json:"not_in_force,omitempty"`
}

func (r *runner) printResult(result result) error {
	if r.json() {
		return r.printJSON(result)
	}
	o := result.Outcome
	printf(r.stdout, "accepted as version %d, digest %.12s, change %s\n", o.Version, o.Digest, o.ChangeID)
	if result.InForce {
		printf(r.stdout, "%s\n", "in force at every entry")
	}
	for _, b := range result.NotInForce {
		printf(r.stdout, "not in force at %s\n", b)
	}
	return nil
}
