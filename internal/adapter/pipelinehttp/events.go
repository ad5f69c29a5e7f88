package pipelinehttp

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/event"
)

// eventInterval is the shortest time between two records of the same event: clients
// decide how often it happens.
const eventInterval = time.Second

// limitedEvent logs an event at most once per eventInterval, with the number of those
// that were left out. It is safe for concurrent use.
type limitedEvent struct {
	mu      sync.Mutex
	last    time.Time
	omitted int64
}

func (l *limitedEvent) log(now time.Time, logger *slog.Logger, e event.Event, attrs ...slog.Attr) {
	l.mu.Lock()
	if now.Sub(l.last) < eventInterval {
		l.omitted++
		l.mu.Unlock()
		return
	}
	omitted := l.omitted
	l.last, l.omitted = now, 0
	l.mu.Unlock()
	event.Log(context.Background(), logger, e, append(attrs, slog.Int64("omitted", omitted))...)
}
