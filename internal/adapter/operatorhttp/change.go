package operatorhttp

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/register"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

func (h *handler) getDocument(w http.ResponseWriter, _ *http.Request, s session) {
	if s.config.Version == 0 {
		writeProblem(w, newProblem(http.StatusNotFound, CodeNotFound, noDocumentDetail))
		return
	}
	w.Header().Set("Content-Type", "application/yaml")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set(HeaderVersion, strconv.FormatUint(s.config.Version, 10))
	w.Header().Set(HeaderDigest, s.config.Digest)
	_, _ = w.Write(s.config.Document)
}

func (h *handler) putDocument(w http.ResponseWriter, r *http.Request, s session) {
	base, err := strconv.ParseUint(r.URL.Query().Get(QueryBase), 10, 64)
	if err != nil {
		writeProblem(w, newProblem(http.StatusBadRequest, CodeBadRequest, "the query parameter base must be the version that the change was made from, 0 for the first document"))
		return
	}
	if base > s.config.Version {
		// The token was checked against an older version than the change's base,
		// so a version that removed the operator could be missed.
		writeProblem(w, outcomeProblem(conflictOutcome(r.Header.Get(HeaderChangeID), s.config)))
		return
	}
	text, done, ok := h.readDocument(w, r)
	if !ok {
		return
	}
	defer done()
	h.submit(w, r, port.Change{
		ID:          r.Header.Get(HeaderChangeID),
		Operator:    s.operator,
		BaseVersion: base,
		Document:    text,
	})
}

// conflictOutcome returns the outcome of a change whose base isn't the version in
// config.
func conflictOutcome(id string, config port.Config) port.Outcome {
	return port.Outcome{ChangeID: id, State: port.ChangeConflict, Version: config.Version, Digest: config.Digest}
}

// submit validates and submits a change and writes its outcome as the response.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, change port.Change) {
	outcome, problem := h.validateAndSubmit(r.Context(), change)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJSON(w, outcome)
}

// validateAndSubmit validates and submits a change. The problem is nil only for
// an accepted change.
func (h *handler) validateAndSubmit(ctx context.Context, change port.Change) (port.Outcome, *Problem) {
	if !validChangeID(change.ID) {
		return port.Outcome{}, changeIDProblem()
	}
	if faults := document.FaultsOf(change.Document); len(faults) > 0 {
		h.recordInvalid(ctx, change)
		return port.Outcome{}, invalidProblem(faults)
	}
	outcome, err := h.Store.Submit(ctx, change)
	return h.finishChange(change.ID, change.Operator, outcome, err)
}

// finishChange logs the outcome of a change or a quarantine lift and returns it,
// with its problem. An error that leaves the outcome open becomes ChangeUnknown.
func (h *handler) finishChange(id, operator string, outcome port.Outcome, err error) (port.Outcome, *Problem) {
	if errors.Is(err, port.ErrNoQuorum) {
		return port.Outcome{}, newProblem(http.StatusServiceUnavailable, CodeNoQuorum, "too few control VMs responded for a quorum, so nothing was proposed; restore them and send the change again")
	}
	if errors.Is(err, register.ErrChangeIDReused) {
		return port.Outcome{}, newProblem(http.StatusConflict, CodeIDReused, "the change ID was already used for another change; this change was not applied; send it with a new ID")
	}
	if err != nil {
		event.Log(context.Background(), h.Logger, event.ChangeUndecided, slog.Any("change", id), slog.Any("operator", operator), slog.Any("error", err))
		outcome = port.Outcome{ChangeID: id, State: port.ChangeUnknown}
	}
	event.Log(context.Background(), h.Logger, event.ChangeEnded, slog.Any("change", id), slog.Any("operator", operator), slog.Any("state", outcome.State), slog.Any("version", outcome.Version))
	return outcome, outcomeProblem(outcome)
}

// recordInvalid logs a change with faults and adds it to the audit trail.
func (h *handler) recordInvalid(ctx context.Context, change port.Change) {
	event.Log(context.Background(), h.Logger, event.ChangeRefused, slog.Any("change", change.ID), slog.Any("operator", change.Operator), slog.Any("state", port.ChangeInvalid))
	if h.RecordRefused == nil {
		return
	}
	if err := h.RecordRefused(ctx, change); err != nil {
		event.Log(context.Background(), h.Logger, event.RefusedNotRecorded, slog.Any("change", change.ID), slog.Any("error", err))
	}
}

// outcomeProblem returns the problem of an outcome, or nil when the change was
// accepted or the quarantine lifted.
func outcomeProblem(outcome port.Outcome) *Problem {
	var p *Problem
	switch outcome.State {
	case port.ChangeAccepted, port.ChangeLifted:
		return nil
	case port.ChangeConflict:
		p = newProblem(http.StatusConflict, CodeConflict, conflictDetail(outcome))
	case port.ChangeInvalid:
		p = newProblem(http.StatusUnprocessableEntity, CodeInvalid, "the change was refused because its document has faults")
	default:
		p = newProblem(http.StatusGatewayTimeout, CodeUnknown, "the change may have been accepted; resend it with the same change ID")
	}
	p.Outcome = &outcome
	return p
}

func conflictDetail(outcome port.Outcome) string {
	detail := fmt.Sprintf("the register holds version %d (digest %.12s)", outcome.Version, outcome.Digest)
	if outcome.Operator != "" {
		detail += ", made by " + outcome.Operator
	}
	return detail
}

func invalidProblem(faults document.Faults) *Problem {
	p := newProblem(http.StatusUnprocessableEntity, CodeInvalid, fmt.Sprintf("the document has %d faults; nothing was changed", len(faults)))
	p.Faults = faults
	return p
}

func (h *handler) validate(w http.ResponseWriter, r *http.Request, _ session) {
	text, done, ok := h.readDocument(w, r)
	if !ok {
		return
	}
	defer done()
	if faults := document.FaultsOf(text); len(faults) > 0 {
		writeProblem(w, invalidProblem(faults))
		return
	}
	doc, err := document.Parse(text)
	if err != nil {
		writeProblem(w, newProblem(http.StatusInternalServerError, CodeInternal, err.Error()))
		return
	}
	writeJSON(w, Validation{Digest: document.Digest(text), Entries: doc.EntryCount()})
}

func (h *handler) diff(w http.ResponseWriter, r *http.Request, s session) {
	text, done, ok := h.readDocument(w, r)
	if !ok {
		return
	}
	defer done()
	after, err := document.Parse(text)
	if err != nil {
		writeProblem(w, invalidProblem(document.FaultsOf(text)))
		return
	}
	differences := document.Diff(s.document, after)
	if differences == nil {
		differences = []document.Difference{}
	}
	writeJSON(w, Comparison{Version: s.config.Version, Differences: differences})
}

func changeIDProblem() *Problem {
	return newProblem(http.StatusBadRequest, CodeBadRequest,
		fmt.Sprintf("the header %s must be an ID of 1 to %d visible ASCII characters", HeaderChangeID, MaxChangeIDBytes))
}

// validChangeID reports whether an ID has 1 to MaxChangeIDBytes visible ASCII
// characters.
func validChangeID(id string) bool {
	if id == "" || len(id) > MaxChangeIDBytes {
		return false
	}
	for _, c := range id {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}
