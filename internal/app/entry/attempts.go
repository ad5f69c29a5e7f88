package entry

import (
	"errors"
	"sync"
	"time"
)

// attemptMemory is how long the ID of a forwarded attempt is remembered. It is
// longer than any connection keeps a message.
const attemptMemory = 30 * time.Second

// errAttemptRepeated means that the transport delivered one attempt twice.
var errAttemptRepeated = errors.New("attempt was delivered before")

// attempts remembers the IDs of forwarded attempts, so that a transport that
// delivers one twice starts it once. Two generations bound the memory.
type attempts struct {
	mu      sync.Mutex
	current map[string]struct{}
	former  map[string]struct{}
	turned  time.Time
}

func newAttempts() *attempts {
	return &attempts{current: make(map[string]struct{}), former: make(map[string]struct{})}
}

// first says whether id is seen for the first time.
func (a *attempts) first(now time.Time, id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if now.Sub(a.turned) > attemptMemory {
		a.former = a.current
		a.current = make(map[string]struct{})
		a.turned = now
	}
	_, inCurrent := a.current[id]
	_, inFormer := a.former[id]
	a.current[id] = struct{}{}
	return !inCurrent && !inFormer
}
