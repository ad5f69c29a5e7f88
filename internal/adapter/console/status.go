package console

import (
	"net/http"

	"sassafrasreach/internal/port"
)

// message is a page that only says something.
type message string

// statusPage shows the version in force at each entry.
type statusPage struct {
	// Status is what this control VM knows.
	Status port.ControlStatus
	// Missing are the document's entries that no control VM heard of.
	Missing []string
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	found, ok := s.session(r)
	if !ok {
		s.render(w, http.StatusUnauthorized, "signin", signInPage{Message: "Sign in first."})
		return
	}
	opened, err := s.backend.Open(r.Context(), found.token)
	if err != nil {
		s.failed(w, err)
		return
	}
	status, err := s.backend.Status(r.Context())
	if err != nil {
		s.failed(w, err)
		return
	}
	heard := make(map[string]bool, len(status.Entries))
	for _, e := range status.Entries {
		heard[e.Name] = true
	}
	page := statusPage{Status: status}
	for _, name := range opened.Document.EntryNames() {
		if !heard[name] {
			page.Missing = append(page.Missing, name)
		}
	}
	s.render(w, http.StatusOK, "status", page)
}
