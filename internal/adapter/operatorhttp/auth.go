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

// BootstrapOperator is the operator's name that the audit trail shows for the
// change that was made with the bootstrap token.
const BootstrapOperator = "bootstrap"

// session holds the operator of an authenticated request and the document
// against which the token was checked, as text and parsed. The parsed document
// is shared and must not be modified; it is empty when the version is 0.
type session struct {
	operator string
	config   port.Config
	document *document.Document
}

// authenticated calls next for requests with the token of an operator. It checks
// the token against the newest document of a quorum, never a stale one: an
// isolated VM must not accept the token of a removed operator.
func (h *handler) authenticated(next func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, ok := bearer(r)
		if !ok {
			writeProblem(w, newProblem(http.StatusUnauthorized, CodeUnauthorized, "the request has no bearer token in its Authorization header; ctl sends the token in the file that -token-file names"))
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

// authenticate returns the session of the operator with the token.
func (h *handler) authenticate(ctx context.Context, token string) (session, *Problem) {
	config, err := h.Store.Current(ctx)
	if err != nil {
		return session{}, readProblem(err)
	}
	doc, err := h.documentCache.parse(config)
	if err != nil {
		event.Log(context.Background(), h.Logger, event.RegisterUnreadable, slog.Any("version", config.Version), slog.Any("error", err))
		return session{}, newProblem(http.StatusInternalServerError, CodeInternal, "this control VM cannot parse the document in the register; see its log")
	}
	operator := h.operatorOf(config, doc, document.Digest([]byte(token)))
	if operator == "" {
		event.Log(context.Background(), h.Logger, event.TokenRefused, slog.Any("version", config.Version))
		return session{}, newProblem(http.StatusUnauthorized, CodeUnauthorized,
			"the token doesn't belong to an operator in the document in force; to resend a change that replaced the token, use the new token and the same change ID")
	}
	return session{operator: operator, config: config, document: doc}, nil
}

// operatorOf returns the name of the operator whose token has the hash, or an
// empty string. Hashes are compared in constant time.
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
