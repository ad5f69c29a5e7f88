package entry

import (
	"errors"
	"sync"
	"time"
)

// attemptRetention is the least time for which the ID of a forwarded attempt is
// remembered. It is longer than any connection keeps a message.
const attemptRetention = 30 * time.Second

// errAttemptRepeated means that the transport delivered an attempt more than
// once.
var errAttemptRepeated = errors.New("attempt was delivered before")

// attempts deduplicates forwarded attempts by ID, so that an attempt that the
// transport delivers twice is started once. Two generations of IDs bound the
// memory.
type attempts struct {
	mu       sync.Mutex
	current  map[string]struct{}
	previous map[string]struct{}
	rotated  time.Time
}

func newAttempts() *attempts {
	return &attempts{current: make(map[string]struct{}), previous: make(map[string]struct{})}
}

// recordFirst records id and reports whether it was new.
func (a *attempts) recordFirst(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.rotated) > attemptRetention {
		a.previous = a.current
		a.current = make(map[string]struct{})
		a.rotated = now
	}
	_, inCurrent := a.current[id]
	_, inPrevious := a.previous[id]
	a.current[id] = struct{}{}
	return !inCurrent && !inPrevious
}
