package operatorhttp

import (
	"context"
	"crypto/subtle"
	"log/slog"
	"net/http"
	"strings"

	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// BootstrapOperator is the operator's name in the audit trail of the change
// that was made with the bootstrap token.
const BootstrapOperator = "bootstrap"

// session is an authenticated request's operator, and the document in the
// register that says so, as text and as parsed. The parsed one is shared and
// must not be altered; without a version it is empty.
type session struct {
	operator string
	config   port.Config
	document *document.Document
}

// authenticated calls next for requests that carry the token of an operator.
// The token is judged by a quorum's newest document, never by a stale one: a
// removed operator stays removed on an isolated VM.
func (h *handler) authenticated(next func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := bearer(r)
		if !ok {
			writeProblem(w, newProblem(http.StatusUnauthorized, CodeUnauthorized, "a bearer token is needed; ctl sends that of -token-file"))
			return
		}
		s, problem := h.authenticate(r.Context(), token)
		if problem != nil {
			writeProblem(w, problem)
			return
		}
		next(w, r, s)
	}
}

// authenticate finds the operator of a token.
func (h *handler) authenticate(ctx context.Context, token string) (session, *Problem) {
	config, err := h.Store.Current(ctx)
	if err != nil {
		return session{}, readProblem(err)
	}
	doc, err := h.parsed.get(config)
	if err != nil {
		event.Log(context.Background(), h.Logger, event.RegisterUnreadable, slog.Any("version", config.Version), slog.Any("error", err))
		return session{}, newProblem(http.StatusInternalServerError, CodeInternal, "the document in the register can't be read; see this control VM's log")
	}
	operator := h.operatorOf(config, doc, document.Digest([]byte(token)))
	if operator == "" {
		event.Log(context.Background(), h.Logger, event.TokenRefused, slog.Any("version", config.Version))
		return session{}, newProblem(http.StatusUnauthorized, CodeUnauthorized,
			"the token isn't of an operator in the document in force; a resend of a change that replaced the token needs the new token and the same change ID")
	}
	return session{operator: operator, config: config, document: doc}, nil
}

// operatorOf returns the name of the operator whose token has the hash, or an
// empty name. Hashes are compared in constant time.
func (h *handler) operatorOf(config port.Config, doc *document.Document, hash string) string {
	if config.Version == 0 {
		if equalHash(h.BootstrapTokenSHA256, hash) {
			return BootstrapOperator
		}
		return ""
	}
	name := ""
	for _, o := range doc.Operators {
		if equalHash(o.TokenSHA256, hash) {
			name = o.Name
		}
	}
	return name
}

func equalHash(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

// bearer returns the request's bearer token (RFC 6750, section 2.1).
func bearer(r *http.Request) (string, bool) {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	token = strings.TrimSpace(token)
	return token, ok && strings.EqualFold(scheme, "Bearer") && token != ""
}
