package console

import (
	"context"
	"embed"
	"errors"
	"html/template"
	"log/slog"
	"net/http"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/refusals"
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// Path is the URL path at which the console is mounted.
const Path = "/console"

// ErrUnauthorized means that a token belongs to no operator.
var ErrUnauthorized = errors.New("the token doesn't belong to an operator in the document in force")

// Opened holds the document in force and the operator who opened it.
type Opened struct {
	// Operator is the operator's name.
	Operator string
	// Config is the document in force as text, with its version; version 0 means
	// that there is none.
	Config port.Config
	// Document is Config's document, parsed; it must not be modified.
	Document *document.Document
}

// Backend authenticates operators, submits changes and returns the status.
type Backend interface {
	// Open returns the document in force and the operator with the token. The
	// error is ErrUnauthorized when no operator has the token, and port.ErrNoQuorum
	// when too few control VMs responded.
	Open(ctx context.Context, token string) (Opened, error)
	// Submit validates and submits a change. The error is port.ErrNoQuorum when
	// nothing was proposed. The faults are set when validation found the document
	// invalid.
	Submit(ctx context.Context, change port.Change) (port.Outcome, document.Faults, error)
	// Status returns the status of the system as known to this control VM.
	Status(ctx context.Context) (port.ControlStatus, error)
}

//go:embed templates
var files embed.FS

// Options are the dependencies of the console.
type Options struct {
	Clock  port.Clock
	Logger *slog.Logger
	// Bodies reads forms, and Refusals records those refused; both may be nil.
	Bodies   *intake.Intake
	Refusals *refusals.Recorder
}

// server serves the console's pages.
type server struct {
	Options
	backend  Backend
	sessions *sessions
	pages    *template.Template
}

// New returns the console's handler, to be mounted at Path.
func New(backend Backend, opts Options) http.Handler {
	s := &server{
		Options:  opts,
		backend:  backend,
		sessions: newSessions(),
		pages:    template.Must(template.ParseFS(files, "templates/*.html")),
	}
	r := chi.NewRouter()
	r.Use(http.NewCrossOriginProtection().Handler, securityHeaders)
	r.Get("/", s.open)
	r.Get("/style.css", s.style)
	r.Post("/sign-in", s.signIn)
	r.Post("/sign-out", s.signedIn(s.signOut))
	r.Post("/edit", s.signedIn(s.edit))
	r.Get("/status", s.status)
	return r
}

// securityHeaders sets headers that forbid browsers to frame or cache the pages
// and to load content from other sites.
func securityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "same-origin")
		h.Set("Cache-Control", "no-store")
		next.ServeHTTP(w, r)
	})
}

func (s *server) style(w http.ResponseWriter, r *http.Request) {
	http.ServeFileFS(w, r, files, "templates/style.css")
}

// render writes a page from its template.
func (s *server) render(w http.ResponseWriter, status int, page string, data any) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	w.WriteHeader(status)
	if err := s.pages.ExecuteTemplate(w, page, data); err != nil {
		event.Log(context.Background(), s.Logger, event.ConsolePartial, slog.Any("page", page), slog.Any("error", err))
	}
}
