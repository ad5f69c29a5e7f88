// Package refusals records the requests and connections of clients that a process refused
// or closed to protect itself.
package refusals

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// logPeriod is the shortest time between two log records of the same kind. Those between
// are counted in the next one, so that many such clients don't displace other records.
const logPeriod = time.Second

// Recorder counts refusals and logs them. It is safe for concurrent use; a nil Recorder
// records nothing.
type Recorder struct {
	logger *slog.Logger
	meter  port.FleetMeter
	clock  port.Clock

	mu sync.Mutex
	// kinds is bounded by the ports and reasons of the program. Guarded by mu.
	kinds map[[2]string]*kind
}

type kind struct {
	loggedAt time.Time
	skipped  int
}

// New returns a Recorder.
func New(logger *slog.Logger, meter port.FleetMeter, clock port.Clock) *Recorder {
	return &Recorder{logger: logger, meter: meter, clock: clock, kinds: make(map[[2]string]*kind)}
}

// Record records a refusal at the port for some clients, with its reason and the address
// of the client. Without a reason it records nothing.
func (r *Recorder) Record(clients, reason, address string) {
	if r == nil || reason == "" {
		return
	}
	r.meter.RecordRefused(clients, reason)
	skipped, due := r.due([2]string{clients, reason})
	if due {
		event.Log(context.Background(), r.logger, event.ClientRefused, slog.String("port", clients),
			slog.String("reason", reason), slog.String("client", address), slog.Int("more", skipped))
	}
}

func (r *Recorder) due(key [2]string) (skipped int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.kinds[key]
	if k == nil {
		k = &kind{}
		r.kinds[key] = k
	}
	now := r.clock.Now()
	if now.Sub(k.loggedAt) < logPeriod {
		k.skipped++
		return 0, false
	}
	skipped = k.skipped
	*k = kind{loggedAt: now}
	return skipped, true
}
