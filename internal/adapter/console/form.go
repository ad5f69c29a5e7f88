package console

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"sassafrasreach/internal/adapter/intake"
)

// formCost is how many times its size a form takes besides: its decoded values, and the
// document and the page that are made of them.
const formCost = 8

// readForm reads and parses the form of a request, and returns the function that gives its
// memory back. On failure it writes the page and returns false.
func (s *server) readForm(w http.ResponseWriter, r *http.Request, maxBytes int64) (done func(), ok bool) {
	intake.Expect(w)
	body, err := s.Bodies.Read(w, r, maxBytes, time.Time{})
	if err != nil {
		s.refuseForm(w, r, err)
		return nil, false
	}
	text, err := body.Join(formCost)
	if err != nil {
		body.Done()
		s.refuseForm(w, r, err)
		return nil, false
	}
	r.Body = io.NopCloser(bytes.NewReader(text))
	if err := r.ParseForm(); err != nil {
		body.Done()
		s.render(w, http.StatusBadRequest, "message", message("The server cannot read the form: "+err.Error()))
		return nil, false
	}
	return body.Done, true
}

// refuseForm answers a request whose form couldn't be read. Nothing was changed.
func (s *server) refuseForm(w http.ResponseWriter, r *http.Request, err error) {
	status, reason := intake.Classify(err)
	s.Refusals.Record("operators", reason, r.RemoteAddr)
	intake.CloseAfter(w, func() {
		s.render(w, status, "message", message("The server cannot read the form, and nothing was changed: "+err.Error()))
	})
}
