package controller

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sassafrasreach/internal/core/fingerprint"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// maxDurableWait bounds the wait of a slot request until the evidence against its content is
	// durable. It is refused then.
	maxDurableWait = 500 * time.Millisecond
	// maxUndurable is how long a request is held back whose evidence can't be made durable, as
	// where a majority of the voters is out of reach.
	maxUndurable = 5 * time.Second
	// evidenceRefreshPeriod is the time between two saves of evidence that hasn't changed: the
	// quarantine of a request that keeps coming is extended.
	evidenceRefreshPeriod = 30 * time.Second
	// durableRetryPeriod is the time between two attempts to make evidence durable.
	durableRetryPeriod = exchangePeriod
)

// evidenceSaves is the state of the saves of the evidence of requests that crash endpoints.
type evidenceSaves struct {
	store port.EvidenceStore
	// mu is held during a save and guards saved, the value of suspicions.recorded as of the last
	// save.
	mu    sync.Mutex
	saved uint64
	// refreshedAt is when refreshEvidence last saved. Only the periodic saves use it.
	refreshedAt time.Time
}

// undurable is evidence of a request that isn't on the disks of a majority of the voters yet.
type undurable struct {
	change port.Suspicion
	// number is the value of suspicions.recorded with the change.
	number uint64
	since  time.Time
}

// loadEvidence takes over the evidence of the controller's last run.
func (c *Controller) loadEvidence(now time.Time, store port.EvidenceStore) {
	c.evidence = &evidenceSaves{store: store}
	all, dropped, err := store.Load()
	if err != nil {
		event.Log(context.Background(), c.ports.Logger, event.HintsRejected, slog.Any("error", err))
	}
	loaded := 0
	for _, e := range all {
		if e.Quarantined == 0 && registry.CheckID(e.Endpoint) != nil || !c.suspicions.table.Restore(now, e) {
			dropped++
			continue
		}
		loaded++
	}
	if loaded > 0 || dropped > 0 {
		event.Log(context.Background(), c.ports.Logger, event.EvidenceLoaded, slog.Int("items", loaded), slog.Int("dropped", dropped))
	}
}

// saveEvidence returns once all evidence that this controller knows is on its disk.
func (c *Controller) saveEvidence() error {
	c.mu.Lock()
	number := c.suspicions.recorded
	c.mu.Unlock()
	s := c.evidence
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.saved >= number {
		return nil // by a save that others waited for, too
	}
	c.mu.Lock()
	number = c.suspicions.recorded
	all := c.suspicions.table.Evidence(c.ports.Clock.Now())
	c.mu.Unlock()
	c.ports.Meter.RecordEvidenceSave()
	if err := s.store.Save(all); err != nil {
		event.Log(context.Background(), c.ports.Logger, event.StoreFailed, slog.Any("error", err))
		return err
	}
	s.saved = number
	return nil
}

// refreshEvidence saves evidence that has changed, or all that there is if evidenceRefreshPeriod has
// passed. An error is logged; the next save tries again.
func (c *Controller) refreshEvidence() {
	now := c.ports.Clock.Now()
	if s := c.evidence; now.Sub(s.refreshedAt) >= evidenceRefreshPeriod {
		c.mu.Lock()
		if len(c.suspicions.table.Evidence(now)) > 0 {
			c.suspicions.recorded++
		}
		c.mu.Unlock()
		s.refreshedAt = now
	}
	_ = c.saveEvidence()
}

// runEvidence makes evidence durable as it is recorded, until ctx ends.
func (c *Controller) runEvidence(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.suspicions.wake:
		}
		for c.makeDurable(ctx) && wait.For(ctx, durableRetryPeriod) {
		}
	}
}

