package entry

import (
	"context"
	"log/slog"
	"sync"

	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// bootstrap finds the first document of this process: what a control quorum
// has, or after the grace the newest of what peers and single control VMs have.
func (e *Entry) bootstrap(ctx context.Context) {
	best, quorum := e.askAllControl(ctx)
	if quorum && best.Version > 0 {
		if e.apply(ctx, best) {
			e.checkPlace()
		}
		return
	}
	if quorum || e.clock.Now().Sub(e.pull.started) < cutOffGrace {
		return
	}
	for _, address := range e.config.Seeds {
		config, err := e.fetchFromPeer(ctx, address, best.Version)
		if err == nil && config.Version > best.Version {
			best = config
		}
	}
	if best.Version > 0 && e.apply(ctx, best) {
		event.Log(ctx, e.logger, event.ServingCutOff, slog.Uint64("version", best.Version))
		e.checkPlace()
	}
}

// checkPlace tells when the document in force doesn't have the entry's place.
func (e *Entry) checkPlace() {
	if _, ok := e.snapshot.Load().regions[e.config.Place]; !ok {
		close(e.misplaced)
	}
}

// askAllControl asks every control VM; quorum says that at least one answer
// comes from a quorum.
func (e *Entry) askAllControl(ctx context.Context) (best port.Config, quorum bool) {
	answers := make(chan port.FetchAnswer, len(e.config.Control))
	var wg sync.WaitGroup
	for _, address := range e.config.Control {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, peerTimeout)
			defer cancel()
			answer, err := e.control.Fetch(ctx, address, port.FetchQuery{Entries: e.reports(e.clock.Now())})
			if err == nil {
				answers <- answer
			}
		})
	}
	wg.Wait()
	close(answers)
	for answer := range answers {
		quorum = quorum || answer.Quorum
		if answer.Config.Version > best.Version {
			best = answer.Config
		}
	}
	return best, quorum
}
