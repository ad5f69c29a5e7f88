package entry

import (
	"context"
	"slices"
	"sync"

	"sassafrasreach/internal/core/membership"
)

// maxLearnedFrom bounds the entries that a starting one asks.
const maxLearnedFrom = 8

// learn asks other entries what is in quarantine, before this one serves. One
// answer is enough; the nearest ones are asked.
func (e *Entry) learn(ctx context.Context, s *snapshot) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var asked sync.WaitGroup
	for _, peer := range e.nearest(s) {
		asked.Go(func() {
			rows, err := e.peers.Quarantine(ctx, peer.Address, nil)
			if err == nil {
				e.suspects.take(e.clock.Now(), rows)
			}
		})
	}
	asked.Wait()
}

// nearest returns a few other entries, those of the own place first.
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
	return all[:min(len(all), maxLearnedFrom)]
}
