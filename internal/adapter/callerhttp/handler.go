package callerhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/go-chi/chi/v5"

	"sassafrasreach/internal/adapter/intake"
	"sassafrasreach/internal/adapter/refusals"
	"sassafrasreach/internal/core/strictjson"
	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// maxAnnouncementBytes limits the body of an announcement.
	maxAnnouncementBytes = 16 << 10
	// retryAfterSeconds is the Retry-After of a response to a request for whose body there
	// was no memory.
	retryAfterSeconds = "1"
)

// Options configure the handler.
type Options struct {
	// Entry handles look-ups, requests and announcements.
	Entry port.Entry
	// Name is the name of the entry VM, sent in HeaderEntry.
	Name string
	// Clock is used to compute deadlines.
	Clock port.Clock
	// Bodies reads the bodies of requests, and Refusals records those refused; both may be
	// nil.
	Bodies   *intake.Intake
	Refusals *refusals.Recorder
	// Metrics serves GET /v1/metrics; nil omits the route.
	Metrics http.Handler
	// Stopping reports whether a graceful shutdown has begun. From then on, each
	// connection is closed after its next response. Nil means never.
	Stopping func() bool
}

type handler struct {
	entry    port.Entry
	name     string
	clock    port.Clock
	bodies   *intake.Intake
	refusals *refusals.Recorder
}

// New returns the handler of all routes of the package.
func New(opts Options) http.Handler {
	h := &handler{entry: opts.Entry, name: opts.Name, clock: opts.Clock, bodies: opts.Bodies, refusals: opts.Refusals}
	r := chi.NewRouter()
	r.Use(resetWriteDeadline, intake.IgnoreBodies) // but for those that intake.Expect precedes
	h.healthRoutes(r, opts.Metrics)
	r.Get("/v1/lookup", h.lookup)
	r.Put("/v1/endpoints/{id}", h.announce)
	r.HandleFunc("/s/{service}", h.serve)
	r.HandleFunc("/s/{service}/*", h.serve)
	if opts.Stopping != nil {
		return CloseConnectionsWhen(opts.Stopping, r)
	}
	return r
}

// NewHealth returns a handler that serves only health checks and metrics. Nil
// metrics omits their route.
func NewHealth(entry port.Entry, metrics http.Handler) http.Handler {
	h := &handler{entry: entry}
	r := chi.NewRouter()
	r.Use(intake.IgnoreBodies)
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

// CloseConnectionsWhen closes each connection after its next response once stopping
// returns true, so that no connection has to be closed during a request.
func CloseConnectionsWhen(stopping func() bool, next http.Handler) http.Handler {
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
	result, err := h.entry.Lookup(q)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, result)
}

func (h *handler) announce(w http.ResponseWriter, r *http.Request) {
	var a port.Announcement
	intake.Expect(w)
	body, err := h.bodies.Read(w, r, maxAnnouncementBytes, time.Time{})
	if err != nil {
		h.refuseBody(w, r, time.Time{}, err)
		return
	}
	defer body.Done()
	text, err := body.Join(0)
	if err == nil {
		err = strictjson.DecodeKnown(text, &a)
	}
	if err != nil {
		writeProblem(w, badRequest(err))
		return
	}
	if id := chi.URLParam(r, "id"); a.ID != id {
		writeProblem(w, badRequest(fmt.Errorf("endpoint ID is %q in the body but %q in the path", a.ID, id)))
		return
	}
	result, err := h.entry.Announce(r.Context(), a)
	if err != nil {
		writeProblem(w, err)
		return
	}
	writeJSON(w, result)
}

// badRequest returns the error of a malformed request.
func badRequest(cause error) error {
	return verdict.NewError(verdict.NotRun, verdict.ReasonBadRequest, cause)
}

// clientAddr returns the remote address of the connection, or the zero value if it
// isn't an IP address with a port.
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
		writeProblem(w, fmt.Errorf("encode response: %w", err))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// resetWriteDeadline removes the deadline that the last response on the connection may have
// left.
func resetWriteDeadline(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{})
		next.ServeHTTP(w, r)
	})
}
