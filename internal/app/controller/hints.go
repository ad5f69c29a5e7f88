package controller

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

const (
	// hintPeriod is the time between two saves of the hints.
	hintPeriod = 2 * time.Second
	// hintedFor is how long after a start the directory names gateways that haven't
	// reported themselves again: they notice the loss of a connection within a
	// second, and then connect within another. The directory would otherwise name the
	// first few to all clients, which would overload them.
	hintedFor = 3 * time.Second
)

// hints are the hints that a controller started with, and the state of its saves.
type hints struct {
	store port.HintStore
	// gateways are the hinted gateways by address; they are used until until.
	gateways map[string]port.Gateway
	until    time.Time

	// mu is held during a save and guards saved, the value of
	// Controller.endedCount as of the last save.
	mu    sync.Mutex
	saved uint64
}

// loadHints takes over the hints of the controller's last run. Whatever of them
// can't be is left out.
func (c *Controller) loadHints(now time.Time, store port.HintStore) {
	c.hints = &hints{store: store, gateways: make(map[string]port.Gateway), until: now.Add(hintedFor)}
	h, err := store.Load()
	if err != nil {
		event.Log(context.Background(), c.ports.Logger, event.HintsRejected, slog.Any("error", err))
		return
	}
	for _, g := range h.Gateways {
		if g.Address != "" && c.config.Zones[g.Zone] == g.Region {
			c.hints.gateways[g.Address] = g
		}
	}
	for _, e := range h.Ended {
		if (e.Leaving || e.Gone) && c.checkEndpoint(e) {
			e.Leaving, e.LastSeen = true, now
			c.endpoints.Record(e)
		}
	}
	for _, l := range h.Loads {
		if c.regions[l.Region] != nil && usableLoad(l) {
			c.loads[loadKey{l.Region, l.Service}] = reportedLoad{Load: l, at: now, hinted: true}
		}
	}
	event.Log(context.Background(), c.ports.Logger, event.HintsLoaded, slog.Int("gateways", len(c.hints.gateways)),
		slog.Int("ended", len(h.Ended)), slog.Int("loads", len(c.loads)))
}

// maxHintedSlots bounds the need and the slots of a load that is taken over.
const maxHintedSlots = 1 << 24

func usableLoad(l dispatch.Load) bool {
	return !math.IsNaN(l.Need) && l.Need >= 0 && l.Need <= maxHintedSlots &&
		l.Slots >= 0 && l.Slots <= maxHintedSlots && l.Gateways >= 0 && l.Gateways <= maxHintedSlots
}

// saveHints saves the hints. An error is logged; the next save tries again.
func (c *Controller) saveHints() error {
	c.hints.mu.Lock()
	defer c.hints.mu.Unlock()
	return c.saveHintsLocked()
}

// saveHintsLocked is saveHints. Must hold hints.mu.
func (c *Controller) saveHintsLocked() error {
	now := c.ports.Clock.Now()
	c.mu.Lock()
	var h port.Hints
	for _, address := range sortedKeys(c.gateways) {
		if g := c.gateways[address]; g.Ready && live(now, g.LastSeen) {
			h.Gateways = append(h.Gateways, g)
		}
	}
	h.Ended = c.endpoints.Ended()
	for _, l := range c.loads {
		h.Loads = append(h.Loads, l.Load)
	}
	count := c.endedCount
	c.mu.Unlock()
	if err := c.hints.store.Save(h); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StoreFailed, slog.Any("error", err))
		return err
	}
	c.hints.saved = count
	return nil
}

// saveEnded returns once all endpoints that leave or are gone, as far as this
// controller knows, are on its disk.
func (c *Controller) saveEnded() error {
	c.mu.Lock()
	count := c.endedCount
	c.mu.Unlock()
	c.hints.mu.Lock()
	defer c.hints.mu.Unlock()
	if c.hints.saved >= count {
		return nil // by a save that others waited for, too
	}
	return c.saveHintsLocked()
}

// countEnded counts an endpoint that has begun to leave or is gone. Must hold mu.
func (c *Controller) countEnded(before registry.Endpoint, e registry.Endpoint) {
	if (e.Leaving || e.Gone) && (before.StartedMillis != e.StartedMillis || !before.Leaving && !before.Gone) {
		c.endedCount++
	}
}

// namedGateways returns the gateways that the directory may name: the live, ready
// ones, and for a while after the start those of the hints that haven't been heard
// of. Must hold mu.
func (c *Controller) namedGateways(now time.Time) []port.Gateway {
	var out []port.Gateway
	for _, g := range c.gateways {
		if g.Ready && live(now, g.LastSeen) {
			out = append(out, g)
		}
	}
	if now.Before(c.hints.until) {
		for address, g := range c.hints.gateways {
			if _, heard := c.gateways[address]; !heard {
				out = append(out, g)
			}
		}
	}
	return out
}

// noHints is the store of a controller without one.
type noHints struct{}

func (noHints) Load() (port.Hints, error) { return port.Hints{}, nil }
func (noHints) Save(port.Hints) error     { return nil }
