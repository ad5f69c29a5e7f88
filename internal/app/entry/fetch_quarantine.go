package entry

import (
	"context"
	"slices"
	"sync"

	"sassafrasreach/internal/core/membership"
)

// maxQuarantineSources bounds the entries that a starting entry queries.
const maxQuarantineSources = 8

// fetchQuarantine fetches the quarantine of other entries before this one
// serves. One answer is enough; the nearest entries are queried.
func (e *Entry) fetchQuarantine(ctx context.Context, s *snapshot) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var requests sync.WaitGroup
	for _, peer := range e.nearest(s) {
		requests.Go(func() {
			rows, err := e.peers.Quarantine(ctx, peer.Address, nil)
			if err == nil {
				e.suspects.applyRows(e.clock.Now(), rows)
			}
		})
	}
	requests.Wait()
}

// nearest returns up to maxQuarantineSources other entries, those of the own
// place first.
func (e *Entry) nearest(s *snapshot) []membership.Peer {
	var own, others []membership.Peer
	for _, peer := range s.peers {
		switch {
		case peer.Name == e.config.Name:
		case peer.Place == e.config.Place:
			own = append(own, peer)
		default:
			others = append(others, peer)
		}
	}
	all := slices.Concat(own, others)
	return all[:min(len(all), maxQuarantineSources)]
}
