package operatorhttp

import (
	"crypto/rand"
	"fmt"
	"net/http"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/port"
)

// liftQuarantine adds a lift to the audit trail and has it sent to the entries. A
// lift without a change ID gets a new one, so resending such a lift adds another
// record.
func (h *handler) liftQuarantine(w http.ResponseWriter, r *http.Request, s session) {
	f, err := fingerprint.Parse(chi.URLParam(r, "fingerprint"))
	if err != nil {
		writeProblem(w, newProblem(http.StatusBadRequest, CodeBadRequest,
			fmt.Sprintf("%v: a fingerprint is %d hex digits; GET /v1/status, or ctl status -o json, lists the quarantined fingerprints", err, 2*len(f))))
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
	if _, problem := h.finishChange(id, s.operator, outcome, err); problem != nil {
		writeProblem(w, problem)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
