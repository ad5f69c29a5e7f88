package console

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
	"time"
)

const (
	// sessionLifetime is the time after which an operator must sign in again.
	sessionLifetime = 8 * time.Hour
	// maxSessions is the maximum number of sessions of one control VM.
	maxSessions = 256
)

// session is the session of a signed-in operator.
type session struct {
	// token is the operator's token; it is checked again on each request.
	token string
	// formToken must be sent with each form; it guards against forged requests.
	formToken string
	expires   time.Time
}

// accepts reports whether a form was rendered for this session. It compares in
// constant time.
func (s session) accepts(formToken string) bool {
	return subtle.ConstantTimeCompare([]byte(s.formToken), []byte(formToken)) == 1
}

// sessions holds the sessions of the signed-in operators.
type sessions struct {
	mu   sync.Mutex
	byID map[string]session
}

func newSessions() *sessions { return &sessions{byID: make(map[string]session)} }

// open starts a session and returns its ID.
func (s *sessions) open(token string, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	id := rand.Text()
	s.byID[id] = session{token: token, formToken: rand.Text(), expires: now.Add(sessionLifetime)}
	return id
}

// expire deletes the expired sessions and, if maxSessions are left, the one that
// expires first. The caller must hold mu.
func (s *sessions) expire(now time.Time) {
	oldest := ""
	for id, candidate := range s.byID {
		if !candidate.expires.After(now) {
			delete(s.byID, id)
			continue
		}
		if oldest == "" || candidate.expires.Before(s.byID[oldest].expires) {
			oldest = id
		}
	}
	if len(s.byID) >= maxSessions {
		delete(s.byID, oldest)
	}
}

func (s *sessions) get(id string, now time.Time) (session, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.byID[id]
	return found, ok && found.expires.After(now)
}

func (s *sessions) close(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byID, id)
}
