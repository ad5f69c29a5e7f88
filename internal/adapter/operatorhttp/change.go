package operatorhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
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
		writeProblem(w, newProblem(http.StatusNotFound, CodeNotFound, noDocument))
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
		writeProblem(w, newProblem(http.StatusBadRequest, CodeBadRequest, "the query needs base, the version that the change was made from; 0 for the first document"))
		return
	}
	if base > s.config.Version {
		// The token was judged by an older version than the change is made from.
		writeProblem(w, outcomeProblem(conflictWith(r.Header.Get(HeaderChangeID), s.config)))
		return
	}
	text, problem := readBody(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	h.submit(w, r, port.Change{
		ID:          r.Header.Get(HeaderChangeID),
		Operator:    s.operator,
		BaseVersion: base,
		Document:    text,
	})
}

// conflictWith returns the outcome of a change that can't follow the version.
func conflictWith(id string, config port.Config) port.Outcome {
	return port.Outcome{ChangeID: id, State: port.ChangeConflict, Version: config.Version, Digest: config.Digest}
}

// submit validates and submits a change and writes its outcome.
func (h *handler) submit(w http.ResponseWriter, r *http.Request, change port.Change) {
	outcome, problem := h.decide(r.Context(), change)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJSON(w, outcome)
}

// decide validates and submits a change. Only an accepted change has no
// problem.
func (h *handler) decide(ctx context.Context, change port.Change) (port.Outcome, *Problem) {
	if !validChangeID(change.ID) {
		return port.Outcome{}, changeIDProblem()
	}
	if faults := document.FaultsOf(change.Document); len(faults) > 0 {
		h.refuse(ctx, change)
		return port.Outcome{}, invalidProblem(faults)
	}
	outcome, err := h.Store.Submit(ctx, change)
	return h.ended(change.ID, change.Operator, outcome, err)
}

// ended logs how a change or a lift ended, and returns its outcome and problem.
func (h *handler) ended(id, operator string, outcome port.Outcome, err error) (port.Outcome, *Problem) {
	if errors.Is(err, port.ErrNoQuorum) {
		return port.Outcome{}, newProblem(http.StatusServiceUnavailable, CodeNoQuorum, "too few control VMs answer; nothing was proposed; see to them and send it again")
	}
	if errors.Is(err, register.ErrChangeIDReused) {
		return port.Outcome{}, newProblem(http.StatusConflict, CodeIDReused, "the change ID belongs to another change; nothing was changed by this one; send it with a new ID")
	}
	if err != nil {
		event.Log(context.Background(), h.Logger, event.ChangeUndecided, slog.Any("change", id), slog.Any("operator", operator), slog.Any("error", err))
		outcome = port.Outcome{ChangeID: id, State: port.ChangeUnknown}
	}
	event.Log(context.Background(), h.Logger, event.ChangeEnded, slog.Any("change", id), slog.Any("operator", operator), slog.Any("state", outcome.State), slog.Any("version", outcome.Version))
	return outcome, outcomeProblem(outcome)
}

// refuse records a change that has faults.
func (h *handler) refuse(ctx context.Context, change port.Change) {
	event.Log(context.Background(), h.Logger, event.ChangeRefused, slog.Any("change", change.ID), slog.Any("operator", change.Operator), slog.Any("state", port.ChangeInvalid))
	if h.RecordRefused == nil {
		return
	}
	if err := h.RecordRefused(ctx, change); err != nil {
		event.Log(context.Background(), h.Logger, event.RefusedNotRecorded, slog.Any("change", change.ID), slog.Any("error", err))
	}
}

// outcomeProblem returns the problem of an outcome, nil when it was accepted.
func outcomeProblem(outcome port.Outcome) *Problem {
	var p *Problem
	switch outcome.State {
	case port.ChangeAccepted, port.ChangeLifted:
		return nil
	case port.ChangeConflict:
		p = newProblem(http.StatusConflict, CodeConflict, conflictDetail(outcome))
	case port.ChangeInvalid:
		p = newProblem(http.StatusUnprocessableEntity, CodeInvalid, "the document has faults")
	default:
		p = newProblem(http.StatusGatewayTimeout, CodeUnknown, "the change may have been accepted; resend it with the same change ID")
	}
	p.Outcome = &outcome
	return p
}

func conflictDetail(outcome port.Outcome) string {
	detail := fmt.Sprintf("version %d (digest %.12s) is in the register", outcome.Version, outcome.Digest)
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
	text, problem := readBody(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
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
	text, problem := readBody(w, r)
	if problem != nil {
		writeProblem(w, problem)
		return
	}
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

// readBody reads a document's text.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, *Problem) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, document.MaxTextBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, newProblem(http.StatusRequestEntityTooLarge, CodeTooLarge,
			fmt.Sprintf("a document has at most %d bytes", document.MaxTextBytes))
	}
	if err != nil {
		return nil, newProblem(http.StatusBadRequest, CodeBadRequest, "the body can't be read: "+err.Error())
	}
	return text, nil
}

func changeIDProblem() *Problem {
	return newProblem(http.StatusBadRequest, CodeBadRequest,
		fmt.Sprintf("the header %s needs an ID of 1 to %d visible ASCII characters", HeaderChangeID, MaxChangeIDBytes))
}

// validChangeID says whether an ID is visible ASCII of a bounded length.
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
