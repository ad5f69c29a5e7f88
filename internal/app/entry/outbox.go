package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// outboxPeriod is how long announcements are batched into one message.
const outboxPeriod = 50 * time.Millisecond

// outbox batches announcements for each peer and keeps only the newest of each
// endpoint.
type outbox struct {
	nonEmpty chan struct{} // signaled when something is queued
	flushNow chan struct{} // signaled when it must be sent at once

	mu     sync.Mutex
	byPeer map[string]map[string]port.Announcement
}

func newOutbox() *outbox {
	return &outbox{
		nonEmpty: make(chan struct{}, 1),
		flushNow: make(chan struct{}, 1),
		byPeer:   make(map[string]map[string]port.Announcement),
	}
}

// add queues an announcement for the peer at address.
func (o *outbox) add(address string, a port.Announcement) {
	o.mu.Lock()
	defer o.mu.Unlock()
	batch := o.byPeer[address]
	if batch == nil {
		batch = make(map[string]port.Announcement)
		o.byPeer[address] = batch
	}
	queued, ok := batch[a.ID]
	older := ok && (queued.Incarnation > a.Incarnation ||
		queued.Incarnation == a.Incarnation && queued.Sequence > a.Sequence)
	if !older {
		batch[a.ID] = a
	}
	signal(o.nonEmpty)
}

// flush makes outboxLoop send what is queued at once.
func (o *outbox) flush() { signal(o.flushNow) }

// take removes and returns what is queued, by peer address and endpoint ID.
func (o *outbox) take() map[string]map[string]port.Announcement {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.byPeer
	o.byPeer = make(map[string]map[string]port.Announcement)
	return taken
}

// outboxLoop sends announcements outboxPeriod after the first one was queued,
// or at once after flush.
func (e *Entry) outboxLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.outbox.nonEmpty:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(outboxPeriod):
		case <-e.outbox.flushNow:
		}
		e.flushOutbox(ctx)
	}
}

func (e *Entry) flushOutbox(ctx context.Context) {
	for address, queued := range e.outbox.take() {
		batch := make([]port.Announcement, 0, len(queued))
		for _, a := range queued {
			batch = append(batch, a)
		}
		e.inBackground(ctx, func(ctx context.Context) {
			_ = e.peers.Announce(ctx, address, batch)
		})
	}
}

// signal sends on a channel of capacity one, unless a signal is pending
// already.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