// makeDurable sends the evidence that isn't durable to the voters, and saves it here. It returns
// true if that must be tried again.
func (c *Controller) makeDurable(ctx context.Context) (again bool) {
	ctx, cancel := context.WithTimeout(ctx, propagateTimeout)
	defer cancel()
	now := c.ports.Clock.Now()
	c.mu.Lock()
	c.suspicions.releaseOld(now)
	changes, number := c.suspicions.undurableChanges()
	if len(changes) == 0 {
		c.mu.Unlock()
		return false
	}
	c.refreshPeers(now)
	exchange := port.ExchangeRequest{From: c.self(now), EpochNumber: c.epoch.Number, Suspicions: changes, Durable: true}
	targets, epoch := c.votersAsTargets(), c.epoch
	c.mu.Unlock()
	count := c.spread(ctx, exchange, targets, epoch, c.saveEvidence)
	if count < epoch.Majority() || epoch.Number == 0 {
		event.Log(ctx, c.ports.Logger, event.EvidenceUnconfirmed, slog.Int("requests", len(changes)),
			slog.Int("told", count), slog.Int("needed", epoch.Majority()))
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspicions.releaseUntil(number)
	return c.suspicions.hasUndurable()
}

// awaitDurable waits until the evidence against a request's content is durable, at most
// maxDurableWait.
func (c *Controller) awaitDurable(ctx context.Context, f fingerprint.Fingerprint) {
	if f.IsZero() {
		return
	}
	var timeout <-chan time.Time
	for {
		c.mu.Lock()
		held, released := c.suspicions.holds(f), c.suspicions.released
		c.mu.Unlock()
		if !held {
			return
		}
		if timeout == nil {
			timer := time.NewTimer(maxDurableWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-timeout:
			return
		case <-ctx.Done():
			return
		}
	}
}

// noteEvidence notes that there is new evidence against a request, made by this controller. The
// request is held back until it is durable, unless an answer has shown lately that the request is
// harmless, or too many are held back.
func (s *suspicions) noteEvidence(now time.Time, change port.Suspicion) {
	s.recorded++
	if s.table.Harmless(now, change.Fingerprint) || len(s.undurable) >= quarantine.MaxEvidence {
		return
	}
	s.undurable[change.Fingerprint] = append(s.undurable[change.Fingerprint], undurable{change, s.recorded, now})
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// holds reports whether a request is held back because evidence against it isn't durable.
func (s *suspicions) holds(f fingerprint.Fingerprint) bool { return len(s.undurable[f]) > 0 }

func (s *suspicions) hasUndurable() bool { return len(s.undurable) > 0 }

// undurableChanges returns the changes that aren't durable, and the number of the last change.
func (s *suspicions) undurableChanges() (changes []port.Suspicion, number uint64) {
	for _, all := range s.undurable {
		for _, u := range all {
			changes = append(changes, u.change)
		}
	}
	return changes, s.recorded
}

// releaseUntil lets the requests go on whose evidence became durable: all until a number.
func (s *suspicions) releaseUntil(number uint64) {
	s.release(func(u undurable) bool { return u.number <= number })
}

// releaseOld lets the requests go on that were held back for maxUndurable.
func (s *suspicions) releaseOld(now time.Time) {
	s.release(func(u undurable) bool { return now.Sub(u.since) >= maxUndurable })
}

func (s *suspicions) release(ended func(undurable) bool) {
	for f, all := range s.undurable {
		var kept []undurable
		for _, u := range all {
			if !ended(u) {
				kept = append(kept, u)
			}
		}
		if s.undurable[f] = kept; len(kept) == 0 {
			delete(s.undurable, f)
		}
	}
	close(s.released)
	s.released = make(chan struct{})
}

// known returns what holds against requests, for a controller that has started.
func (s *suspicions) known(now time.Time) []port.Suspicion {
	var out []port.Suspicion
	for _, e := range s.table.Evidence(now) {
		out = append(out, port.Suspicion{
			Fingerprint: e.Fingerprint, Quarantined: e.Quarantined, Endpoint: e.Endpoint, StartedMillis: int64(e.Incarnation), Version: e.Version,
		})
	}
	return out
}

// noEvidence is the store of a controller without one.
type noEvidence struct{}

func (noEvidence) Load() ([]quarantine.Evidence, int, error) { return nil, 0, nil }
func (noEvidence) Save([]quarantine.Evidence) error          { return nil }
