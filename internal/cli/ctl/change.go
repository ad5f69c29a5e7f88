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

// changeID returns the ID of the change to make or to resend.
func (r *runner) changeID() string {
	if r.flags.changeID != "" {
		return r.flags.changeID
	}
	return rand.Text()
}

// base returns the version that the file was made from.
func (r *runner) base(header uint64) (uint64, error) {
	if r.flags.base == "" {
		return header, nil
	}
	base, err := strconv.ParseUint(r.flags.base, 10, 64)
	if err != nil {
		return 0, failf(ExitUsage, "-base %q isn't a version; ctl get prints that of the document in force", r.flags.base)
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
		return r.refused(document.FaultsOf(text))
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

// edit makes a change of the document in force and waits for it.
func (r *runner) edit(ctx context.Context, req request) error {
	outcome, err := r.submit(ctx, req)
	if err != nil {
		return err
	}
	entries, err := r.entries(ctx)
	if err != nil {
		return failf(ExitNotInForce, "version %d was accepted, but its entries can't be read; ctl status shows where it is in force: %w", outcome.Version, err)
	}
	return r.finish(ctx, outcome, entries)
}

// entries returns the names of the entries of the document in force.
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

// submit sends a change and returns its outcome, which is accepted.
func (r *runner) submit(ctx context.Context, req request) (port.Outcome, error) {
	req.changeID = r.changeID()
	got, err := r.client.change(ctx, req)
	if err != nil {
		return port.Outcome{}, r.explainConflict(err, got.problem)
	}
	var outcome port.Outcome
	if err := json.Unmarshal(got.body, &outcome); err != nil {
		return port.Outcome{}, failf(ExitUnknown, "the change may have been accepted, but the reply can't be read; resend it with -change-id %s to learn which: %w", req.changeID, err)
	}
	return outcome, nil
}

// explainConflict tells how to go on after another change took the version.
func (r *runner) explainConflict(err error, problem *operatorhttp.Problem) error {
	if problem == nil || problem.Code != operatorhttp.CodeConflict || problem.Outcome == nil {
		return err
	}
	return failf(ExitRefused, "%w\nnothing was changed; ctl get shows what won, and its file can be edited and applied", err)
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
	sayf(r.stdout, "%s is lifted\n", r.args[0])
	return nil
}

// finish waits until a change is in force and prints how it ended.
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
	return &exitError{code: ExitNotInForce, err: errors.New("the change was accepted but isn't in force everywhere; it stays accepted, and ctl status shows when it is")}
}

// result is what a change came to.
type result struct {
	// Outcome is the decision.
	Outcome port.Outcome `json:"outcome"`
	// InForce says whether every entry has the version; false without -wait.
	InForce bool `json:"in_force"`
	// NotInForce are the entries that don't have it.
	NotInForce []behind `json:"not_in_force,omitempty"`
}

func (r *runner) printResult(result result) error {
	if r.json() {
		return r.printJSON(result)
	}
	o := result.Outcome
	sayf(r.stdout, "accepted as version %d, digest %.12s, change %s\n", o.Version, o.Digest, o.ChangeID)
	if result.InForce {
		sayf(r.stdout, "%s\n", "in force at every entry")
	}
	for _, b := range result.NotInForce {
		sayf(r.stdout, "not in force at %s\n", b)
	}
	return nil
}
