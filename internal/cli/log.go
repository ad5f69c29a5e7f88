package cli

import (
	"io"
	"log/slog"
)

// newLogger returns a logger that writes JSON lines with the role and name of the
// process. An unknown level means info.
func newLogger(w io.Writer, level, role, name string) *slog.Logger {
	var threshold slog.Level
	if err := threshold.UnmarshalText([]byte(level)); err != nil {
		threshold = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: threshold})
	return slog.New(handler).With(slog.String("role", role), slog.String("name", name))
}
