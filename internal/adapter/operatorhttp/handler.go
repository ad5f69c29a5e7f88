package operatorhttp

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/console"
	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/refusals"
	"sassafrasreach/internal/port"
)

// DefaultTimeout bounds the work on one request.
const DefaultTimeout = 10 * time.Second

// Options are the dependencies and settings of the handler.
type Options struct {
	// Store is the register of the document.
	Store port.ConfigStore
	// BootstrapTokenSHA256 is the hex SHA-256 of the token that may apply the
	// first document; empty means that none can be applied. It is ignored once
	// the register holds a document.
	BootstrapTokenSHA256 string
	// Clock gives the time.
	Clock port.Clock
	// Logger receives the log records; nil means slog.Default.
	Logger *slog.Logger
	// Bodies reads the bodies of requests, and Refusals records those refused; both may be
	// nil.
	Bodies   *intake.Intake
	Refusals *refusals.Recorder
	// Timeout bounds the work on one request; 0 means DefaultTimeout.
	Timeout time.Duration
	// RecordRefused adds a change with faults to the audit trail, since the
	// handler doesn't pass such a change to Store.Submit; nil means that it is only
	// logged.
	RecordRefused func(ctx context.Context, change port.Change) error
}

// handler serves the requests of operators.
type handler struct {
	Options
	documentCache documentCache
}

// New returns the handler of the operators' interface, with the console at console.Path.
func New(options Options) http.Handler {
	if options.Logger == nil {
		options.Logger = slog.Default()
	}
	if options.Clock == nil {
		options.Clock = port.ClockFunc(time.Now)
	}
	if options.Timeout == 0 {
		options.Timeout = DefaultTimeout
	}
	h := &handler{Options: options}
	r := chi.NewRouter()
	r.Use(intake.IgnoreBodies, h.withTimeout) // but for bodies that Bodies reads
	r.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, newProblem(http.StatusNotFound, CodeNotFound, "the path "+r.URL.Path+" does not exist; docs/reference/operators-http.md lists all paths"))
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeProblem(w, newProblem(http.StatusMethodNotAllowed, CodeMethod, r.URL.Path+" does not support the method "+r.Method))
	})
	r.Get("/healthz", h.healthz)
	r.Get("/readyz", h.readyz)
	r.Get("/v1/status", h.status)
	r.Get("/v1/document", h.authenticated(h.getDocument))
	r.Put("/v1/document", h.authenticated(h.putDocument))
	r.Post("/v1/validate", h.authenticated(h.validate))
	r.Post("/v1/diff", h.authenticated(h.diff))
	r.Get("/v1/audit", h.authenticated(h.audit))
	r.Post("/v1/drains", h.authenticated(h.addDrain))
	r.Delete("/v1/drains", h.authenticated(h.removeDrain))
	r.Delete("/v1/quarantine/{fingerprint}", h.authenticated(h.liftQuarantine))
	r.Mount(console.Path, console.New(consoleBackend{h}, console.Options{
		Clock: h.Clock, Logger: h.Logger, Bodies: h.Bodies, Refusals: h.Refusals,
	}))
	return r
}

// withTimeout limits the context of each request to the handler's timeout.
func (h *handler) withTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), h.Timeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func (h *handler) healthz(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, struct {
		Healthy bool `json:"healthy"`
	}{true})
}

// readyz reports whether this VM reaches a quorum, which changes need.
func (h *handler) readyz(w http.ResponseWriter, r *http.Request) {
	status, err := h.Store.Status(r.Context())
	if err != nil {
		writeProblem(w, readProblem(err))
		return
	}
	if !status.Quorum {
		writeProblem(w, readProblem(port.ErrNoQuorum))
		return
	}
	writeJSON(w, struct {
		Ready bool `json:"ready"`
	}{true})
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.Store.Status(r.Context())
	if err != nil {
		writeProblem(w, readProblem(err))
		return
	}
	writeJSON(w, status)
}

func (h *handler) audit(w http.ResponseWriter, r *http.Request, _ session) {
	records, err := h.Store.Audit(r.Context())
	if err != nil {
		writeProblem(w, readProblem(err))
		return
	}
	if records == nil {
		records = []port.AuditRecord{}
	}
	writeJSON(w, records)
}

// readProblem returns the problem of a failed read.
func readProblem(err error) *Problem {
	if errors.Is(err, port.ErrNoQuorum) || errors.Is(err, context.DeadlineExceeded) {
		return newProblem(http.StatusServiceUnavailable, CodeNoQuorum, "too few control VMs responded for a quorum; restore them and retry: "+err.Error())
	}
	return newProblem(http.StatusInternalServerError, CodeInternal, err.Error())
}
