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

// maxFormBytes is the maximum size of a form. Larger documents must be edited with
// ctl, the command-line client.
const maxFormBytes = 8 << 20

// maxFields is the maximum number of document fields in a form; net/http reads at
// most 10,000 fields in all.
const maxFields = 9_900

// Actions of the form's buttons. A path in the document follows actionAdd and
// actionRemove.
const (
	actionAdd    = "add "
	actionRemove = "remove "
	actionEdit   = "edit"
	actionReview = "review"
	actionSubmit = "submit"
)

// draft is a document being edited.
type draft struct {
	// FormToken is the form token of the session.
	FormToken string
	// Operator is the operator's name.
	Operator string
	// Base is the version of the document that the draft was made from.
	Base uint64
	// ChangeID is the ID of the change that submits the draft. Each review
	// generates a new one, so a draft that was edited further is another change.
	ChangeID string
	// values holds the texts of the document's fields.
	values values
}

// editPage is the page that edits a draft.
type editPage struct {
	draft
	// Message tells the operator about a conflict; empty if there is none.
	Message string
	// Faults are the faults that belong to no element of the page.
	Faults []string
	// FaultCount is the number of all faults, those at fields included.
	FaultCount int
	// Lists are the top-level lists of the document.
	Lists []listView
	// Names maps the ID of a datalist to the names that it suggests.
	Names map[string][]string
	// Conflicting lists the differences between the document in force and the
	// draft, after a conflict.
	Conflicting []document.Difference
}

func (s *server) open(w http.ResponseWriter, r *http.Request) {
	found, ok := s.session(r)
	if !ok {
		s.render(w, http.StatusOK, "signin", signInPage{})
		return
	}
	opened, err := s.backend.Open(r.Context(), found.token)
	if err != nil {
		s.renderError(w, err)
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
			"The document has %d fields, more than the maximum of %d in a form. Edit it with ctl get and ctl apply.", len(page.values), maxFields)))
		return
	}
	viewer := newViewer(page.values, faults)
	page.Faults = viewer.faults[""]
	page.FaultCount = len(faults)
	page.Lists = viewer.lists("", reflect.TypeFor[document.Document]())
	page.Names = page.values.names()
	s.render(w, status, "edit", page)
}

// names returns the names that each datalist suggests, by the datalist's ID.
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
		s.renderError(w, err)
		return
	}
	base, err := strconv.ParseUint(r.PostForm.Get("base"), 10, 64)
	if err != nil {
		s.render(w, http.StatusBadRequest, "message", message("The form has no base version. Open the document again."))
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
		s.render(w, http.StatusBadRequest, "message", message("The form has no change ID. Review the changes before you submit them."))
	case action == actionSubmit:
		s.submit(w, r, d, opened)
	default:
		s.render(w, http.StatusBadRequest, "message", message("The form has no such action. Open the document again."))
	}
}

// validDocument returns the draft's document if it is valid. Otherwise it renders
// the draft with its faults at their fields and returns false.
func (s *server) validDocument(w http.ResponseWriter, d draft) (*document.Document, bool) {
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

// reviewPage is the page that shows what a draft would change.
type reviewPage struct {
	draft
	// Current is the version in force, with which the draft is compared.
	Current uint64
	// Differences lists the fields that the draft would change.
	Differences []document.Difference
	// Moves lists the traffic that would leave its place.
	Moves []document.Move
	// Text is the draft's document as YAML.
	Text string
	// Message tells the operator that the outcome is unknown; empty before the
	// first submission.
	Message string
}

// Hidden returns the document's fields by the names of their HTML inputs. The
// review page sends them back in hidden inputs.
func (d draft) Hidden() map[string]string {
	out := make(map[string]string, len(d.values))
	for path, text := range d.values {
		out[fieldPrefix+path] = text
	}
	return out
}

func (s *server) review(w http.ResponseWriter, d draft, opened Opened) {
	doc, ok := s.validDocument(w, d)
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
		s.renderError(w, err)
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

// showConflict shows the draft and the differences from the version in force to
// it. The draft keeps its base, so that it can't overwrite that version.
func (s *server) showConflict(w http.ResponseWriter, d draft, opened Opened) {
	page := editPage{draft: d, Message: fmt.Sprintf(
		"Version %d was accepted after you opened version %d, so your changes were not applied. Open the new version and make your changes there. The table shows the differences from the new version to your draft.",
		opened.Config.Version, d.Base)}
	if doc, faults := d.values.document(); len(faults) == 0 {
		page.Conflicting = document.Diff(opened.Document, doc)
	}
	s.showEdit(w, http.StatusConflict, page, nil)
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, d draft, opened Opened) {
	doc, ok := s.validDocument(w, d)
	if !ok {
		return
	}
	text, err := document.Marshal(doc)
	if err != nil {
		s.renderError(w, err)
		return
	}
	outcome, faults, err := s.backend.Submit(r.Context(), port.Change{
		ID:          d.ChangeID,
		Operator:    d.Operator,
		BaseVersion: d.Base,
		Document:    text,
	})
	if err != nil {
		s.renderError(w, err)
		return
	}
	switch outcome.State {
	case port.ChangeAccepted:
		s.render(w, http.StatusOK, "accepted", outcome)
	case port.ChangeConflict:
		s.showNewestConflict(w, r, d, opened)
	case port.ChangeInvalid:
		s.showEdit(w, http.StatusUnprocessableEntity, editPage{draft: d}, faults)
	default:
		s.showReview(w, http.StatusGatewayTimeout, d, doc, opened,
			"The change may have been accepted. Send it again to learn its outcome: it keeps its ID, so it cannot be applied twice.")
	}
}

// showNewestConflict shows the conflict with the newest version, or with opened
// when the newest one can't be read.
func (s *server) showNewestConflict(w http.ResponseWriter, r *http.Request, d draft, opened Opened) {
	if found, ok := s.session(r); ok {
		if newest, err := s.backend.Open(r.Context(), found.token); err == nil {
			opened = newest
		}
	}
	s.showConflict(w, d, opened)
}
