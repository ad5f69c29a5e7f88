package operatorhttp

import (
	"crypto/rand"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/port"
)

// liftQuarantine records a lift and has it told to the entries. A lift without
// a change ID gets one, and a resend of it a record of its own.
func (h *handler) liftQuarantine(w http.ResponseWriter, r *http.Request, s session) {
	f, err := fingerprint.Parse(chi.URLParam(r, "fingerprint"))
	if err != nil {
		writeProblem(w, newProblem(http.StatusBadRequest, CodeBadRequest,
			fmt.Sprintf("%v: a fingerprint is %d hex digits; GET /v1/status, or ctl status -o json, lists those in quarantine", err, 2*len(f))))
		return
	}
	id := r.Header.Get(HeaderChangeID)
	if id == "" {
		id = rand.Text()
	}
	if !validChangeID(id) {
		writeProblem(w, changeIDProblem())
		return
	}
	outcome, err := h.Store.LiftQuarantine(r.Context(), port.Lift{ID: id, Operator: s.operator, Fingerprint: f.String()})
	if _, problem := h.ended(id, s.operator, outcome, err); problem != nil {
		writeProblem(w, problem)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
