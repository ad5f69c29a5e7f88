package operatorhttp

import (
	"net/http"
	"slices"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/strictjson"
	"sassafrasreach/internal/port"
)

// maxDrainBytes is the maximum size of a DrainRequest's body.
const maxDrainBytes = 4 << 10

func (h *handler) addDrain(w http.ResponseWriter, r *http.Request, s session) {
	var request DrainRequest
	text, done, ok := h.readBody(w, r, maxDrainBytes, func([]byte) int64 { return 0 })
	if !ok {
		return
	}
	defer done()
	if err := strictjson.DecodeKnown(text, &request); err != nil {
		writeProblem(w, newProblem(http.StatusBadRequest, CodeBadRequest, "the body is not a valid drain: "+err.Error()))
		return
	}
	h.editDrains(w, r, s, func(drains []document.Drain) ([]document.Drain, *Problem) {
		for _, d := range drains {
			if d.Place == request.Place && d.Service == request.Service {
				return nil, newProblem(http.StatusConflict, CodeConflict, "the place is already drained; to change the reason, remove the existing drain first; its reason is: "+d.Reason)
			}
		}
		return append(drains, document.Drain(request)), nil
	})
}

func (h *handler) removeDrain(w http.ResponseWriter, r *http.Request, s session) {
	place := r.URL.Query().Get(QueryPlace)
	service := r.URL.Query().Get(QueryService)
	h.editDrains(w, r, s, func(drains []document.Drain) ([]document.Drain, *Problem) {
		left := slices.DeleteFunc(slices.Clone(drains), func(d document.Drain) bool {
			return d.Place == place && d.Service == service
		})
		if len(left) == len(drains) {
			return nil, newProblem(http.StatusNotFound, CodeNotFound, "no such drain exists; GET /v1/document, or ctl get, shows the drains in force")
		}
		return left, nil
	})
}

// editDrains submits the document in force with the drains that alter returns. A
// resend whose outcome is in the audit trail gets that outcome: the document in
// force may have changed since, so a resend could differ from the first change.
func (h *handler) editDrains(w http.ResponseWriter, r *http.Request, s session, alter func([]document.Drain) ([]document.Drain, *Problem)) {
	id := r.Header.Get(HeaderChangeID)
	first, found, err := h.firstOutcome(r, id)
	if err != nil {
		writeProblem(w, readProblem(err))
		return
	}
	if found {
		writeOutcome(w, first)
		return
	}
	if s.config.Version == 0 {
		writeProblem(w, newProblem(http.StatusNotFound, CodeNotFound, noDocumentDetail))
		return
	}
	drains, problem := alter(slices.Clone(s.document.Drains))
	if problem != nil {
		writeProblem(w, problem)
		return
	}
	text, err := document.ReplaceDrains(s.config.Document, drains)
	if err != nil {
		writeProblem(w, newProblem(http.StatusInternalServerError, CodeInternal, err.Error()))
		return
	}
	h.submit(w, r, port.Change{ID: id, Operator: s.operator, BaseVersion: s.config.Version, Document: text})
}

// firstOutcome returns the outcome of the first change of the document that the
// audit trail has for a change ID. It ignores quarantine lifts.
func (h *handler) firstOutcome(r *http.Request, id string) (port.Outcome, bool, error) {
	records, err := h.Store.Audit(r.Context())
	if err != nil {
		return port.Outcome{}, false, err
	}
	for _, record := range records {
		if record.ChangeID == id && record.State != port.ChangeLifted {
			return port.Outcome{
				ChangeID: id,
				State:    record.State,
				Version:  record.To,
				Digest:   record.Digest,
				Operator: record.Operator,
			}, true, nil
		}
	}
	return port.Outcome{}, false, nil
}

func writeOutcome(w http.ResponseWriter, outcome port.Outcome) {
	if problem := outcomeProblem(outcome); problem != nil {
		writeProblem(w, problem)
		return
	}
	writeJSON(w, outcome)
}
