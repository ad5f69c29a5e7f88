package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// Options configure the handler.
type Options struct {
	// Entry decides.
	Entry port.Entry
	// Name is the entry's name, for HeaderEntry.
	Name string
	// Clock gives the time.
	Clock port.Clock
	// Metrics serves GET /v1/metrics; nil leaves the route out.
	Metrics http.Handler
	// Stopping says whether a planned stop has begun; then each answer closes
	// its connection. Nil means never.
	Stopping func() bool
}

type handler struct {
	entry port.Entry
	name  string
	clock port.Clock
}

// New returns the handler of the callers' interface.
func New(opts Options) http.Handler {
	h := &handler{entry: opts.Entry, name: opts.Name, clock: opts.Clock}
	r := chi.NewRouter()
	h.healthRoutes(r, opts.Metrics)
	r.Get("/v1/lookup", h.lookup)
	r.Put("/v1/endpoints/{id}", h.announce)
	r.HandleFunc("/s/{service}", h.serve)
	r.HandleFunc("/s/{service}/*", h.serve)
	if opts.Stopping != nil {
		return closeWhen(opts.Stopping, r)
	}
	return r
}

// NewHealth returns the handler of a listener for health and metrics alone.
func NewHealth(entry port.Entry, metrics http.Handler) http.Handler {
	h := &handler{entry: entry}
	r := chi.NewRouter()
	h.healthRoutes(r, metrics)
	return r
}

func (h *handler) healthRoutes(r chi.Router, metrics http.Handler) {
	r.Get("/healthz", h.health)
	r.Get("/readyz", h.ready)
	if metrics != nil {
		r.Method(http.MethodGet, "/v1/metrics", metrics)
	}
}

// closeWhen closes callers' connections after their next answer once stopping
// says so, so that none is closed under a request.
func closeWhen(stopping func() bool, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	ok, why := h.entry.Ready()
	if !ok {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *handler) lookup(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	q := port.LookupQuery{
		Service: query.Get("service"),
		Place:   query.Get("place"),
		Client:  clientAddr(r),
	}
	answer, err := h.entry.Lookup(q)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, answer)
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var a port.Announcement
	body := http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&a); err != nil {
		writeProblem(w, badRequest(err))
		return
	}
	if id := chi.URLParam(r, "id"); a.ID != id {
		writeProblem(w, badRequest(fmt.Errorf("id %q in the body, %q in the path", a.ID, id)))
		return
	}
	answer, err := h.entry.Announce(r.Context(), a)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, answer)
}

// badRequest returns the error of a request that can't be understood.
func badRequest(cause error) error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, cause)
}

// clientAddr returns the address of the caller's connection; the zero value
// when it can't be told.
func clientAddr(r *http.Request) netip.Addr {
	ap, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return ap.Addr().Unmap()
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeProblem(w, fmt.Errorf("encode answer: %w", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// isTooLarge says whether err comes from http.MaxBytesReader.
func isTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}
