package console

import (
	"context"
	"errors"
	"log/slog"
	"net/http"

	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// cookieName is the name of the cookie that holds the session's ID.
const cookieName = "sassafrasreach-console"

// maxSignInBytes is the maximum size of the sign-in form.
const maxSignInBytes = 8 << 10

// signInPage is the page for operators who aren't signed in.
type signInPage struct {
	// Message says why the operator must sign in; empty on the first visit.
	Message string
}

func (s *server) signIn(w http.ResponseWriter, r *http.Request) {
	done, ok := s.readForm(w, r, maxSignInBytes)
	if !ok {
		return
	}
	defer done()
	token := r.PostForm.Get("token")
	if _, err := s.backend.Open(r.Context(), token); err != nil {
		s.renderError(w, err)
		return
	}
	id := s.sessions.open(token, s.Clock.Now())
	http.SetCookie(w, s.cookie(r, id, int(sessionLifetime.Seconds())))
	http.Redirect(w, r, Path+"/", http.StatusSeeOther)
}

func (s *server) signOut(w http.ResponseWriter, r *http.Request, _ session) {
	if c, err := r.Cookie(cookieName); err == nil {
		s.sessions.close(c.Value)
	}
	http.SetCookie(w, s.cookie(r, "", -1))
	http.Redirect(w, r, Path+"/", http.StatusSeeOther)
}

// cookie returns the session's cookie, which scripts can't read and browsers
// don't send with requests from other sites.
func (s *server) cookie(r *http.Request, id string, maxAge int) *http.Cookie {
	return &http.Cookie{
		Name:     cookieName,
		Value:    id,
		Path:     Path,
		MaxAge:   maxAge,
		HttpOnly: true,
		Secure:   r.TLS != nil,
		SameSite: http.SameSiteStrictMode,
	}
}

// session returns the request's session.
func (s *server) session(r *http.Request) (session, bool) {
	c, err := r.Cookie(cookieName)
	if err != nil {
		return session{}, false
	}
	return s.sessions.get(c.Value, s.Clock.Now())
}

// signedIn calls next for forms that were rendered for the request's session.
func (s *server) signedIn(next func(http.ResponseWriter, *http.Request, session)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		found, ok := s.session(r)
		if !ok {
			s.render(w, http.StatusUnauthorized, "signin", signInPage{Message: "Sign in first: you have no session, or it has ended."})
			return
		}
		done, ok := s.readForm(w, r, maxFormBytes)
		if !ok {
			return
		}
		defer done()
		if !found.accepts(r.PostForm.Get("form_token")) {
			s.render(w, http.StatusForbidden, "message", message("This form belongs to another session. Open the document again."))
			return
		}
		next(w, r, found)
	}
}

// renderError renders the page for an error of the backend.
func (s *server) renderError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, ErrUnauthorized):
		s.render(w, http.StatusUnauthorized, "signin", signInPage{Message: err.Error()})
	case errors.Is(err, port.ErrNoQuorum):
		s.render(w, http.StatusServiceUnavailable, "message", message("Too few control VMs responded, so nothing was changed. Try another control VM, or try again later."))
	default:
		event.Log(context.Background(), s.Logger, event.ConsoleFailed, slog.Any("error", err))
		s.render(w, http.StatusInternalServerError, "message", message(err.Error()))
	}
}
