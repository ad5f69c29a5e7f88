package entry

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

// outboxPeriod is how long announcements are gathered into one message.
const outboxPeriod = 50 * time.Millisecond

// outbox gathers announcements for each peer; of one endpoint it keeps the
// newest.
type outbox struct {
	filled chan struct{} // something is queued
	due    chan struct{} // it is to be sent at once

	mu     sync.Mutex
	byPeer map[string]map[string]port.Announcement
}

func newOutbox() *outbox {
	return &outbox{
		filled: make(chan struct{}, 1),
		due:    make(chan struct{}, 1),
		byPeer: make(map[string]map[string]port.Announcement),
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
	signal(o.filled)
}

// wake sends what is queued at once.
func (o *outbox) wake() { signal(o.due) }

// take returns and forgets what is queued.
func (o *outbox) take() map[string]map[string]port.Announcement {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.byPeer
	o.byPeer = make(map[string]map[string]port.Announcement)
	return taken
}

// outboxLoop passes announcements on, a while after the first one was queued or
// at once for one that leaves.
func (e *Entry) outboxLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.outbox.filled:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(outboxPeriod):
		case <-e.outbox.due:
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

// signal makes a channel of capacity one ready.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
