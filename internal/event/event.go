package event

import (
	"context"
	"log/slog"
)

// Event is one type of log record.
type Event struct {
	// Number identifies the event permanently. The number of a removed event is
	// never reused.
	Number int
	// Name is a short identifier, the message of the log record.
	Name string
	// Level is the level of the log record.
	Level slog.Level
	// Meaning describes the event in docs/EVENTS.md.
	Meaning string
}

// Log writes a record of the event, with its number as the attribute "event" and
// the given attributes after it.
func Log(ctx context.Context, logger *slog.Logger, e Event, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Name, all...)
}
