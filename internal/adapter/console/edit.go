package console

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"strings"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/port"
)

// maxFormBytes bounds a form. Larger documents are edited with the client at
// the command line.
const maxFormBytes = 8 << 20

// maxFields bounds the document's fields in a form: net/http reads forms of at
// most 10,000 fields.
const maxFields = 9_900

// Actions of the form's buttons. Add and remove are followed by a path.
const (
	actionAdd    = "add "
	actionRemove = "remove "
	actionEdit   = "edit"
	actionReview = "review"
	actionSubmit = "submit"
)

// draft is a document being edited.
type draft struct {
	// FormToken is the session's.
	FormToken string
	// Operator is the operator's name.
	Operator string
	// Base is the version that the draft was opened at.
	Base uint64
	// ChangeID is the ID that the draft is submitted with. Each review gives a
	// new one, so that a draft that was edited further is another change.
	ChangeID string
	// values are the texts of the fields.
	values values
}

// editPage is the page of forms.
type editPage struct {
	draft
	// Message says what happened; empty for nothing.
	Message string
	// Faults are those that belong to no field.
	Faults []string
	// FaultCount is the number of all faults.
	FaultCount int
	// Lists are the document's.
	Lists []listView
	// Names are the known values for fields that choose a name.
	Names map[string][]string
	// Theirs is what differs between the draft's own version and the one in
	// force, after a conflict.
	Theirs []document.Difference
}

func (s *server) open(w http.ResponseWriter, r *http.Request) {
	found, ok := s.session(r)
	if !ok {
		s.render(w, http.StatusOK, "signin", signInPage{})
		return
	}
	opened, err := s.backend.Open(r.Context(), found.token)
	if err != nil {
		s.failed(w, err)
		return
	}
	d := draft{
		FormToken: found.formToken,
		Operator:  opened.Operator,
		Base:      opened.Config.Version,
		values:    valuesOf(opened.Document),
	}
	s.showEdit(w, http.StatusOK, editPage{draft: d}, nil)
}

func (s *server) showEdit(w http.ResponseWriter, status int, page editPage, faults document.Faults) {
	if len(page.values) > maxFields {
		s.render(w, http.StatusOK, "message", message(fmt.Sprintf(
			"The document has %d fields, more than the %d of a form. Edit it with ctl get and ctl apply.", len(page.values), maxFields)))
		return
	}
	viewer := newViewer(page.values, faults)
	page.Faults = viewer.faults[""]
	page.FaultCount = len(faults)
	page.Lists = viewer.lists("", reflect.TypeFor[document.Document]())
	page.Names = page.values.names()
	s.render(w, status, "edit", page)
}

// names returns the known values for fields that choose a name.
func (v values) names() map[string][]string {
	out := make(map[string][]string)
	collect := func(id, list string) {
		for i := range v.count(list) {
			if name := v[index(list, i)+".name"]; name != "" {
				out[id] = append(out[id], name)
			}
		}
	}
	collect("regions", "regions")
	collect("places", "places")
	collect("ends", "places")
	collect("ends", "regions")
	collect("services", "services")
	for i := range v.count("places") {
		collect("entries", index("places", i)+".entries")
	}
	return out
}

func (s *server) edit(w http.ResponseWriter, r *http.Request, found session) {
	opened, err := s.backend.Open(r.Context(), found.token)
	if err != nil {
		s.failed(w, err)
		return
	}
	base, err := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	if err != nil {
		s.render(w, http.StatusBadRequest, "message", message("The form has no version: open the document again."))
		return
	}
	d := draft{
		FormToken: found.formToken,
		Operator:  opened.Operator,
		Base:      base,
		ChangeID:  r.PostForm.Get("change_id"),
		values:    valuesFrom(r.PostForm),
	}
	action := r.PostForm.Get("action")
	switch {
	case strings.HasPrefix(action, actionAdd):
		d.values.add(strings.TrimPrefix(action, actionAdd))
		s.showEdit(w, http.StatusOK, editPage{draft: d}, nil)
	case strings.HasPrefix(action, actionRemove):
		d.values.remove(strings.TrimPrefix(action, actionRemove))
		s.showEdit(w, http.StatusOK, editPage{draft: d}, nil)
	case action == actionEdit:
		s.showEdit(w, http.StatusOK, editPage{draft: d}, nil)
	case action == actionReview:
		s.review(w, d, opened)
	case action == actionSubmit && d.ChangeID == "":
		s.render(w, http.StatusBadRequest, "message", message("The form has no change ID: review the draft first."))
	case action == actionSubmit:
		s.submit(w, r, d, opened)
	default:
		s.render(w, http.StatusBadRequest, "message", message("The form has no such button: open the document again."))
	}
}

