package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// broadcastTimeout bounds how long a caller waits until the live entries
	// have acknowledged the rows about its request.
	broadcastTimeout = 3 * peerTimeout
	// broadcastRetryDelay is the delay before a failed message is sent again.
	// It spaces out messages that fail at once.
	broadcastRetryDelay = 50 * time.Millisecond
	// maxUnreachableSends bounds the entries that are not live to which one
	// call of broadcastPending sends.
	maxUnreachableSends = 4
)

// sendQueued sends the queued rows of a peer within peerTimeout, one message at a
// time so that the rows stay in order. It reports whether the peer has
// acknowledged all of them.
func (e *Entry) sendQueued(ctx context.Context, q *peerQueue) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	select {
	case q.sending <- struct{}{}:
		defer func() { <-q.sending }()
	case <-ctx.Done():
		return false
	}
	for !q.empty(e.clock.Now()) {
		rows, last := q.message(e.clock.Now())
		if _, err := e.peers.Quarantine(ctx, q.address, rows); err != nil {
			return false
		}
		q.acknowledge(last)
	}
	return true
}

// broadcast queues the rows for every other entry of the document and sends
// them at once. It waits until the live entries have acknowledged them and one
// send to each of the others has ended, for broadcastTimeout at most;
// broadcastLoop sends again what is left.
func (e *Entry) broadcast(rows []port.QuarantineRow) {
	if len(rows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), broadcastTimeout)
	defer cancel()
	var sends sync.WaitGroup
	for _, q := range e.queueForPeers(rows) {
		sends.Go(func() {
			for !e.sendQueued(ctx, q) && e.isLive(q.name) && wait.For(ctx, broadcastRetryDelay) {
			}
		})
	}
	sends.Wait()
}

// broadcastLater queues the rows and leaves the sending to broadcastLoop.
func (e *Entry) broadcastLater(rows []port.QuarantineRow) {
	if len(e.queueForPeers(rows)) > 0 {
		signal(e.broadcaster.queued)
	}
}

// queueForPeers queues the rows for every other entry of the document and
// returns the queues.
func (e *Entry) queueForPeers(rows []port.QuarantineRow) []*peerQueue {
	s := e.snapshot.Load()
	if s == nil || len(rows) == 0 {
		return nil
	}
	now := e.clock.Now()
	var all []*peerQueue
	for name, address := range s.entries {
		if name != e.config.Name {
			q := e.broadcaster.peer(name, address.peer)
			q.add(now, rows)
			all = append(all, q)
		}
	}
	return all
}

// broadcastLoop sends the peers the rows that they have not acknowledged.
func (e *Entry) broadcastLoop(ctx context.Context) {
	wait.EveryOrOn(ctx, heartbeatPeriod, e.broadcaster.queued, func() { e.broadcastPending(ctx) })
}

// broadcastPending sends the queued rows to all live peers and to a few of the
// others.
func (e *Entry) broadcastPending(ctx context.Context) {
	s := e.snapshot.Load()
	if s == nil {
		return
	}
	var sends sync.WaitGroup
	unreachable := 0
	for _, q := range e.broadcaster.pending(e.clock.Now(), s.entries) {
		if !e.isLive(q.name) {
			unreachable++
			if unreachable > maxUnreachableSends {
				continue
			}
		}
		sends.Go(func() { e.sendQueued(ctx, q) })
	}
	sends.Wait()
}

// isLive reports whether heartbeats show an entry to be live, or leaving and
// still reachable.
func (e *Entry) isLive(name string) bool {
	_, live := e.members.member(e.clock.Now(), name)
	return live
}
