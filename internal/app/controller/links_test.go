package controller_test

import (
	"io"
	"log/slog"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"sassafrasreach/internal/adapter/metrics"
	"sassafrasreach/internal/app/gateway"
	"sassafrasreach/internal/port"
)

// TestDirectoryAvoidsFullLinks guards against clients that are sent to a gateway whose link
// is full, whichever controller they ask, and against one that is never named again.
func TestDirectoryAvoidsFullLinks(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := newCluster(t, 2*time.Millisecond)
	is.NoErr(c.order(0, 2))
	c.settle()
	var sending atomic.Bool
	sending.Store(true)
	var sent atomic.Int64
	for _, name := range []string{"gateway-0", "gateway-1", "gateway-2"} {
		g := gateway.New(gateway.Config{Name: name, Address: name, Zone: "a1", Region: "a", Seeds: c.seeds, LinkBitsPerSecond: 1e6}, gateway.Ports{
			Clock: port.ClockFunc(time.Now), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Meter: metrics.New(),
			Dial: func(to string) (port.ControllerLink, error) { return link{cluster: c, from: name, to: to}, nil },
			Traffic: func() (int64, int64) {
				if name != "gateway-1" {
					return 0, 0
				}
				if sending.Load() {
					sent.Add(1e6) // with each watch call, several times the link's capacity
				}
				return sent.Load(), 0
			},
		})
		go g.Run(t.Context())
	}
	awaitNamed := func(want ...string) {
		t.Helper()
		var named []string
		for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
			agreed := true
			c.mu.Lock()
			for _, m := range c.members {
				named = m.controller.Nearest("a1", "a")
				agreed = agreed && slices.Equal(named, want)
			}
			c.mu.Unlock()
			if agreed {
				return
			}
		}
		t.Fatalf("named: %v, want %v", named, want)
	}
	awaitNamed("gateway-0", "gateway-2")
	sending.Store(false)
	awaitNamed("gateway-0", "gateway-1", "gateway-2")
}
