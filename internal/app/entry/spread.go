package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// spreadLimit bounds how long a caller waits while the entries that are
	// heard of are told of its request.
	spreadLimit = 3 * peerTimeout
	// spreadRetry is the wait after a message that failed at once.
	spreadRetry = 50 * time.Millisecond
	// maxSilentTold bounds the entries that aren't heard of and told at once.
	maxSilentTold = 4
)

// tell sends what a peer is still to be told, one message at a time so that the
// rows keep their order. It says whether nothing is left.
func (e *Entry) tell(ctx context.Context, u *untold) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	select {
	case u.turn <- struct{}{}:
		defer func() { <-u.turn }()
	case <-ctx.Done():
		return false
	}
	for !u.empty(e.clock.Now()) {
		rows, last := u.message(e.clock.Now())
		if _, err := e.peers.Quarantine(ctx, u.address, rows); err != nil {
			return false
		}
		u.acknowledged(last)
	}
	return true
}

// spread keeps the rows for every other entry of the document and tells them at
// once. It waits until those that are heard of know, for spreadLimit at most;
// spreadLoop goes on with the others.
func (e *Entry) spread(rows []port.QuarantineRow) {
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), spreadLimit)
	defer cancel()
	var told sync.WaitGroup
	for _, u := range e.queueRows(rows) {
		told.Go(func() {
			for !e.tell(ctx, u) && e.hears(u.name) && wait.For(ctx, spreadRetry) {
			}
		})
	}
	told.Wait()
}

// spreadLater has the rows told by spreadLoop.
func (e *Entry) spreadLater(rows []port.QuarantineRow) {
	if len(e.queueRows(rows)) > 0 {
		signal(e.spreader.queued)
	}
}

// queueRows keeps the rows for every other entry of the document.
func (e *Entry) queueRows(rows []port.QuarantineRow) []*untold {
	s := e.snapshot.Load()
	if s == nil || len(rows) == 0 {
		return nil
	}
	now := e.clock.Now()
	var all []*untold
	for name, address := range s.entries {
		if name != e.config.Name {
			u := e.spreader.peer(name, address.peer)
			u.add(now, rows)
			all = append(all, u)
		}
	}
	return all
}

// spreadLoop tells the peers what they haven't acknowledged.
func (e *Entry) spreadLoop(ctx context.Context) {
	wait.EachOr(ctx, beatPeriod, e.spreader.queued, func() { e.spreadOnce(ctx) })
}

// spreadOnce tells all peers that are heard of, and a few of the others.
func (e *Entry) spreadOnce(ctx context.Context) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	var told sync.WaitGroup
	silent := 0
	for _, u := range e.spreader.waiting(e.clock.Now(), s.entries) {
		if !e.hears(u.name) {
			silent++
			if silent > maxSilentTold {
				continue
			}
		}
		told.Go(func() { e.tell(ctx, u) })
	}
	told.Wait()
}

// hears says whether an entry is heard of.
func (e *Entry) hears(name string) bool {
	_, live := e.members.member(e.clock.Now(), name)
	return live
}
