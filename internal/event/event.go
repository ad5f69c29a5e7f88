package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log record.
type Event struct {
	// Number identifies the event for ever; numbers are never used again.
	Number int
	// Name is a short identifier.
	Name string
	// Level is the severity.
	Level slog.Level
	// Meaning is one sentence for the catalogue.
	Meaning string
}

// Log writes the event with its attributes.
func Log(ctx context.Context, logger *slog.Logger, e Event, attrs ...slog.Attr) {
	all := make([]slog.Attr, 0, len(attrs)+1)
	all = append(all, slog.Int("event", e.Number))
	all = append(all, attrs...)
	logger.LogAttrs(ctx, e.Level, e.Name, all...)
}
