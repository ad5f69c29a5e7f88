package console

import (
	"net/http"

	"sassafrasreach/internal/port"
)

// message is the text of a page that shows only a message.
type message string

// statusPage is the page with the version in force at each entry.
type statusPage struct {
	// Status is the status of the system as known to this control VM.
	Status port.ControlStatus
	// Missing lists the document's entries for which Status has no report.
	Missing []string
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	found, ok := s.session(r)
	if !ok {
		s.render(w, http.StatusUnauthorized, "signin", signInPage{Message: "Sign in first: you have no session, or it has ended."})
		return
	}
	opened, err := s.backend.Open(r.Context(), found.token)
	if err != nil {
		s.renderError(w, err)
		return
	}
	status, err := s.backend.Status(r.Context())
	if err != nil {
		s.renderError(w, err)
		return
	}
	reported := make(map[string]bool, len(status.Entries))
	for _, e := range status.Entries {
		reported[e.Name] = true
	}
	page := statusPage{Status: status}
	for _, name := range opened.Document.EntryNames() {
		if !reported[name] {
			page.Missing = append(page.Missing, name)
		}
	}
	s.render(w, http.StatusOK, "status", page)
}
