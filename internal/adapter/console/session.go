package console

import (
	"crypto/rand"
	"crypto/subtle"
	"sync"
	"time"
)

const (
	// sessionLife is the time after which an operator signs in again.
	sessionLife = 8 * time.Hour
	// maxSessions bounds the sessions of one control VM.
	maxSessions = 256
)

// session is an operator who signed in.
type session struct {
	// token is the operator's token; it is judged anew on each request.
	token string
	// formToken must come with each form.
	formToken string
	expires   time.Time
}

// accepts says whether a form was made for this session.
func (s session) accepts(formToken string) bool {
	return subtle.ConstantTimeCompare([]byte(s.formToken), []byte(formToken)) == 1
}

// sessions holds the operators who signed in.
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
	s.byID[id] = session{token: token, formToken: rand.Text(), expires: now.Add(sessionLife)}
	return id
}

// expire drops what has expired and, when there are too many, the oldest one.
// It must be called with mu held.
func (s *sessions) expire(now time.Time) {
	oldest := ""
	for id, each := range s.byID {
		if !each.expires.After(now) {
			delete(s.byID, id)
			continue
		}
		if oldest == "" || each.expires.Before(s.byID[oldest].expires) {
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
