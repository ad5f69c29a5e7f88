package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// releaseTimeout bounds a call that releases slots.
	releaseTimeout = time.Second
	// maxReleaseTries bounds the calls for one batch; a grant that isn't
	// released expires.
	maxReleaseTries = 2
	// resetReportTime is how long a reset is reported to other controllers after the dispatcher
	// couldn't be told, resetReportPeriod the time between two tries, and maxResetReports bounds
	// the resets that are reported at once.
	resetReportTime   = 15 * time.Second
	resetReportPeriod = 250 * time.Millisecond
	maxResetReports   = 64
	// maxReleaseCalls bounds the calls at once. With one, a release waits for the reply to
	// the one before: 60 to 80 ms over a busy link, for which its endpoint stands idle.
	maxReleaseCalls = 4
)

// releaseQueue releases slots at one dispatcher; all pending releases are sent
// in one call as soon as fewer than maxReleaseCalls are waiting for their replies.
type releaseQueue struct {
	mu      sync.Mutex
	pending []port.SlotRelease
	calls   int
}

// release releases a slot in the background.
func (g *Gateway) release(address string, r port.SlotRelease) {
	g.mu.Lock()
	queue := g.releaseQueues[address]
	if queue == nil {
		queue = &releaseQueue{}
		g.releaseQueues[address] = queue
	}
	g.mu.Unlock()
	queue.mu.Lock()
	defer queue.mu.Unlock()
	queue.pending = append(queue.pending, r)
	if queue.calls < maxReleaseCalls {
		queue.calls++
		go g.flush(address, queue)
	}
}

// flush sends batches until no release is pending.
func (g *Gateway) flush(address string, queue *releaseQueue) {
	for {
		queue.mu.Lock()
		batch := queue.pending
		queue.pending = nil
		if len(batch) == 0 {
			queue.calls--
			queue.mu.Unlock()
			return
		}
		queue.mu.Unlock()
		g.sendReleases(address, batch)
	}
}

// sendReleases sends a batch, or its elements one by one if the dispatcher rejects it.
func (g *Gateway) sendReleases(address string, batch []port.SlotRelease) {
	link, err := g.link(address)
	if err != nil {
		return
	}
	for range maxReleaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := link.Release(ctx, batch)
		cancel()
		switch {
		case err == nil:
			return
		case errors.Is(err, port.ErrRejected) && len(batch) > 1:
			for _, r := range batch {
				g.sendReleases(address, []port.SlotRelease{r})
			}
			return
		}
	}
	g.reportResets(batch)
}

// reportResets reports the resets among releases that couldn't be sent to their dispatcher, which
// may have ended: other controllers, or the same one once it has started again, are to know of
// them before they grant the same content.
func (g *Gateway) reportResets(batch []port.SlotRelease) {
	for _, r := range batch {
		if r.Suspicion == nil {
			continue
		}
		if g.resetReports.Add(1) > maxResetReports {
			g.resetReports.Add(-1)
			continue
		}
		go func() {
			defer g.resetReports.Add(-1)
			g.reportReset(r)
		}()
	}
}

// reportReset sends a release to the controllers that may dispatch its region, until one has it or
// resetReportTime has passed.
func (g *Gateway) reportReset(r port.SlotRelease) {
	ctx, cancel := context.WithTimeout(context.Background(), resetReportTime)
	defer cancel()
	for wait.For(ctx, resetReportPeriod) {
		for _, address := range g.dispatchersOf(r.Region) {
			link, err := g.link(address)
			if err != nil {
				continue
			}
			callCtx, cancelCall := context.WithTimeout(ctx, releaseTimeout)
			err = link.Release(callCtx, []port.SlotRelease{r})
			cancelCall()
			if err == nil {
				return
			}
		}
	}
}