// checked returns the draft's document, or shows its faults at their fields.
func (s *server) checked(w http.ResponseWriter, d draft) (*document.Document, bool) {
	doc, faults := d.values.document()
	if len(faults) == 0 {
		faults = doc.Validate()
	}
	if len(faults) > 0 {
		s.showEdit(w, http.StatusUnprocessableEntity, editPage{draft: d}, faults)
		return nil, false
	}
	return doc, true
}

// reviewPage shows what a draft would change.
type reviewPage struct {
	draft
	// Current is the version in force that the draft is compared with.
	Current uint64
	// Differences are what the draft would change.
	Differences []document.Difference
	// Moves is the traffic that would lose its place.
	Moves []document.Move
	// Text is the document.
	Text string
	// Message says what happened; empty for nothing.
	Message string
}

// Hidden returns the draft's fields.
func (d draft) Hidden() map[string]string {
	out := make(map[string]string, len(d.values))
	for path, text := range d.values {
		out[fieldPrefix+path] = text
	}
	return out
}

func (s *server) review(w http.ResponseWriter, d draft, opened Opened) {
	doc, ok := s.checked(w, d)
	if !ok {
		return
	}
	if d.Base != opened.Config.Version {
		s.showConflict(w, d, opened)
		return
	}
	d.ChangeID = rand.Text()
	s.showReview(w, http.StatusOK, d, doc, opened, "")
}

func (s *server) showReview(w http.ResponseWriter, status int, d draft, doc *document.Document, opened Opened, text string) {
	yaml, err := document.Marshal(doc)
	if err != nil {
		s.failed(w, err)
		return
	}
	s.render(w, status, "review", reviewPage{
		draft:       d,
		Current:     opened.Config.Version,
		Differences: document.Diff(opened.Document, doc),
		Moves:       document.Moves(opened.Document, doc),
		Text:        string(yaml),
		Message:     text,
	})
}

// showConflict shows the draft with what it would take back of the version in
// force. Its base stays, so that it can't overwrite that version.
func (s *server) showConflict(w http.ResponseWriter, d draft, opened Opened) {
	page := editPage{draft: d, Message: fmt.Sprintf(
		"Version %d was accepted after you opened version %d. Nothing was changed by you. Open the new version and make your changes there; the differences from it to your draft are below.",
		opened.Config.Version, d.Base)}
	if doc, faults := d.values.document(); len(faults) == 0 {
		page.Theirs = document.Diff(opened.Document, doc)
	}
	s.showEdit(w, http.StatusConflict, page, nil)
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, d draft, opened Opened) {
	doc, ok := s.checked(w, d)
	if !ok {
		return
	}
	text, err := document.Marshal(doc)
	if err != nil {
		s.failed(w, err)
		return
	}
	outcome, faults, err := s.backend.Submit(r.Context(), port.Change{
		ID:          d.ChangeID,
		Operator:    d.Operator,
		BaseVersion: d.Base,
		Document:    text,
	})
	if err != nil {
		s.failed(w, err)
		return
	}
	switch outcome.State {
	case port.ChangeAccepted:
		s.render(w, http.StatusOK, "accepted", outcome)
	case port.ChangeConflict:
		s.conflict(w, r, d, opened)
	case port.ChangeInvalid:
		s.showEdit(w, http.StatusUnprocessableEntity, editPage{draft: d}, faults)
	default:
		s.showReview(w, http.StatusGatewayTimeout, d, doc, opened,
			"The change may have been accepted. Send it again to learn which: it has the same ID, so it isn't made twice.")
	}
}

// conflict shows the version that won; opened is used when it can't be read.
func (s *server) conflict(w http.ResponseWriter, r *http.Request, d draft, opened Opened) {
	if found, ok := s.session(r); ok {
		if newest, err := s.backend.Open(r.Context(), found.token); err == nil {
			opened = newest
		}
	}
	s.showConflict(w, d, opened)
}
