package pipelinehttp

import (
	"context"
	"io"
	"time"

	"sassafrasreach/internal/wait"
)

// lingerPoll is the time between two checks whether any connection lingers.
const lingerPoll = 20 * time.Millisecond

// beginLinger reports whether one more connection may linger, and counts it.
func (h *Handler) beginLinger() bool {
	if h.lingering.Add(1) <= int64(h.opts.MaxLingering) {
		return true
	}
	h.lingering.Add(-1)
	return false
}

// linger closes a connection of net/http behind a whole response, as the loop does. net/http
// closes it at once, and what the client has sent meanwhile would reset it before the client
// has the response.
func (c *conn) linger(h *Handler) {
	defer h.lingering.Add(-1)
	_ = c.CloseWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	_ = c.Conn.Close()
}

// AwaitClosed waits until no connection lingers, or until ctx ends. A process that ends before
// that resets them.
func (h *Handler) AwaitClosed(ctx context.Context) {
	for h.lingering.Load() > 0 && wait.For(ctx, lingerPoll) {
	}
}
