package entry

import (
	"context"
	"log/slog"
	"sync"

	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// bootstrap tries to fetch the first document of this process. If a control VM
// confirms a quorum, it applies the newest version that the control VMs
// returned, if any. Without a quorum it applies nothing until bootstrapGrace
// after the start, and then the newest version that single control VMs and seeds
// returned.
func (e *Entry) bootstrap(ctx context.Context) {
	best, quorum := e.fetchFromAllControl(ctx)
	if quorum && best.Version > 0 {
		if e.apply(ctx, best) {
			e.checkPlace()
		}
		return
	}
	if quorum || e.clock.Now().Sub(e.pull.started) < bootstrapGrace {
		return
	}
	for _, address := range e.config.Seeds {
		config, err := e.fetchFromPeer(ctx, address, best.Version)
		if err == nil && config.Version > best.Version {
			best = config
		}
	}
	if best.Version > 0 && e.apply(ctx, best) {
		event.Log(ctx, e.logger, event.ServingWithoutQuorum, slog.Uint64("version", best.Version))
		e.checkPlace()
	}
}

// checkPlace closes the placeNotListed channel if the document in force doesn't
// list the entry's place.
func (e *Entry) checkPlace() {
	if _, ok := e.snapshot.Load().regions[e.config.Place]; !ok {
		close(e.placeNotListed)
	}
}

// fetchFromAllControl queries every control VM and returns the newest version;
// quorum reports whether a quorum confirmed at least one answer.
func (e *Entry) fetchFromAllControl(ctx context.Context) (best port.Config, quorum bool) {
	results := make(chan port.FetchAnswer, len(e.config.Control))
	var wg sync.WaitGroup
	for _, address := range e.config.Control {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer, err := e.control.Fetch(ctx, address, port.FetchQuery{Entries: e.reports(e.clock.Now())})
			if err == nil {
				results <- answer
			}
		})
	}
	wg.Wait()
	close(results)
	for answer := range results {
		quorum = quorum || answer.Quorum
		if answer.Config.Version > best.Version {
			best = answer.Config
		}
	}
	return best, quorum
}
